//go:build hostile

// Package rlbhostile holds tests of clients that keep no limit. They start the processes of the
// system on loopback addresses and let a crowd of such clients in. They check that the
// process lives, that its memory and descriptors stay within what its settings say of its
// machine, and that an ordinary request is answered while the crowd is there and when it is
// gone.
package rlbhostile

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfleetstate"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblink"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbwire"
	. "github.com/smartystreets/goconvey/convey"
)

// door is an address of a process at which it accepts bytes.
type door struct {
	name      string
	start     func(t *testing.T, m machine, host string) *process
	port      int
	behaviors []behavior
	// ordinary makes one ordinary call and reports whether it was answered.
	ordinary func(ctx context.Context, address string) error
}

var doors = []door{
	{"callers of a node", startNode, callersPort, headBehaviors, get("/lookup/x")},
	{"readiness of a node", startNode, readinessPort, headBehaviors, get("/-/readiness")},
	{"metrics of a node", startNode, metricsPort, headBehaviors, get("/metrics")},
	{"other instances at a node", startNode, peerPort, frameBehaviors, query},
	{"callers of a gateway", startGateway, callersPort, headBehaviors, get("/v1/models")},
	{"operators at a controller", startController, operatorsPort, headBehaviors, get("/operator/status")},
	{"control links of a controller", startController, controlPort, frameBehaviors, link},
}

// TestCrowds lets crowds of clients that keep no limit in at each address of each process.
func TestCrowds(t *testing.T) {
	for _, m := range machines {
		for _, d := range doors {
			for _, b := range d.behaviors {
				t.Run(m.name+": "+d.name+": "+b.name, func(t *testing.T) { checkCrowd(t, m, d, b) })
			}
		}
	}
}

func checkCrowd(t *testing.T, m machine, d door, b behavior) {
	Convey("Given a process in calm", t, func() {
		host := newAddress()
		address := at(host, d.port)
		p := d.start(t, m, host)
		So(answered(p, d, address), ShouldBeNil)
		highest := p.watchDescriptors()
		Convey("a crowd is held to the limits, and an ordinary call is answered", func() {
			c := newCrowd(address, b)
			during := answered(p, d, address)
			open := highest()
			c.leave()
			after := answered(p, d, address)
			peak := p.peakMemory()
			t.Logf("peak memory %d MiB, descriptors %d", peak, open)
			So(p.lives(), ShouldBeTrue)
			So(during, ShouldBeNil)
			So(after, ShouldBeNil)
			So([]int{peak, open}, shouldBeWithin, []int{m.memoryMiB, m.descriptors})
		})
	})
}

// TestLegalHeadInCalm guards against a limit that a request inside those of the configuration
// meets: a head of legal size may have as many lines as fit into it.
func TestLegalHeadInCalm(t *testing.T) {
	Convey("a head of legal size, of the shortest lines, is served in calm", t, func() {
		host := newAddress()
		address := at(host, callersPort)
		p := startNode(t, machines[0], host)
		So(answered(p, doors[0], address), ShouldBeNil)
		for _, line := range []func(int) string{barestLine, distinctLine, longLine} {
			So(status(address, ends(head("GET", legalHead, line))), ShouldEqual, http.StatusOK)
			So(status(address, withOpenBody(head("POST", legalHead, line))+"123456789"), ShouldEqual, http.StatusOK)
		}
	})
}

// shouldBeWithin checks that no figure is above the bound of its position.
func shouldBeWithin(actual any, expected ...any) string {
	bounds, _ := expected[0].([]int)
	figures, _ := actual.([]int)
	for i, figure := range figures {
		if figure < 0 || figure > bounds[i] {
			return fmt.Sprintf("Expected memory in MiB and descriptors of at most %v, got %v", bounds, figures)
		}
	}
	return ""
}

// answered makes an ordinary call until it is answered. Each may be refused.
func answered(p *process, d door, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), hangTime)
	defer cancel()
	for {
		err := d.ordinary(ctx, address)
		if err == nil {
			return nil
		}
		if !p.lives() || ctx.Err() != nil {
			return fmt.Errorf("last of the ordinary calls: %w; output of the process:\n%s", err, p.lastOutput())
		}
		time.Sleep(pollPause)
	}
}

// get returns an ordinary call of a path, on a connection of its own.
func get(path string) func(context.Context, string) error {
	return func(ctx context.Context, address string) error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
		target := url.URL{Scheme: "http", Host: address, Path: path}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
		if err != nil {
			return err
		}
		req.Host = "fleet.example"
		req.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
		response, err := client.Do(req)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("answered %d %.200s", response.StatusCode, strings.TrimSpace(string(body)))
		}
		return err
	}
}

// changesQuery is a query of another instance for what is newer than nothing.
type changesQuery struct {
	Changes struct{} `msgpack:"k"`
}

// query makes an ordinary query of another instance.
func query(_ context.Context, address string) error {
	conn, err := dial(address)
	if err != nil {
		return err
	}
	wire := rlbwire.NewConn(conn, patience)
	defer wire.Close()
	if err := wire.Send(1, 1, changesQuery{}); err != nil {
		return err
	}
	_, err = wire.Receive()
	return err
}

// link opens an ordinary control link.
func link(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	updated := make(chan struct{}, 1)
	_, closeLink := rlblink.NewClient(ctx, rlblink.ClientOpts{
		Log: log.NewEntry(&log.Logger{Handler: discard.Default, Level: log.FatalLevel}), Dial: rlblink.DialTCP, Scope: rlbfleetstate.ScopeAll, IdleTimeout: patience,
		Process:   rlbfleetstate.ProcessKey{Type: rlbfleetstate.ProcessGateway, ID: "g9"},
		Addresses: func() []string { return []string{address} },
		ApplyUpdate: func(rlbfleetstate.Update) {
			select {
			case updated <- struct{}{}:
			default:
			}
		},
		BuildReport: func() rlbfleetstate.Update { return rlbfleetstate.Update{} }, ReportInterval: time.Second,
		OnLinkChange: func(string, bool) {},
	})
	defer closeLink()
	select {
	case <-updated:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
