package rlbpeer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// maxDirectRelays is the number of instances of a domain up to which the delegate sends each
// of them the summaries of other domains itself.
const maxDirectRelays = 16

// relaySummary relays a summary within the own domain. The delegate, which got it from
// another domain, sends it to all; in a large domain it sends it to a few instances that
// forward it to the others.
func (l *Link) relaySummary(now time.Time, s *Summary, forward []string) {
	own, _ := l.fleet.Targets(now)
	if s.Relayed {
		l.send(packet{Summary: s}, knownAddresses(forward, own), l.address)
		return
	}
	s.Relayed = true
	own = slices.DeleteFunc(own, func(address string) bool { return address == l.address })
	encoded, err := msgpack.Marshal(s)
	for _, group := range relayGroups(own, rand.Shuffle) {
		l.sendRelay(encoded, err, group)
	}
}

// sendRelay sends a summary to the first address of a group, to forward it to the rest; err
// is that of its encoding.
func (l *Link) sendRelay(summary []byte, err error, group []string) {
	var encoded []byte
	if err == nil {
		encoded, err = encodeRelay(relayedPacket{Summary: summary, Forward: group[1:]})
	}
	l.sendEncoded(encoded, err, group[:1], l.address)
}

// relayedPacket is a packet whose summary is already encoded, once for all groups.
type relayedPacket struct {
	Summary msgpack.RawMessage `msgpack:"s"`
	Forward []string           `msgpack:"f,omitempty"`
}

func encodeRelay(p relayedPacket) ([]byte, error) {
	encoded, err := msgpack.Marshal(&p)
	return encoded, checkSize(encoded, err)
}

// relayGroups splits the addresses of a domain into groups. The delegate sends a message to
// the first address of each group, and that instance forwards it to the rest: so neither
// sends more than about the square root of all. The groups differ from message to message,
// so that an instance that does not forward keeps the others from few messages only.
func relayGroups(addresses []string, shuffle func(n int, swap func(i, j int))) [][]string {
	size := 1
	if n := len(addresses); n > maxDirectRelays {
		size = int(math.Ceil(math.Sqrt(float64(n))))
		shuffle(n, func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	}
	return slices.Collect(slices.Chunk(addresses, size))
}

// knownAddresses returns the addresses that belong to instances of the own domain: an
// instance forwards to no others.
func knownAddresses(addresses, own []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !slices.Contains(own, address) })
}
