package rlbpeer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcompress"
	. "github.com/smartystreets/goconvey/convey"
)

// summaryOf returns a summary with loads of some endpoints and demand for half as many models.
func summaryOf(endpoints int) *Summary {
	s := &Summary{Domain: "x", From: "x-1", Incarnation: 1, Sequence: 1, Loads: map[uint32]Load{}, Demand: map[string]float32{}}
	for n := range endpoints {
		s.Loads[EndpointKey(fmt.Sprint("e", n))] = Load{InFlight: uint16(n % 9), UnreadTokens: uint32(n % 4 * 700)}
		s.Demand[fmt.Sprint("model-", n/2)] = float32(n % 7)
	}
	return s
}

func TestDatagrams(t *testing.T) {
	Convey("A summary to other domains takes at most two thirds of its bytes, and arrives as it was", t, func() {
		direct, relayed := summaryOf(120), summaryOf(120)
		relayed.Relayed = true
		compressed, err := encodePacket(packet{Summary: direct})
		So(err, ShouldBeNil)
		plain, err := encodePacket(packet{Summary: relayed})
		So(err, ShouldBeNil)
		So(len(compressed), ShouldBeLessThan, len(plain)*2/3)
		got, err := decodePacket(compressed)
		So(err, ShouldBeNil)
		So(got.Summary, ShouldResemble, direct)
		got, err = decodePacket(plain)
		So(err, ShouldBeNil)
		So(got.Summary, ShouldResemble, relayed)
	})
	Convey("A message that does not fit into a datagram is an error", t, func() {
		_, err := encodePacket(packet{Summary: summaryOf(20_000)})
		So(err, ShouldNotBeNil)
	})
	Convey("So is a compressed one without end, or one that is cut", t, func() {
		endless := rlbcompress.Compress(bytes.Repeat([]byte{0x90}, 2*maxDecompressed))
		_, err := decodePacket(append([]byte{compressedMark}, endless...))
		So(err, ShouldNotBeNil)
		whole, err := encodePacket(packet{Summary: summaryOf(10)})
		So(err, ShouldBeNil)
		_, err = decodePacket(whole[:len(whole)/2])
		So(err, ShouldNotBeNil)
		_, err = decodePacket(nil)
		So(err, ShouldNotBeNil)
	})
}
