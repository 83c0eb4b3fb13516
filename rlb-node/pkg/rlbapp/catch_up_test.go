package rlbapp

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbclock"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcompress"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbpeer"
)

// numberDecoder decodes a number as a config of that version.
type numberDecoder struct{ decoder }

func (numberDecoder) Config(value []byte) (*rlbdeployment.Config, error) {
	var version uint64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return rlbdeployment.NewConfig(version, nil, nil, rlbdeployment.Limits{}), nil
}

func TestWatcherTakesNewerConfigFromOthersIfTheObjectAPIHasAnOlderOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
		a := newTestApp("a", rlbfake.NewObjects(), false)
		a.view = rlbdiscovery.New(logger, numberDecoder{}, rlbclock.Now, time.Second)
		a.view.ApplyConfig([]byte("8"), "test")
		a.link = &rlbpeer.Link{}
		a.catchUp = a.newCatchUp()
		a.catchUp.query = func(context.Context, string, rlbpeer.Query) (rlbpeer.Reply, error) {
			return rlbpeer.Reply{Config: rlbcompress.Compress([]byte("9"))}, nil
		}
		for n := range uint64(2 * stepsUntilList) {
			a.fleet.ApplyDigest(rlbclock.Now(), rlbpeer.Digest{Name: "b", Domain: "x", Address: "b:1", Sequence: n + 1, ConfigVersion: 9})
			if !a.isWatcher() {
				t.Fatal("the instance does not watch the object API")
			}
			a.catchUp.step(t.Context())
			time.Sleep(sweepPeriod)
		}
		if version := a.configVersion(); version != 9 {
			t.Errorf("config %d is in force, others have 9", version)
		}
	})
}

func TestConfigIsNotCurrentIfOthersHaveANewerOneOrNoneAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := rlbfake.NewObjects()
		a := newTestApp("a", objects, false)
		a.view = rlbdiscovery.New(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, numberDecoder{}, rlbclock.Now, time.Second)
		a.view.ApplyConfig([]byte("8"), "test")
		a.link = &rlbpeer.Link{}
		a.catchUp = a.newCatchUp()
		shouldBeCurrent := func(situation string, want bool) {
			if got := a.catchUp.configCurrent(); got != want {
				t.Errorf("%s: config current: %t", situation, got)
			}
		}
		hear := func(sequence, version uint64, available bool) {
			a.fleet.ApplyDigest(rlbclock.Now(), rlbpeer.Digest{Name: "b", Domain: "x", Address: "b:1", Sequence: sequence, ConfigVersion: version, APIAvailable: available})
		}
		shouldBeCurrent("alone", true)
		hear(1, 8, true)
		shouldBeCurrent("another one has the same", true)
		hear(2, 9, true)
		shouldBeCurrent("another one has a newer one", false)
		a.view.ApplyConfig([]byte("9"), "test")
		shouldBeCurrent("caught up", true)
		objects.SetDown(true)
		ctx, cancel := context.WithCancel(t.Context())
		go a.catchUp.configWatcher.Run(ctx)
		time.Sleep(time.Second)
		hear(3, 9, false)
		shouldBeCurrent("the object API answers nobody", false)
		hear(4, 9, true)
		shouldBeCurrent("the object API answers another one", true)
		cancel()
		synctest.Wait()
	})
}
