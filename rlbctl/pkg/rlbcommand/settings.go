package rlbcommand

import (
	"fmt"
	"io"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/spf13/cobra"
)

func (a *app) settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: textSettings}
	cmd.AddCommand(a.settingsCheckCommand(), a.settingsShowCommand(), &cobra.Command{
		Use: "page", Short: textPage, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return rlbsettings.WritePage(a.out) },
	})
	return cmd
}

// checkedFile is the result of a command that validates or saves a file.
type checkedFile struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

func (a *app) settingsCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: textCheck, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		if _, err := rlbsettings.Load(args[0], 0); err != nil {
			return &exitError{ExitInvalid, err}
		}
		return a.print(checkedFile{args[0], true}, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s is valid\n", args[0]) })
	}}
}

func (a *app) settingsShowCommand() *cobra.Command {
	var program string
	cmd := &cobra.Command{Use: "show [FILE]", Short: textValues, Args: cobra.MaximumNArgs(1)}
	cmd.Flags().StringVar(&program, "program", "rlb-gateway", "program whose settings are shown")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		path := ""
		if len(args) > 0 {
			path = args[0]
		}
		for _, p := range rlbsettings.ProgramNames {
			if p.Name != program {
				continue
			}
			settings, err := rlbcommon.LoadSettings(path, a.overrides, p.Program)
			if err != nil {
				return &exitError{ExitInvalid, err}
			}
			var showErr error
			if err := a.print(settings.Values(), func(w io.Writer) { showErr = settings.Show(w) }); err != nil {
				return err
			}
			return showErr
		}
		return exitf(ExitUsage, "--program %s: must be rlb-gateway, rlb-controller, rlbctl, rlb-standin, rlb-load or rlb-node", program)
	}
	return cmd
}
