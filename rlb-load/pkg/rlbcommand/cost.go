package rlbcommand

import (
	"fmt"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbcost"
	"github.com/spf13/cobra"
)

func costCommand() *cobra.Command {
	var o rlbcost.Opts
	cmd := &cobra.Command{Use: "cost", Short: "Measure the overhead of a gateway per request and per token", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
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
	flags.StringVar(&o.Version, "version", "v1", "version of the model")
	flags.IntVar(&o.Requests, "requests", 3000, "requests sent directly, and as many through the gateway")
	flags.IntVar(&o.Streams, "streams", 64, "concurrent streams")
	flags.IntVar(&o.Tokens, "tokens", 20000, "tokens per stream")
	return cmd
}
