package rlbcommand

import (
	"fmt"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbcost"
	"github.com/spf13/cobra"
)

func costCommand() *cobra.Command {
	var o rlbcost.Opts
	cmd := &cobra.Command{Use: "cost", Short: "Measure what a gateway adds to a request and to a token", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext()
		defer stop()
		result, err := rlbcost.Measure(ctx, o)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), result)
		return err
	}}
	flags := cmd.Flags()
	flags.StringVar(&o.Gateway, "gateway", "127.0.0.1:7000", "address of the gateway")
	flags.StringVar(&o.Endpoint, "endpoint", "", "address of the endpoint that serves the model")
	flags.IntVar(&o.GatewayPID, "gateway-pid", 0, "process id of the gateway")
	flags.StringVar(&o.Model, "model", "", "model")
	flags.StringVar(&o.Version, "version", "v1", "its version")
	flags.IntVar(&o.Requests, "requests", 3000, "requests of each kind")
	flags.IntVar(&o.Streams, "streams", 64, "streams at once")
	flags.IntVar(&o.Tokens, "tokens", 20000, "tokens of each stream")
	return cmd
}
