package rlbcontract

import (
	"context"
	"flag"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbfake"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbinstance"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbunit"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbweightstore"
	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakeplatform"
	. "github.com/smartystreets/goconvey/convey"
)

var (
	listAddress   = flag.String("instances", "", "IP:port of an instance list to test against the contract")
	weightAddress = flag.String("weights", "", "IP:port of a weight store with model draft-20g, to test against the contract")
)

// platformAddress returns the given address or, if it is empty, that of a stand-in.
func platformAddress(t *testing.T, given string, list *rlbfakeplatform.InstanceList) string {
	if given != "" {
		return given
	}
	weights := rlbfakeplatform.NewWeightStore(rlbfakeplatform.WeightOpts{LoadsPerSecond: 1, LoadsAtOnce: 1})
	server := httptest.NewServer(rlbfakeplatform.New(rlbfake.NewObjects(), list, weights).Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestInstanceList(t *testing.T) {
	now := time.Unix(1000, 0)
	a := rlbinstance.Instance{ID: "a", Type: rlbinstance.TypeEngine, Address: "127.0.0.1:1", FailureDomain: "x", Fencing: true}
	list := rlbfakeplatform.NewInstanceList(10*time.Second, func() time.Time { return now }, []rlbinstance.Instance{a})
	client, cleanUp := rlbinstance.NewClient(platformAddress(t, *listAddress, list), callTimeout)
	defer cleanUp()
	Convey("the list has a revision and instances with unique IDs", t, func() {
		got, err := client.List(context.Background())
		So(err, ShouldBeNil)
		So(got.Revision, ShouldBeGreaterThan, 0)
		seen := map[string]bool{}
		for _, i := range got.Instances {
			So(i.ID, ShouldNotBeBlank)
			So(seen[i.ID], ShouldBeFalse)
			seen[i.ID] = true
		}
	})
	if *listAddress != "" {
		return
	}
	Convey("a change becomes visible after the lag, with a higher revision", t, func() {
		before, _ := client.List(context.Background())
		list.Remove("a")
		now = now.Add(9 * time.Second)
		late, _ := client.List(context.Background())
		So(late, ShouldResemble, before)
		now = now.Add(time.Second)
		after, _ := client.List(context.Background())
		So(after.Instances, ShouldBeEmpty)
		So(after.Revision, ShouldBeGreaterThan, before.Revision)
	})
}

func TestWeightStore(t *testing.T) {
	list := rlbfakeplatform.NewInstanceList(0, time.Now, nil)
	client, cleanUp := rlbweightstore.NewClient(platformAddress(t, *weightAddress, list), callTimeout)
	defer cleanUp()
	Convey("the manifest states the memory of a version", t, func() {
		manifest, err := client.Manifest(context.Background(), "draft-20g", "v1")
		So(err, ShouldBeNil)
		So(manifest.Memory, ShouldEqual, 20*rlbunit.GiB)
	})
	Convey("a missing version and an unavailable store give different errors", t, func() {
		_, err := client.Manifest(context.Background(), "draft-20g", "missing")
		So(rlberror.Is(err, rlbweightstore.KindNotFound), ShouldBeTrue)
		down, closeDown := rlbweightstore.NewClient("127.0.0.1:1", callTimeout)
		defer closeDown()
		_, err = down.Manifest(context.Background(), "draft-20g", "v1")
		So(rlberror.Is(err, rlbweightstore.KindUnavailable), ShouldBeTrue)
	})
}
