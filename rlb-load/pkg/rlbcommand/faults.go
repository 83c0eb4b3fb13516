package rlbcommand

import (
	"errors"
	"fmt"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbfaults"
	"github.com/spf13/cobra"
)

const progressPeriod = 5 * time.Second

var errInvariantViolated = errors.New("an invariant was violated")

func faultsCommand() *cobra.Command {
	var opts rlbfaults.Opts
	cmd := &cobra.Command{Use: "faults", Short: "Send a seeded mix of requests and count violated invariants from the stand-ins' run records", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.Gateways, "gateways", nil, "addresses of gateways")
	flags.IntVar(&opts.Requests, "requests", 100_000, "number of requests")
	flags.IntVar(&opts.Concurrency, "concurrency", 64, "concurrent requests")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the mix")
	flags.StringSliceVar(&opts.Models, "models", nil, "models whose requests are idempotent")
	flags.StringVar(&opts.NonIdempotentModel, "once-model", "", "model whose requests run at most once")
	flags.StringVar(&opts.ReadPath, "read", "/stock/list", "path of a plain service whose requests are idempotent")
	flags.StringVar(&opts.WritePath, "write", "/shifts/reassign", "path of a plain service whose requests run at most once")
	flags.StringSliceVar(&opts.Records, "records", nil, "paths of the stand-ins' run records")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext()
		defer stop()
		next := time.Now().Add(progressPeriod)
		opts.Progress = func(started int) {
			if now := time.Now(); now.After(next) {
				next = now.Add(progressPeriod)
				_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%d of %d requests started\n", started, opts.Requests)
			}
		}
		verdict, err := rlbfaults.Run(ctx, opts)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "sends=%d outcomes=%v\n%s\n", verdict.Sends, verdict.Outcomes, verdict)
		if verdict.Violated() {
			return errInvariantViolated
		}
		return nil
	}
	return cmd
}
