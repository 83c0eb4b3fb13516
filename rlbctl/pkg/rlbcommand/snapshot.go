package rlbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/spf13/cobra"
)

// snapshotMode is the file mode of a saved snapshot, readable only by its owner.
const snapshotMode = 0o600

func (a *app) snapshotCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "snapshot", Short: textSnapshot}
	cmd.AddCommand(
		&cobra.Command{Use: "save FILE", Short: textSave, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error { return a.saveSnapshot(args[0]) }},
		&cobra.Command{Use: "show FILE", Short: textShowSnapshot, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error { return a.showSnapshot(args[0]) }},
		&cobra.Command{Use: "diff FROM TO", Short: textDiffSnapshots, Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error { return a.diffSnapshots(args[0], args[1]) }},
	)
	return cmd
}

func (a *app) saveSnapshot(path string) error {
	var snapshot rlboperator.Snapshot
	if err := a.withClient(func(ctx context.Context, c *rlboperator.Client) (err error) {
		snapshot, err = c.Snapshot(ctx)
		return err
	}); err != nil {
		return err
	}
	data, err := json.MarshalIndent(snapshot, "", " ")
	if err != nil {
		return exitf(ExitUsage, "encode snapshot: %w", err)
	}
	if err := os.WriteFile(path, data, snapshotMode); err != nil {
		return exitf(ExitUsage, "%w", err)
	}
	return a.print(checkedFile{path, true}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "saved the state of %s at %s\n", snapshot.Instance, snapshot.Taken.Format(time.RFC3339))
	})
}

func readSnapshot(path string) (rlboperator.Snapshot, error) {
	var snapshot rlboperator.Snapshot
	data, err := os.ReadFile(path)
	if err != nil {
		return snapshot, exitf(ExitUsage, "%w", err)
	}
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return snapshot, exitf(ExitInvalid, "%s is not a snapshot: %w", path, err)
	}
	return snapshot, nil
}

func (a *app) showSnapshot(path string) error {
	s, err := readSnapshot(path)
	if err != nil {
		return err
	}
	return a.print(s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s at %s: version %d, %d instances, %d engines, %d nodes, %d intents, %d claims, %d crash records\n",
			s.Instance, s.Taken.Format(time.RFC3339), s.Input.Note.Version, len(s.Instances), len(s.Engines), len(s.Processes), len(s.Intents), s.Claims, len(s.Crashes))
		for domain, holder := range s.Leases {
			_, _ = fmt.Fprintf(w, "lease %-12s %s\n", domain, holder)
		}
		for _, p := range s.Plan {
			_, _ = fmt.Fprintf(w, "plan  %s\n", p)
		}
	})
}

func (a *app) diffSnapshots(from, to string) error {
	before, err := readSnapshot(from)
	if err != nil {
		return err
	}
	after, err := readSnapshot(to)
	if err != nil {
		return err
	}
	lines := rlboperator.Differences(before, after)
	return a.print(lines, func(w io.Writer) {
		for _, line := range lines {
			_, _ = fmt.Fprintln(w, line)
		}
	})
}

func (a *app) replayCommand() *cobra.Command {
	return &cobra.Command{Use: "replay FILE", Short: textReplay, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		snapshot, err := readSnapshot(args[0])
		if err != nil {
			return err
		}
		plan, same := snapshot.Replay()
		if err := a.print(plan, func(w io.Writer) {
			for _, p := range plan {
				_, _ = fmt.Fprintln(w, p)
			}
			_, _ = fmt.Fprintf(w, "%d proposals, equal to the record: %t\n", len(plan), same)
		}); err != nil {
			return err
		}
		if !same {
			return exitf(ExitInvalid, "the replayed plan differs from the recorded one")
		}
		return nil
	}}
}
