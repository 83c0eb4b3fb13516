package rlbpeer

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcrash"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"
	. "github.com/smartystreets/goconvey/convey"
)

// TestBegunStreams guards against streams that only the instance that relays them knows.
func TestBegunStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	announced := []rlborigin.Announcement{{Origin: rlborigin.Origin{Service: "llm", Version: "v1"}, Streams: []uint64{7, 1 << 63}}}
	var learned []rlborigin.Announcement
	link := &Link{
		log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, fleet: NewFleet("a", "x"), crashes: rlbcrash.New(rlbcrash.Opts{Instance: "a", Now: func() time.Time { return now }}),
		learn: func(all []rlborigin.Announcement) { learned = all }, now: func() time.Time { return now },
	}
	receive := func(p packet) {
		data, err := encodePacket(p)
		So(err, ShouldBeNil)
		got, err := decodePacket(data)
		So(err, ShouldBeNil)
		learned = nil
		link.apply(got)
	}
	own := Digest{Name: "b", Domain: "y", Incarnation: 1, Sequence: 1, BegunStreams: NewBegunStreams(announced)}
	Convey("An instance learns them from the digests of its domain", t, func() {
		receive(packet{Digest: &own})
		So(learned, ShouldResemble, announced)
	})
	Convey("Given a domain with one instance, others learn them from its summary", t, func() {
		summary := NewFleet("b", "y").Summarize(now, own)
		summary.Relayed = true
		receive(packet{Summary: &summary})
		So(learned, ShouldResemble, announced)
	})
	Convey("The summary of a domain with more instances, which know them, leaves them out", t, func() {
		fleet := NewFleet("b", "y")
		fleet.ApplyDigest(now, Digest{Name: "c", Domain: "y", Incarnation: 1, Sequence: 1})
		So(fleet.Summarize(now, own).BegunStreams, ShouldBeEmpty)
	})
}
