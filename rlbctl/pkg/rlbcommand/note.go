package rlbcommand

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
)

const (
	defaultHistory = 20
	statusPeriod   = 200 * time.Millisecond // between two looks while --wait waits
)

func (a *app) noteCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "note", Short: textNote}
	cmd.AddCommand(a.validateCommand(), a.diffCommand(), a.publishCommand(), a.showCommand(), a.historyCommand())
	return cmd
}

// readNote reads and checks a note's file.
func readNote(path string) ([]byte, rlbnote.Note, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, rlbnote.Note{}, exitf(ExitUsage, "%w", err)
	}
	note, err := rlbnote.Parse(path, text)
	if err != nil {
		return nil, note, &exitError{ExitInvalid, err}
	}
	return text, note, nil
}

// rejected turns a rejection into an error that says what to do.
func (a *app) rejected(r *rlboperator.Rejection) error {
	if a.output == "json" {
		_ = a.print(r, nil) // the error below stands in any case
	} else if r.Kind == rlboperator.KindStale {
		writeSince(a.out, r)
	}
	return exitf(exitCodes[r.Kind], "%s: %s", r.Kind, r.Problem)
}

func writeSince(w io.Writer, r *rlboperator.Rejection) {
	_, _ = fmt.Fprintf(w, "Version %d is in force. Accepted since the note's base:\n", r.Current)
	for _, past := range r.Since {
		_, _ = fmt.Fprintf(w, "version %d, note %s, %s\n", past.Version, past.Note.ID, past.Published.Format(time.RFC3339))
		encoder := yaml.NewEncoder(w)
		_ = encoder.Encode(listing(past.Note))
	}
}

// listing is a note in short, for people.
func listing(n rlbnote.Note) map[string]map[string][]string {
	sections := map[string]map[string][]string{}
	add := func(section, item string, names []string) {
		if len(names) == 0 {
			return
		}
		if sections[section] == nil {
			sections[section] = map[string][]string{}
		}
		sections[section][item] = names
	}
	for section, items := range map[string]rlbnote.Items{"add": n.Add, "change": n.Change} {
		var models, adapters, services []string
		for _, m := range items.Models {
			models = append(models, m.Name+"@"+m.Version)
		}
		for _, ad := range items.Adapters {
			adapters = append(adapters, ad.Name+"@"+ad.Version)
		}
		for _, s := range items.Services {
			services = append(services, s.Name)
		}
		add(section, "models", models)
		add(section, "adapters", adapters)
		add(section, "services", services)
	}
	add("withdraw", "models", n.Withdraw.Models)
	add("withdraw", "adapters", n.Withdraw.Adapters)
	add("withdraw", "services", n.Withdraw.Services)
	return sections
}

func (a *app) validateCommand() *cobra.Command {
	var offline bool
	cmd := &cobra.Command{Use: "validate FILE", Short: textValidate, Args: cobra.ExactArgs(1)}
	cmd.Flags().BoolVar(&offline, "offline", false, "only check the file itself, without a controller")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		if offline {
			_, note, err := readNote(args[0])
			if err != nil {
				return err
			}
			return a.print(note, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s is well-formed\n", args[0]) })
		}
		checked, err := a.check(args[0])
		if err != nil {
			return err
		}
		return a.print(checked, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s is valid on version %d and changes %d items\n", args[0], checked.Base, len(checked.Differences))
		})
	}
	return cmd
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: textDiff, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		checked, err := a.check(args[0])
		if err != nil {
			return err
		}
		return a.print(checked, func(w io.Writer) {
			for _, d := range checked.Differences {
				_, _ = fmt.Fprintln(w, d)
			}
		})
	}}
}

func (a *app) check(path string) (rlboperator.ValidateResult, error) {
	text, _, err := readNote(path)
	if err != nil {
		return rlboperator.ValidateResult{}, err
	}
	client, ctx, cleanUp, err := a.client()
	if err != nil {
		return rlboperator.ValidateResult{}, err
	}
	defer cleanUp()
	checked, rejection, err := client.Validate(ctx, path, text)
	if rejection != nil {
		return checked, a.rejected(rejection)
	}
	return checked, err
}

func (a *app) publishCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{Use: "publish FILE", Short: textPublish, Args: cobra.ExactArgs(1)}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait until the note is in force at every gateway, at most this long")
	cmd.RunE = func(_ *cobra.Command, args []string) error { return a.publish(args[0], wait) }
	return cmd
}

// publish publishes a note under an id of its own, so that trying again, here
// or at another controller, cannot publish it twice.
func (a *app) publish(path string, wait time.Duration) error {
	text, _, err := readNote(path)
	if err != nil {
		return err
	}
	client, ctx, cleanUp, err := a.client()
	if err != nil {
		return err
	}
	defer cleanUp()
	accepted, rejection, err := client.Publish(ctx, path, uuid.NewString(), text)
	if rejection != nil {
		return a.rejected(rejection)
	}
	if err != nil {
		return err
	}
	if err := a.print(accepted, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d accepted, note %s\n", accepted.Version, accepted.ID)
	}); err != nil || wait == 0 {
		return err
	}
	return a.waitInForce(accepted.Version, wait)
}

func (a *app) waitInForce(version uint64, wait time.Duration) error {
	began := time.Now()
	deadline := began.Add(wait)
	for time.Now().Before(deadline) {
		client, ctx, cleanUp, err := a.client()
		if err != nil {
			return err
		}
		status, err := client.Status(ctx)
		cleanUp()
		if err == nil && status.InForce && status.NoteVersion >= version && status.Gateways > 0 {
			_, _ = fmt.Fprintf(a.out, "in force at %d gateways after %s\n", status.Gateways, time.Since(began).Round(time.Millisecond))
			return nil
		}
		time.Sleep(statusPeriod)
	}
	return exitf(ExitNotInForce, "version %d is accepted but not in force everywhere after %s; see rlbctl status", version, wait)
}

func (a *app) showCommand() *cobra.Command {
	return &cobra.Command{Use: "show", Short: textShow, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var state rlbnote.State
		if err := a.ask(func(ctx context.Context, c *rlboperator.Client) (err error) {
			state, err = c.Note(ctx)
			return err
		}); err != nil {
			return err
		}
		return a.print(state, func(w io.Writer) { writeState(w, state) })
	}}
}

func writeState(w io.Writer, state rlbnote.State) {
	_, _ = fmt.Fprintf(w, "version %d, note %s\n", state.Version, state.Last.ID)
	for _, name := range slices.Sorted(maps.Keys(state.Models)) {
		m := state.Models[name]
		_, _ = fmt.Fprintf(w, "model   %-24s %-10s %-12s %-12s %s\n", m.Name, m.Version, m.Class, m.Role, m.Memory)
	}
	for _, name := range slices.Sorted(maps.Keys(state.Adapters)) {
		ad := state.Adapters[name]
		_, _ = fmt.Fprintf(w, "adapter %-24s %-10s on %s\n", ad.Name, ad.Version, ad.Model)
	}
	for _, name := range slices.Sorted(maps.Keys(state.Services)) {
		s := state.Services[name]
		_, _ = fmt.Fprintf(w, "service %-24s %-10s idempotent: %v\n", s.Name, s.Prefix, s.Idempotent)
	}
}

func (a *app) historyCommand() *cobra.Command {
	var n int
	cmd := &cobra.Command{Use: "history", Short: textHistory, Args: cobra.NoArgs}
	cmd.Flags().IntVarP(&n, "last", "n", defaultHistory, "how many notes")
	cmd.RunE = func(*cobra.Command, []string) error {
		var past []rlboperator.HistoryEntry
		if err := a.ask(func(ctx context.Context, c *rlboperator.Client) (err error) {
			past, err = c.History(ctx, n)
			return err
		}); err != nil {
			return err
		}
		return a.print(past, func(w io.Writer) {
			for _, p := range past {
				_, _ = fmt.Fprintf(w, "%6d  %s  %s\n", p.Version, p.Published.Format(time.RFC3339), p.Note.ID)
			}
		})
	}
	return cmd
}

// ask calls a controller.
func (a *app) ask(f func(context.Context, *rlboperator.Client) error) error {
	client, ctx, cleanUp, err := a.client()
	if err != nil {
		return err
	}
	defer cleanUp()
	return f(ctx, client)
}
