package rlbcommand

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbconfigcheck"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	rlbplatform "github.com/rhubarblb/rhubarblb/platform"
	"github.com/spf13/cobra"
)

// checkedConfig is the result of a check of a config.
type checkedConfig struct {
	File     string                   `json:"file"`
	Version  uint64                   `json:"version"`
	Findings []rlbconfigcheck.Finding `json:"findings"`
	Changes  []rlbconfigcheck.Change  `json:"changes,omitempty"` // compared with the config in force
}

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: textConfig}
	cmd.AddCommand(a.configCheckCommand())
	return cmd
}

func (a *app) configCheckCommand() *cobra.Command {
	var against string
	var endpoints map[string]int
	cmd := &cobra.Command{Use: "check FILE", Short: textCheckConfig, Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&against, "against", "", "file with the config in force: show what changes")
	cmd.Flags().StringToIntVar(&endpoints, "endpoints", nil, "number of endpoints of a service, as service=number; rules about all endpoints of a service need it")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		result, err := checkConfig(args[0], against, endpoints)
		if err != nil {
			return err
		}
		if err := a.print(result, func(w io.Writer) { writeCheckedConfig(w, result) }); err != nil {
			return err
		}
		return findingsError(result)
	}
	return cmd
}

// checkConfig checks the config in a file, and compares it with the one in another unless
// against is empty.
func checkConfig(path, against string, endpoints rlbconfigcheck.Endpoints) (checkedConfig, error) {
	config, err := readConfig(path)
	if err != nil {
		return checkedConfig{}, err
	}
	for service := range endpoints {
		if _, known := config.Services[service]; !known {
			return checkedConfig{}, exitf(ExitUsage, "--endpoints: %s has no service %q", path, service)
		}
	}
	result := checkedConfig{File: path, Version: config.Version}
	if against == "" {
		result.Findings = rlbconfigcheck.Check(config, endpoints)
		return result, nil
	}
	inForce, err := readConfig(against)
	if err != nil {
		return checkedConfig{}, err
	}
	result.Findings = rlbconfigcheck.CheckSuccessor(inForce, config, endpoints)
	result.Changes = rlbconfigcheck.Compare(inForce, config)
	return result, nil
}

// readConfig reads and decodes a config as instances do.
func readConfig(path string) (*rlbdeployment.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, exitf(ExitUsage, "%w", err)
	}
	config, err := rlbplatform.DecodeConfig(text)
	if err != nil {
		return nil, exitf(ExitInvalid, "%s%s: %w", path, errorPosition(text, err), err)
	}
	return config, nil
}

// errorPosition returns :LINE:COLUMN of an error in JSON, or nothing if it has no position.
func errorPosition(text []byte, err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	default:
		return ""
	}
	before := text[:min(max(offset-1, 0), int64(len(text)))]
	line, column := 1+bytes.Count(before, []byte{'\n'}), len(before)-bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf(":%d:%d", line, column)
}

func writeCheckedConfig(w io.Writer, result checkedConfig) {
	for _, f := range result.Findings {
		_, _ = fmt.Fprintln(w, f)
	}
	for _, c := range result.Changes {
		_, _ = fmt.Fprintln(w, "change:", c)
	}
	if len(result.Findings) == 0 {
		_, _ = fmt.Fprintf(w, "%s: version %d has no findings\n", result.File, result.Version)
	}
}

// findingsError returns the error for the findings of a check; nil: there are none.
func findingsError(result checkedConfig) error {
	switch {
	case rlbconfigcheck.HasErrors(result.Findings):
		return exitf(ExitInvalid, "%s: version %d has errors", result.File, result.Version)
	case len(result.Findings) > 0:
		return exitf(ExitWarnings, "%s: version %d has warnings", result.File, result.Version)
	default:
		return nil
	}
}
