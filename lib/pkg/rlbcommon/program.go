package rlbcommon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/spf13/cobra"
)

// ProgramOpts describes a daemon.
type ProgramOpts struct {
	Name    string
	Short   string
	Program rlbsettings.Program
	// BoundedLog selects a rate-limited log on standard output instead of an
	// unlimited log on standard error.
	BoundedLog bool
	// Run serves until stop is canceled, then shuts down gracefully.
	Run func(stop context.Context, common *Common, out io.Writer) error
}

// NewCommand returns the command line of a daemon: --settings FILE and --set
// section.key=value. SIGTERM and SIGINT start a graceful shutdown. Repeated
// signals are ignored, so that a supervisor that signals again does not cut off
// requests in flight.
func NewCommand(opts ProgramOpts) *cobra.Command {
	var path string
	var overrides []string
	cmd := &cobra.Command{
		Use: opts.Name, Short: opts.Short, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := LoadSettings(path, overrides, opts.Program)
			if err != nil {
				return err
			}
			common, cleanUp, err := opts.common(cmd, settings)
			if err != nil {
				return err
			}
			defer cleanUp()
			common.SettingsPath = path
			common.Reload = func() (*rlbsettings.Settings, error) { return LoadSettings(path, overrides, opts.Program) }
			stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer release()
			return opts.Run(stop, common, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "INI file with the settings; defaults apply without it")
	cmd.Flags().StringArrayVar(&overrides, "set", nil, "override a setting, as section.key=value; may be repeated")
	return cmd
}

func (opts ProgramOpts) common(cmd *cobra.Command, settings *rlbsettings.Settings) (*Common, func(), error) {
	if opts.BoundedLog {
		return NewBounded(cmd.OutOrStdout(), settings)
	}
	common, err := New(cmd.ErrOrStderr(), settings)
	return common, func() {}, err
}

// LoadSettings reads the settings file of a program and applies the overrides.
func LoadSettings(path string, overrides []string, program rlbsettings.Program) (*rlbsettings.Settings, error) {
	settings, err := rlbsettings.Load(path, program)
	if err != nil {
		return nil, err
	}
	for _, assignment := range overrides {
		if err := settings.Override(assignment); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// Execute runs the command of a daemon and exits with status 1 on an error.
func Execute(cmd *cobra.Command) {
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Listen listens on the address configured by key.
func Listen(settings *rlbsettings.Settings, key *rlbsettings.Key) (net.Listener, error) {
	listener, err := net.Listen("tcp", settings.Text(key))
	if err != nil {
		return nil, fmt.Errorf("listen on [%s] %s: %w", key.Section, key.Name, err)
	}
	return listener, nil
}
