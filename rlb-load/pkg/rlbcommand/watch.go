package rlbcommand

import (
	"fmt"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbinvariant"
	"github.com/spf13/cobra"
)

func watchCommand() *cobra.Command {
	var opts rlbinvariant.Opts
	cmd := &cobra.Command{Use: "watch", Short: "Poll engines and gateways and count violated invariants until SIGTERM", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext()
		defer stop()
		verdict := rlbinvariant.Monitor(ctx, opts)
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "looks=%d\n%s\n", verdict.Polls, verdict)
		if verdict.Violated() {
			return errInvariantViolated
		}
		return nil
	}}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.Engines, "engines", nil, "addresses of engines")
	flags.StringSliceVar(&opts.Gateways, "gateways", nil, "addresses of gateways")
	flags.DurationVar(&opts.Period, "period", 100*time.Millisecond, "poll interval")
	flags.DurationVar(&opts.InForce, "in-force", 15*time.Second, "time within which a note must be in force at every gateway")
	return cmd
}
