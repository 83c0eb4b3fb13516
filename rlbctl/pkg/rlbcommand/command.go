// Package rlbcommand implements the commands of rlbctl.
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

// ExitCode is the exit status of rlbctl.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitUsage       ExitCode = 1 // invalid command line or unreadable file
	ExitInvalid     ExitCode = 2 // the note, the settings or the config are invalid
	ExitConflict    ExitCode = 3 // another note was accepted since the base of the note
	ExitUnavailable ExitCode = 4 // controllers or platform unreachable, nothing was accepted
	ExitUnknown     ExitCode = 5 // the note may have been accepted
	ExitInfeasible  ExitCode = 6 // the endpoints cannot hold the models of the note
	ExitNotInForce  ExitCode = 7 // --wait timed out before the note was in force at all gateways
	ExitWarnings    ExitCode = 8 // the config has warnings, but no errors
)

var exitCodes = map[rlboperator.Kind]ExitCode{
	rlboperator.KindInvalid:     ExitInvalid,
	rlboperator.KindStale:       ExitConflict,
	rlboperator.KindInfeasible:  ExitInfeasible,
	rlboperator.KindUnavailable: ExitUnavailable,
	rlboperator.KindUnknown:     ExitUnknown,
}

// exitError is an error with the exit code that it causes.
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

// app holds the flags and output shared by all commands.
type app struct {
	out          io.Writer
	settingsPath string
	overrides    []string
	output       string
}

// Execute runs the command given by args and returns its exit code.
func Execute(args []string, out, errOut io.Writer) ExitCode {
	a := &app{out: out}
	root := &cobra.Command{Use: "rlbctl", Short: textRoot, SilenceUsage: true, SilenceErrors: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	flags := root.PersistentFlags()
	flags.StringVar(&a.settingsPath, "settings", "", "INI file with a [ctl] section")
	flags.StringArrayVar(&a.overrides, "set", nil, "override a setting, as section.key=value; may be repeated")
	flags.StringVarP(&a.output, "output", "o", "text", "output format: text or json")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if a.output != "text" && a.output != "json" {
			return exitf(ExitUsage, "--output %s: must be text or json", a.output)
		}
		return nil
	}
	root.AddCommand(a.noteCommand(), a.statusCommand(), a.explainCommand(), a.settingsCommand(), a.configCommand(), a.snapshotCommand(), a.replayCommand(), a.burnCommand())
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "rlbctl:", err)
	return exitCodeOf(err)
}

func exitCodeOf(err error) ExitCode {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if kind, ok := rlberror.KindOf[rlboperator.Kind](err); ok {
		return exitCodes[kind]
	}
	return ExitUsage
}

// client returns a client of the controllers, the context of its calls, and a
// function that releases both.
func (a *app) client() (*rlboperator.Client, context.Context, func(), error) {
	settings, err := rlbcommon.LoadSettings(a.settingsPath, a.overrides, rlbsettings.ForCtl)
	if err != nil {
		return nil, nil, nil, &exitError{ExitInvalid, err}
	}
	credentials, err := rlbtls.LoadControl(settings)
	if err != nil {
		return nil, nil, nil, &exitError{ExitInvalid, err}
	}
	tlsConfig, err := credentials.ClientConfig()
	if err != nil {
		return nil, nil, nil, &exitError{ExitInvalid, err}
	}
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	timeout := settings.Duration(rlbsettings.CtlTimeout)
	client, closeIdle := rlbhttp.NewClient(timeout, timeout, 1)
	client.Transport.(*http.Transport).TLSClientConfig = tlsConfig
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	cleanUp := func() {
		cancel()
		closeIdle()
	}
	return rlboperator.NewClient(settings.List(rlbsettings.CtlControllers), client, scheme), ctx, cleanUp, nil
}

// print writes v as JSON, or calls text to write it as text.
func (a *app) print(v any, text func(io.Writer)) error {
	if a.output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	text(a.out)
	return nil
}
