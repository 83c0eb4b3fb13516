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
	defaultHistory     = 20
	statusPollInterval = 200 * time.Millisecond // between status calls while --wait is waiting
)

func (a *app) noteCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "note", Short: textNote}
	cmd.AddCommand(a.validateCommand(), a.diffCommand(), a.publishCommand(), a.showCommand(), a.historyCommand())
	return cmd
}

// readNote reads and parses the file of a note.
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

// rejectionError returns the error for a rejected note. It also prints the
// rejection as JSON, or the notes accepted since the base of a stale note as text.
func (a *app) rejectionError(r *rlboperator.Rejection) error {
	if a.output == "json" {
		_ = a.print(r, nil) // best effort: the error is returned in any case
	} else if r.Kind == rlboperator.KindStale {
		writeNotesSince(a.out, r)
	}
	return exitf(exitCodes[r.Kind], "%s: %s", r.Kind, r.Problem)
}

func writeNotesSince(w io.Writer, r *rlboperator.Rejection) {
	_, _ = fmt.Fprintf(w, "Version %d is in force. Notes accepted since the base of this note:\n", r.Current)
	for _, entry := range r.Since {
		_, _ = fmt.Fprintf(w, "version %d, note %s, %s\n", entry.Version, entry.Note.ID, entry.Published.Format(time.RFC3339))
		encoder := yaml.NewEncoder(w)
		_ = encoder.Encode(summarize(entry.Note))
	}
}

// summarize lists the names in a note by section and kind of item.
func summarize(n rlbnote.Note) map[string]map[string][]string {
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
	cmd.Flags().BoolVar(&offline, "offline", false, "check only the file, without a controller")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		if offline {
			_, note, err := readNote(args[0])
			if err != nil {
				return err
			}
			return a.print(note, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s is well-formed\n", args[0]) })
		}
		result, err := a.validate(args[0])
		if err != nil {
			return err
		}
		return a.print(result, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s is valid on version %d and changes %d items\n", args[0], result.Base, len(result.Differences))
		})
	}
	return cmd
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: textDiff, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		result, err := a.validate(args[0])
		if err != nil {
			return err
		}
		return a.print(result, func(w io.Writer) {
			for _, d := range result.Differences {
				_, _ = fmt.Fprintln(w, d)
			}
		})
	}}
}

func (a *app) validate(path string) (rlboperator.ValidateResult, error) {
	text, _, err := readNote(path)
	if err != nil {
		return rlboperator.ValidateResult{}, err
	}
	client, ctx, cleanUp, err := a.client()
	if err != nil {
		return rlboperator.ValidateResult{}, err
	}
	defer cleanUp()
	result, rejection, err := client.Validate(ctx, path, text)
	if rejection != nil {
		return result, a.rejectionError(rejection)
	}
	return result, err
}

func (a *app) publishCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{Use: "publish FILE", Short: textPublish, Args: cobra.ExactArgs(1)}
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the note is in force at all gateways")
	cmd.RunE = func(_ *cobra.Command, args []string) error { return a.publish(args[0], wait) }
	return cmd
}

// publish publishes a note under a unique ID, so that a retry at the same or
// another controller does not publish it twice.
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
	result, rejection, err := client.Publish(ctx, path, uuid.NewString(), text)
	if rejection != nil {
		return a.rejectionError(rejection)
	}
	if err != nil {
		return err
	}
	if err := a.print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d accepted, note %s\n", result.Version, result.ID)
	}); err != nil || wait == 0 {
		return err
	}
	return a.waitInForce(result.Version, wait)
}

// waitInForce polls the status until a version is in force at all gateways.
func (a *app) waitInForce(version uint64, wait time.Duration) error {
	start := time.Now()
	deadline := start.Add(wait)
	for time.Now().Before(deadline) {
		client, ctx, cleanUp, err := a.client()
		if err != nil {
			return err
		}
		status, err := client.Status(ctx)
		cleanUp()
		if err == nil && status.InForce && status.NoteVersion >= version && status.Gateways > 0 {
			_, _ = fmt.Fprintf(a.out, "in force at %d gateways after %s\n", status.Gateways, time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return exitf(ExitNotInForce, "version %d is accepted but not in force at every gateway after %s; see rlbctl status", version, wait)
}

func (a *app) showCommand() *cobra.Command {
	return &cobra.Command{Use: "show", Short: textShow, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		var state rlbnote.State
		if err := a.withClient(func(ctx context.Context, c *rlboperator.Client) (err error) {
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
	cmd.Flags().IntVarP(&n, "last", "n", defaultHistory, "number of notes")
	cmd.RunE = func(*cobra.Command, []string) error {
		var entries []rlboperator.HistoryEntry
		if err := a.withClient(func(ctx context.Context, c *rlboperator.Client) (err error) {
			entries, err = c.History(ctx, n)
			return err
		}); err != nil {
			return err
		}
		return a.print(entries, func(w io.Writer) {
			for _, entry := range entries {
				_, _ = fmt.Fprintf(w, "%6d  %s  %s\n", entry.Version, entry.Published.Format(time.RFC3339), entry.Note.ID)
			}
		})
	}
	return cmd
}

// withClient calls f with a client of the controllers.
func (a *app) withClient(f func(context.Context, *rlboperator.Client) error) error {
	client, ctx, cleanUp, err := a.client()
	if err != nil {
		return err
	}
	defer cleanUp()
	return f(ctx, client)
}
