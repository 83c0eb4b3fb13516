package rlbcommand

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/spf13/cobra"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: textStatus, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var status rlboperator.Status
		if err := a.withClient(func(ctx context.Context, c *rlboperator.Client) (err error) {
			status, err = c.Status(ctx)
			return err
		}); err != nil {
			return err
		}
		return a.print(status, func(w io.Writer) { writeStatus(w, status) })
	}}
}

func writeStatus(w io.Writer, s rlboperator.Status) {
	inForce := "not in force everywhere yet"
	if s.InForce {
		inForce = "in force everywhere"
	}
	_, _ = fmt.Fprintf(w, "version %d (note %s), %s: %d gateways, as seen by %s\n", s.NoteVersion, s.NoteID, inForce, s.Gateways, s.Instance)
	for _, p := range s.Processes {
		_, _ = fmt.Fprintf(w, "%-10s %-12s %-10s version %-4d silent %4.1fs  leases %s\n",
			p.Type, p.ID, p.FailureDomain, p.NoteVersion, p.Silent, strings.Join(p.Leases, ","))
	}
	for _, m := range s.Models {
		_, _ = fmt.Fprintf(w, "model      %-24s %-8s demand %6.1f  ready on %s\n", m.Name, m.Version, m.Demand, strings.Join(m.Ready, ","))
	}
	for _, e := range s.Endpoints {
		_, _ = fmt.Fprintf(w, "endpoint   %-12s %-8s %-10s %-9s %s of %s  running %d waiting %d  %s\n",
			e.ID, e.Type, e.FailureDomain, e.State, orDash(e.Used), orDash(e.Memory), e.Running, e.Waiting, strings.Join(e.Residents, ", "))
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain WORD", Short: textExplain, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		var events []rlboperator.Event
		if err := a.withClient(func(ctx context.Context, c *rlboperator.Client) (err error) {
			events, err = c.Explain(ctx, args[0])
			return err
		}); err != nil {
			return err
		}
		slices.SortStableFunc(events, func(x, y rlboperator.Event) int { return x.Time.Compare(y.Time) })
		return a.print(events, func(w io.Writer) {
			for _, e := range events {
				_, _ = fmt.Fprintf(w, "%s %-10s %-20s %s\n", e.Time.Format(time.StampMilli), e.Instance, e.Subject, e.Text)
			}
		})
	}}
}
