package rlbpeer

import (
	"math"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
	"github.com/rhubarblb/rhubarblb/rlb-node/pkg/rlbdiscovery"
)

// RemovedEndpoint is the removal of an endpoint's entry as encoded in messages.
type RemovedEndpoint struct {
	Incarnation uint64 `msgpack:"i"`
	Version     uint64 `msgpack:"v"`
	GraceLeft   int16  `msgpack:"g"` // milliseconds until the endpoint is dropped; negative: since
}

// NewRemovedEndpoints converts removals to the form in messages.
func NewRemovedEndpoints(now time.Time, all []rlbdiscovery.Removed) []RemovedEndpoint {
	var encoded []RemovedEndpoint
	for _, r := range all {
		left := min(max(r.DropAt.Sub(now).Milliseconds(), math.MinInt16), math.MaxInt16)
		encoded = append(encoded, RemovedEndpoint{r.Incarnation, uint64(r.Version), int16(left)})
	}
	return encoded
}

// decodeRemovedEndpoints converts removals in a message received at now.
func decodeRemovedEndpoints(now time.Time, all []RemovedEndpoint) []rlbdiscovery.Removed {
	var decoded []rlbdiscovery.Removed
	for _, r := range all {
		decoded = append(decoded, rlbdiscovery.Removed{
			Incarnation: r.Incarnation, Version: rlbobject.Version(r.Version), DropAt: now.Add(time.Duration(r.GraceLeft) * time.Millisecond),
		})
	}
	return decoded
}
