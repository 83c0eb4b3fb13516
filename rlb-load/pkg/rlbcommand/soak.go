package rlbcommand

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbsoak"
	"github.com/spf13/cobra"
)

func soakCommand() *cobra.Command {
	var opts rlbsoak.Opts
	var seeds []uint
	var fresh int
	cmd := &cobra.Command{Use: "soak", Short: "Run instances as processes, inject faults from outside, and check invariants", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.StringVar(&opts.Program, "program", "bin/rlb-node", "path of the rlb-node binary")
	flags.StringVar(&opts.Folder, "folder", ".trial/soak", "folder for settings and logs")
	flags.StringVar(&opts.Host, "host", "127.0.0.1", "IP address on loopback")
	flags.IntVar(&opts.Port, "port", 21000, "first port")
	flags.IntVar(&opts.Instances, "instances", 6, "number of instances, one process each")
	flags.IntVar(&opts.Engines, "engines", 4, "number of endpoints with models")
	flags.IntVar(&opts.Plain, "plain", 3, "number of endpoints of the plain service")
	flags.IntVar(&opts.Callers, "callers", 24, "callers")
	flags.DurationVar(&opts.Length, "length", 20*time.Second, "duration of the fault injection")
	flags.StringSliceVar(&opts.Only, "only", nil, "kinds of fault to inject, of "+strings.Join(rlbsoak.FaultKinds(), ", ")+"; empty: all")
	flags.UintSliceVar(&seeds, "seeds", nil, "seeds to run")
	flags.IntVar(&fresh, "fresh", 0, "number of new random seeds to run")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for n := range fresh {
			seeds = append(seeds, uint(time.Now().UnixMilli()%1_000_000*1000)+uint(n))
		}
		ctx, stop := signalContext()
		defer stop()
		violated := 0
		for _, seed := range seeds {
			v, err := runSeed(ctx, opts, uint64(seed))
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), v)
			for _, finding := range v.Findings {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), "  "+finding)
			}
			if len(v.Violations) > 0 {
				violated++
			}
		}
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d seeds run, %d violated an invariant\n", len(seeds), violated)
		if violated > 0 {
			return errInvariantViolated
		}
		return nil
	}
	return cmd
}

func runSeed(ctx context.Context, opts rlbsoak.Opts, seed uint64) (rlbsoak.Verdict, error) {
	opts.Seed, opts.Folder = seed, filepath.Join(opts.Folder, fmt.Sprintf("seed-%d", seed))
	return rlbsoak.Run(ctx, opts)
}
