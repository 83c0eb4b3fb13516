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
	cmd := &cobra.Command{Use: "soak", Short: "Run nodes as processes, harm them from outside, and check the promises", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.StringVar(&opts.Program, "program", "bin/rlb-node", "program of a node")
	flags.StringVar(&opts.Folder, "folder", ".trial/soak", "folder for settings and logs")
	flags.StringVar(&opts.Host, "host", "127.0.0.1", "IP address on loopback")
	flags.IntVar(&opts.Port, "port", 21000, "first port")
	flags.IntVar(&opts.Instances, "instances", 6, "processes of nodes")
	flags.IntVar(&opts.Engines, "engines", 4, "endpoints that hold models")
	flags.IntVar(&opts.Plain, "plain", 3, "endpoints of the plain service")
	flags.IntVar(&opts.Callers, "callers", 24, "callers")
	flags.DurationVar(&opts.Length, "length", 20*time.Second, "time in which things are harmed")
	flags.StringSliceVar(&opts.Only, "only", nil, "kinds of trouble, of "+strings.Join(rlbsoak.FaultKinds(), ", ")+"; empty: all")
	flags.UintSliceVar(&seeds, "seeds", nil, "seeds to play")
	flags.IntVar(&fresh, "fresh", 0, "seeds to draw anew and play")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for n := range fresh {
			seeds = append(seeds, uint(time.Now().UnixMilli()%1_000_000*1000)+uint(n))
		}
		ctx, stop := signalContext()
		defer stop()
		broken := 0
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
				broken++
			}
		}
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d seeds played, %d broke a promise\n", len(seeds), broken)
		if broken > 0 {
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
