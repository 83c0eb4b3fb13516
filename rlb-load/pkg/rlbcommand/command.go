// Package rlbcommand implements the command line of rlb-load.
package rlbcommand

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{Use: "rlb-load", Short: "Generates load for gateways, injects faults and checks invariants, and measures the cost of control", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(capacityCommand(), faultsCommand(), costCommand(), watchCommand(), runCommand(), compareCommand(), soakCommand())
	return root
}

// signalContext returns a context that is canceled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
