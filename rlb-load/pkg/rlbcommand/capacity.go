package rlbcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbcapacity"
	"github.com/spf13/cobra"
)

// startProfile starts a processor profile and returns the function that stops it.
func startProfile(path string) (func(), error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("start processor profile: %w", err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, fmt.Errorf("start processor profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func capacityCommand() *cobra.Command {
	var shape rlbcapacity.Shape
	var platform, profile string
	var port int
	var settle, measure time.Duration
	cmd := &cobra.Command{Use: "capacity", Short: "Measure the cost of controllers in a fleet of a given size"}
	flags := cmd.PersistentFlags()
	flags.IntVar(&shape.Controllers, "controllers", 3, "controllers in each failure domain")
	flags.IntVar(&shape.Engines, "engines", 30, "engines in each failure domain")
	flags.IntVar(&shape.Domains, "domains", 1, "failure domains")
	flags.IntVar(&shape.Residents, "residents", 3, "models loaded on each engine")
	flags.StringVar(&platform, "platform", "127.0.0.1:18000", "address of the platform stand-in")
	flags.IntVar(&port, "port", 18100, "first port of the controllers")
	standins := &cobra.Command{Use: "standins", Short: "Serve stand-ins of the platform and the engines", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext()
		defer stop()
		return rlbcapacity.RunStandins(ctx, shape, platform, port, cmd.OutOrStdout())
	}}
	members := &cobra.Command{Use: "members", Short: "Run the controllers and print the measurement as one JSON line", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext()
		defer stop()
		stopProfile, err := startProfile(profile)
		if err != nil {
			return err
		}
		defer stopProfile()
		sample, err := rlbcapacity.RunControllers(ctx, shape, platform, port, settle, measure)
		if err != nil {
			return err
		}
		return json.NewEncoder(cmd.OutOrStdout()).Encode(sample)
	}}
	members.Flags().StringVar(&profile, "cpu-profile", "", "file for a processor profile; empty: none")
	members.Flags().DurationVar(&settle, "settle", 8*time.Second, "settling time before the measurement")
	members.Flags().DurationVar(&measure, "measure", 8*time.Second, "duration of the measurement")
	page := &cobra.Command{Use: "page FILE", Short: "Fit lines to samples and write the measured part of docs/CAPACITY.md", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		file, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		samples, err := rlbcapacity.ReadSamples(file)
		if err != nil {
			return err
		}
		return rlbcapacity.Page(cmd.OutOrStdout(), samples, rlbcapacity.FittedSamples)
	}}
	var claims rlbcapacity.ClaimOpts
	claim := &cobra.Command{Use: "claims", Short: "Measure claims at a fixed rate, with group commit or one object per key", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		ctx, stop := signalContext()
		defer stop()
		claims.Platform, claims.FirstPort = platform, port
		result, err := rlbcapacity.MeasureClaims(ctx, claims)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(cmd.OutOrStdout(), result)
		return err
	}}
	claim.Flags().BoolVar(&claims.PerKey, "per-key", false, "write one object per key")
	claim.Flags().StringArrayVar(&claims.Overrides, "set", nil, "setting of the controllers, as section.key=value")
	claim.Flags().Float64Var(&claims.Rate, "rate", 100, "claims per second")
	claim.Flags().DurationVar(&claims.Time, "time", 8*time.Second, "duration of the measurement")
	claim.Flags().DurationVar(&claims.Delay, "delay", 3*time.Millisecond, "added to each call of the object API")
	cmd.AddCommand(standins, members, page, claim)
	return cmd
}
