package rlbpeer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// TestRelayLoad guards against a delegate that sends each summary to every instance of a
// large domain itself, which takes its whole network link.
func TestRelayLoad(t *testing.T) {
	for _, n := range []int{1, 6, maxDirectRelays, 30, 100, 300, 720} {
		Convey(fmt.Sprintf("Given a domain with %d other instances", n), t, func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			addresses := instanceAddresses(n)
			groups := relayGroups(instanceAddresses(n), random.Shuffle)
			Convey("each gets a summary once", func() { assertEachOnce(groups, addresses) })
			Convey("no instance sends more than about the square root of all", func() {
				bound := maxDirectRelays
				if n > maxDirectRelays {
					bound = int(math.Ceil(math.Sqrt(float64(n))))
				}
				So(len(groups), ShouldBeLessThanOrEqualTo, bound)
				for _, group := range groups {
					So(len(group)-1, ShouldBeLessThanOrEqualTo, bound)
				}
			})
		})
	}
	Convey("The instances that forward differ from message to message", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		first := relayGroups(instanceAddresses(100), random.Shuffle)
		second := relayGroups(instanceAddresses(100), random.Shuffle)
		So(first, ShouldNotResemble, second)
	})
	Convey("A summary is forwarded to instances of the own domain only", t, func() {
		So(knownAddresses([]string{"10.0.0.1:1", "192.0.2.9:80"}, instanceAddresses(3)), ShouldResemble, []string{"10.0.0.1:1"})
	})
}

func TestRelayedPacket(t *testing.T) {
	Convey("A relayed packet is decoded like one that is encoded as a whole", t, func() {
		summary := Summary{Domain: "y", From: "c", Relayed: true, Members: 4, Loads: map[uint32]Load{7: {InFlight: 3}}}
		raw, err := msgpack.Marshal(&summary)
		So(err, ShouldBeNil)
		encoded, err := encodeRelay(relayedPacket{Summary: raw, Forward: []string{"10.0.0.1:1"}})
		So(err, ShouldBeNil)
		decoded, err := decodePacket(encoded)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, packet{Summary: &summary, Forward: []string{"10.0.0.1:1"}})
	})
}

func instanceAddresses(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.%d.%d:1", i/256, i%256)
	}
	return addresses
}

func assertEachOnce(groups [][]string, addresses []string) {
	seen := map[string]int{}
	for _, group := range groups {
		for _, address := range group {
			seen[address]++
		}
	}
	So(seen, ShouldHaveLength, len(addresses))
	for _, address := range addresses {
		So(seen[address], ShouldEqual, 1)
	}
}
