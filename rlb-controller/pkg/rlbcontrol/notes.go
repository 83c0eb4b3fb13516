package rlbcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbnote"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbplacement"
)

// Object kinds of release notes: the state in force, and one object for each
// accepted note.
const (
	noteKind    = "rlb-note"
	historyKind = "rlb-note-history"
)

var currentNote = rlbobject.Key{Kind: noteKind, Name: "current"}

// maxPublishAttempts is the number of attempts to write a note when writes get no
// answer or conflict.
const maxPublishAttempts = 5

// Published is an accepted note in the history.
type Published struct {
	Version   uint64       `json:"version"`
	Published time.Time    `json:"published"`
	Note      rlbnote.Note `json:"note"`
}

// PublishError is the reason why a note was not accepted, or why its outcome is
// in doubt.
type PublishError struct {
	Cause          error
	Current        uint64      // version in force
	Since          []Published // notes accepted since the note's base
	OutcomeUnknown bool        // the note may or may not have been accepted
}

// Error returns the text of the cause.
func (e *PublishError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *PublishError) Unwrap() error { return e.Cause }

// Validate returns the state in force and the state that a note would result in,
// without publishing it.
func (c *Controller) Validate(ctx context.Context, note rlbnote.Note) (before, after rlbnote.State, err error) {
	before, _, err = c.readNote(ctx)
	if err != nil {
		return before, after, &PublishError{Cause: err}
	}
	after, err = c.prepare(ctx, before, note)
	return before, after, err
}

// Publish puts a note in force. It is idempotent by the note's id: publishing an
// accepted note again returns its record. Errors are of type *PublishError.
func (c *Controller) Publish(ctx context.Context, note rlbnote.Note) (rlbnote.Record, error) {
	if note.ID == "" {
		note.ID = uuid.NewString()
	}
	for range maxPublishAttempts {
		state, version, err := c.readNote(ctx)
		if err != nil {
			return rlbnote.Record{}, &PublishError{Cause: err}
		}
		if record, found := state.Accepted(note.ID); found {
			c.applyPublished(state)
			return record, nil
		}
		next, err := c.prepare(ctx, state, note)
		if err != nil {
			return rlbnote.Record{}, err
		}
		err = c.writeHistory(ctx, state)
		if rlbobject.Is(err, rlbobject.KindUnknown) {
			continue // the next attempt finds out whether it was written
		}
		if err != nil {
			return rlbnote.Record{}, &PublishError{Cause: err, Current: state.Version}
		}
		err = c.writeNote(ctx, next, version)
		if err == nil {
			c.applyPublished(next)
			record, _ := next.Accepted(note.ID)
			return record, nil
		}
		if !rlbobject.Is(err, rlbobject.KindUnknown) && !rlbobject.Is(err, rlbobject.KindConflict) {
			return rlbnote.Record{}, &PublishError{Cause: err, Current: state.Version}
		}
		// No answer, or another note was written first: read the state again to
		// find out.
	}
	return rlbnote.Record{}, &PublishError{
		Cause:          fmt.Errorf("note %s may have been accepted; publish it again with the same id, or see rlbctl note show", note.ID),
		OutcomeUnknown: true,
	}
}

// applyPublished applies a state that this controller has written or found to
// contain the note.
func (c *Controller) applyPublished(state rlbnote.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeNote(state)
}

func (c *Controller) readNote(ctx context.Context) (rlbnote.State, rlbobject.Version, error) {
	var state rlbnote.State
	object, err := c.Objects.Get(ctx, currentNote)
	if rlbobject.Is(err, rlbobject.KindNotFound) {
		return state, 0, nil
	}
	if err != nil {
		return state, 0, err
	}
	return state, object.Version, json.Unmarshal(object.Value, &state)
}

func (c *Controller) writeNote(ctx context.Context, state rlbnote.State, ifVersion rlbobject.Version) error {
	value, err := json.Marshal(state)
	if err != nil {
		return rlberror.New("encode note", rlbnote.KindInvalid, err)
	}
	if len(value) > int(rlbobject.MaxValueBytes) {
		return rlberror.Newf("publish note", rlbnote.KindTooLarge, "the resulting state has %d bytes, more than %s", len(value), rlbobject.MaxValueBytes)
	}
	_, err = c.Objects.Put(ctx, currentNote, value, ifVersion)
	return err
}

// writeHistory writes the note in force to the history, before another note
// replaces it.
func (c *Controller) writeHistory(ctx context.Context, state rlbnote.State) error {
	if state.Version == 0 {
		return nil
	}
	record, _ := state.Accepted(state.Last.ID)
	value, err := json.Marshal(Published{state.Version, record.Published, state.Last})
	if err != nil {
		return rlberror.New("encode note", rlbnote.KindInvalid, err)
	}
	_, err = c.Objects.Put(ctx, historyKey(state.Version), value, 0)
	if rlbobject.Is(err, rlbobject.KindConflict) {
		return nil // an earlier attempt created it
	}
	return err
}

func historyKey(version uint64) rlbobject.Key {
	return rlbobject.Key{Kind: historyKind, Name: strconv.FormatUint(version, 10)}
}

// prepare returns the state that a note results in, with the memory of its
// models, if the note is valid and the endpoints can hold its models.
func (c *Controller) prepare(ctx context.Context, state rlbnote.State, note rlbnote.Note) (rlbnote.State, error) {
	next, err := state.Apply(note, time.Now().UTC())
	if rlbnote.Is(err, rlbnote.KindStale) {
		return state, c.staleError(ctx, state, note, err)
	}
	if err != nil {
		return state, &PublishError{Cause: err, Current: state.Version}
	}
	if err := c.fillMemory(ctx, next, note); err != nil {
		return state, &PublishError{Cause: err, Current: state.Version}
	}
	c.mu.Lock()
	engines := c.placementEngines()
	c.mu.Unlock()
	if err := rlbplacement.CheckFeasible(next, engines); err != nil {
		return state, &PublishError{Cause: rlberror.New("place note", rlbnote.KindInfeasible, err), Current: state.Version}
	}
	return next, nil
}

// fillMemory reads the memory of the note's models from the weight store into
// next, which must not be shared yet.
func (c *Controller) fillMemory(ctx context.Context, next rlbnote.State, note rlbnote.Note) error {
	var problems []error
	for _, items := range []rlbnote.Items{note.Add, note.Change} {
		for _, m := range items.Models {
			manifest, err := c.Weights.Manifest(ctx, m.Name, m.Version)
			if err != nil {
				problems = append(problems, err)
				continue
			}
			m.Memory = manifest.Memory
			next.Models[m.Name] = m
		}
	}
	if len(problems) > 0 {
		return rlberror.New("check weights", rlbnote.KindInvalid, errors.Join(problems...))
	}
	return nil
}

// staleError returns the error for a note that is not based on the version in
// force, with the notes accepted since its base.
func (c *Controller) staleError(ctx context.Context, state rlbnote.State, note rlbnote.Note, cause error) error {
	e := &PublishError{Cause: cause, Current: state.Version}
	for version := note.Base + 1; version < state.Version; version++ {
		if p, err := c.readHistory(ctx, version); err == nil {
			e.Since = append(e.Since, p)
		}
	}
	if note.Base < state.Version {
		record, _ := state.Accepted(state.Last.ID)
		e.Since = append(e.Since, Published{state.Version, record.Published, state.Last})
	}
	return e
}

func (c *Controller) readHistory(ctx context.Context, version uint64) (Published, error) {
	var p Published
	object, err := c.Objects.Get(ctx, historyKey(version))
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(object.Value, &p)
}

// Note returns the release state in force at this controller.
func (c *Controller) Note() rlbnote.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Note()
}

// History returns the last n accepted notes, newest first.
func (c *Controller) History(ctx context.Context, n int) ([]Published, error) {
	state := c.Note()
	all := []Published{}
	for version := state.Version; version > 0 && len(all) < n; version-- {
		if version == state.Version {
			record, _ := state.Accepted(state.Last.ID)
			all = append(all, Published{version, record.Published, state.Last})
			continue
		}
		p, err := c.readHistory(ctx, version)
		if err != nil {
			return all, err
		}
		all = append(all, p)
	}
	return all, nil
}
