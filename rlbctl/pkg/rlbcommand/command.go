// Package rlbcommand is the operator's command line.
package rlbcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcommon"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbhttp"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbtls"
	"github.com/spf13/cobra"
)

// ExitCode is the status that rlbctl ends with.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitUsage       ExitCode = 1 // wrong command line, unreadable file
	ExitInvalid     ExitCode = 2 // the note or the settings are wrong
	ExitConflict    ExitCode = 3 // another note came first
	ExitUnavailable ExitCode = 4 // no controller, or no platform: nothing was accepted
	ExitUnsure      ExitCode = 5 // the note may have been accepted
	ExitInfeasible  ExitCode = 6 // the endpoints cannot hold the note
	ExitNotInForce  ExitCode = 7 // --wait ended before the note was in force everywhere
)

var exitCodes = map[rlboperator.Kind]ExitCode{
	rlboperator.KindInvalid:     ExitInvalid,
	rlboperator.KindStale:       ExitConflict,
	rlboperator.KindInfeasible:  ExitInfeasible,
	rlboperator.KindUnavailable: ExitUnavailable,
	rlboperator.KindUnsure:      ExitUnsure,
}

// exitError is an error that ends rlbctl with a code.
type exitError struct {
	code ExitCode
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exitf(code ExitCode, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// app is what the commands share.
type app struct {
	out          io.Writer
	settingsPath string
	overrides    []string
	output       string
}

// Execute runs a command line and returns the exit code.
func Execute(args []string, out, errOut io.Writer) ExitCode {
	a := &app{out: out}
	root := &cobra.Command{Use: "rlbctl", Short: textRoot, SilenceUsage: true, SilenceErrors: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	flags := root.PersistentFlags()
	flags.StringVar(&a.settingsPath, "settings", "", "INI file with a [ctl] section")
	flags.StringArrayVar(&a.overrides, "set", nil, "one setting as section.key=value; may be given more than once")
	flags.StringVarP(&a.output, "output", "o", "text", "text or json")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if a.output != "text" && a.output != "json" {
			return exitf(ExitUsage, "--output %s: write text or json", a.output)
		}
		return nil
	}
	root.AddCommand(a.noteCommand(), a.statusCommand(), a.explainCommand(), a.settingsCommand(), a.snapshotCommand(), a.replayCommand(), a.burnCommand())
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "rlbctl:", err)
	return codeOf(err)
}

func codeOf(err error) ExitCode {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if kind, ok := rlberror.KindOf[rlboperator.Kind](err); ok {
		return exitCodes[kind]
	}
	return ExitUsage
}

// client returns a client of the controllers, and its clean-up function.
func (a *app) client() (*rlboperator.Client, context.Context, func(), error) {
	settings, err := rlbcommon.LoadSettings(a.settingsPath, a.overrides, rlbsettings.ForCtl)
	if err != nil {
		return nil, nil, nil, &exitError{ExitInvalid, err}
	}
	keys, err := rlbtls.LoadControl(settings)
	if err != nil {
		return nil, nil, nil, &exitError{ExitInvalid, err}
	}
	secured, err := keys.ClientConfig()
	if err != nil {
		return nil, nil, nil, &exitError{ExitInvalid, err}
	}
	scheme := "http"
	if secured != nil {
		scheme = "https"
	}
	timeout := settings.Duration(rlbsettings.CtlTimeout)
	client, closeIdle := rlbhttp.NewClient(timeout, timeout, 1)
	client.Transport.(*http.Transport).TLSClientConfig = secured
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	cleanUp := func() {
		cancel()
		closeIdle()
	}
	return rlboperator.NewClient(settings.List(rlbsettings.CtlControllers), client, scheme), ctx, cleanUp, nil
}

// print writes v as JSON, or as text by the given function.
func (a *app) print(v any, text func(io.Writer)) error {
	if a.output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	text(a.out)
	return nil
}
