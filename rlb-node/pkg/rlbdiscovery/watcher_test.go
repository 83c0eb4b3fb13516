package rlbdiscovery

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

// scriptedAPI is an object API that returns prepared answers in order, and none
// after the last one.
type scriptedAPI struct {
	rlbobject.API
	lists   []answer
	watches []answer
	calls   []string
	waits   []time.Duration // how long each watch call may wait
}

type answer struct {
	changes rlbobject.Changes
	err     error
	silent  bool // no answer: the call ends with its context
}

func nextAnswer(all *[]answer) answer {
	if len(*all) == 0 {
		return answer{silent: true}
	}
	first := (*all)[0]
	*all = (*all)[1:]
	return first
}

func (s *scriptedAPI) List(ctx context.Context, _ string) (rlbobject.Changes, error) {
	s.calls = append(s.calls, "list")
	return respond(ctx, nextAnswer(&s.lists))
}

func (s *scriptedAPI) Watch(ctx context.Context, _ string, _ rlbobject.Version, deadline time.Time) (rlbobject.Changes, error) {
	s.calls = append(s.calls, "watch")
	s.waits = append(s.waits, time.Until(deadline))
	return respond(ctx, nextAnswer(&s.watches))
}

func respond(ctx context.Context, a answer) (rlbobject.Changes, error) {
	if a.silent {
		<-ctx.Done()
		return rlbobject.Changes{}, rlberror.New("call", rlbobject.KindUnknown, ctx.Err())
	}
	return a.changes, a.err
}

// recordingSink records the calls it gets.
type recordingSink struct{ got []string }

func (s *recordingSink) ApplyList(_ []rlbobject.Object, _ rlbobject.Version, afterOutage bool) {
	s.record("reset", afterOutage)
}
func (s *recordingSink) ApplyChanges(_ []rlbobject.Object, afterOutage bool) {
	s.record("change", afterOutage)
}

func (s *recordingSink) record(what string, afterOutage bool) {
	if afterOutage {
		what += " after outage"
	}
	s.got = append(s.got, what)
}

// runWatcher runs a watcher for a duration and returns the calls of its sink.
func runWatcher(t *testing.T, api *scriptedAPI, active bool, duration time.Duration, during func(*Watcher)) []string {
	t.Helper()
	s := &recordingSink{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &Watcher{API: api, FirstAPI: api, Kind: "k", Sink: s, Log: quiet, Now: time.Now, Active: func() bool { return active }}
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		if during != nil {
			synctest.Wait()
			during(w)
		}
		time.Sleep(duration)
		cancel()
		<-done
	})
	return s.got
}

func revisionAnswer(revision int) answer {
	return answer{changes: rlbobject.Changes{Revision: rlbobject.Version(revision)}}
}

func versionAnswer(era, revision uint64) answer {
	version, err := rlbobject.NewVersion(era, revision)
	if err != nil {
		panic(err)
	}
	return answer{changes: rlbobject.Changes{Revision: version}}
}

func expired() answer {
	return answer{err: rlberror.New("watch", rlbobject.KindExpired, nil)}
}

func shouldReceive(t *testing.T, got []string, want ...string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("sink got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sink got %v, want %v", got, want)
		}
	}
}

func TestWatcher(t *testing.T) {
	t.Run("lists, then watches", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1)}, watches: []answer{revisionAnswer(2), revisionAnswer(3)}}
		shouldReceive(t, runWatcher(t, api, true, time.Second, nil), "reset", "change", "change")
	})
	t.Run("lists again when its revision has expired", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1), revisionAnswer(9)}, watches: []answer{expired()}}
		shouldReceive(t, runWatcher(t, api, true, time.Second, nil), "reset", "reset")
	})
	t.Run("abandons a silent connection within the time in which a new config must be in force", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1)}, watches: []answer{{silent: true}, revisionAnswer(2)}}
		shouldReceive(t, runWatcher(t, api, true, watchTimeout+watchSlack+minBackoff+time.Millisecond, nil), "reset", "change")
	})
	t.Run("TriggerList cancels a silent call and lists again", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1), revisionAnswer(2)}, watches: []answer{{silent: true}}}
		shouldReceive(t, runWatcher(t, api, true, time.Second, func(w *Watcher) { w.TriggerList("test") }), "reset", "reset")
	})
	t.Run("CheckEra cancels a silent call of an earlier era and lists again", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{versionAnswer(1, 5), versionAnswer(2, 3)}, watches: []answer{{silent: true}}}
		shouldReceive(t, runWatcher(t, api, true, time.Second, func(w *Watcher) { w.CheckEra(1); w.CheckEra(2) }), "reset", "reset after outage")
	})
	t.Run("does not wait for changes right after a failure", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1)}, watches: []answer{{err: rlberror.New("watch", rlbobject.KindUnavailable, nil)}, revisionAnswer(2), {silent: true}}}
		runWatcher(t, api, true, time.Second, nil)
		if want := []time.Duration{watchTimeout, 0, watchTimeout}; !slices.Equal(api.waits, want) {
			t.Errorf("watch calls wait %v, want %v", api.waits, want)
		}
	})
	t.Run("makes no call but the first list while not active", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1), revisionAnswer(2)}, watches: []answer{revisionAnswer(3)}}
		shouldReceive(t, runWatcher(t, api, false, time.Minute, nil), "reset")
		if len(api.calls) != 1 {
			t.Errorf("calls: %v", api.calls)
		}
	})
	t.Run("marks changes right after an outage", func(t *testing.T) {
		api := &scriptedAPI{lists: []answer{revisionAnswer(1)}, watches: []answer{{silent: true}, {silent: true}, revisionAnswer(2), revisionAnswer(3)}}
		got := runWatcher(t, api, true, 2*(watchTimeout+watchSlack)+maxBackoff, nil)
		shouldReceive(t, got, "reset", "change after outage", "change after outage")
	})
	t.Run("backs off after failed calls, up to maxBackoff", func(t *testing.T) {
		api := &scriptedAPI{}
		for range 1000 {
			api.lists = append(api.lists, answer{err: rlberror.New("list", rlbobject.KindUnavailable, nil)})
		}
		runWatcher(t, api, true, 10*time.Second, nil)
		if calls := len(api.calls); calls > 14 {
			t.Errorf("%d calls in 10 s of an outage", calls)
		}
	})
}
