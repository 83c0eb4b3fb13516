package rlbcommand

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbbench"
	"github.com/rhubarblb/rhubarblb/rlb-load/pkg/rlbscenario"
	"github.com/spf13/cobra"
)

func runCommand() *cobra.Command {
	var opts rlbbench.Opts
	cmd := &cobra.Command{Use: "run SCENARIO", Short: "Run a scenario and print its result as one JSON line", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) (err error) {
		if opts.Scenario, err = rlbscenario.Load(args[0]); err != nil {
			return err
		}
		ctx, stop := signalContext()
		defer stop()
		result, err := rlbbench.Run(ctx, opts)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s %s load %g seed %d: attainment %.3f, goodput %.1f, moves %d\n",
			result.Scenario, result.Label, result.Load, result.Seed, result.Attainment(), result.Goodput(), result.Moves)
		return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
	}}
	flags := cmd.Flags()
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the arrivals")
	flags.Float64Var(&opts.Load, "load", 1, "factor applied to all arrival rates")
	flags.StringVar(&opts.Label, "label", "", "label of the measured policy")
	flags.StringSliceVar(&opts.Gateways, "gateways", nil, "addresses of gateways")
	flags.StringSliceVar(&opts.Engines, "engines", nil, "control addresses of engines")
	return cmd
}

func compareCommand() *cobra.Command {
	var page, scenario string
	cmd := &cobra.Command{Use: "compare FILE", Short: "Compare results of policies over all seeds", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		file, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		results, err := rlbbench.Read(file)
		if err != nil {
			return err
		}
		groups := rlbbench.GroupResults(results)
		if page != "" {
			html, err := os.Create(page)
			if err != nil {
				return err
			}
			defer func() { _ = html.Close() }()
			if err := rlbbench.WriteHTML(html, groups); err != nil {
				return err
			}
		}
		if err := rlbbench.WriteTable(cmd.OutOrStdout(), groups); err != nil {
			return err
		}
		ratio, baseline := rlbbench.AttainmentRatio(groups, scenario, 1)
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "\nbest baseline at %s: %s\nattainment_ratio=%.3f goodput_at_twice=%.3f\n", scenario, baseline, ratio, rlbbench.GoodputAtDoubleLoad(groups, scenario))
		return err
	}}
	cmd.Flags().StringVar(&page, "html", "", "file for an HTML page; empty: none")
	cmd.Flags().StringVar(&scenario, "scenario", "muscat-morning", "scenario of the attainment ratio")
	return cmd
}
