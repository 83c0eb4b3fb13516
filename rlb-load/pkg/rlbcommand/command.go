// Package rlbcommand is the command line of rlb-load.
package rlbcommand

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// New returns the command line.
func New() *cobra.Command {
	root := &cobra.Command{Use: "rlb-load", Short: "Drives gateways with load and measures what control costs", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(capacityCommand(), faultsCommand(), costCommand(), watchCommand(), runCommand(), compareCommand(), soakCommand())
	return root
}

// signalContext returns a context that ends with SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
