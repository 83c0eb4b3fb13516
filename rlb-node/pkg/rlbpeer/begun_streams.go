package rlbpeer

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlborigin"

// BegunStreams names streams that an instance has begun to relay lately, as encoded in
// digests and summaries.
type BegunStreams struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service string
	Version string // of the software of the endpoint that began them
	Streams []uint64
}

// NewBegunStreams converts announcements to the form in a message.
func NewBegunStreams(announcements []rlborigin.Announcement) []BegunStreams {
	var all []BegunStreams
	for _, a := range announcements {
		all = append(all, BegunStreams{Service: a.Origin.Service, Version: a.Origin.Version, Streams: a.Streams})
	}
	return all
}

// decodeBegunStreams converts the streams in a message to announcements.
func decodeBegunStreams(begun []BegunStreams) []rlborigin.Announcement {
	var all []rlborigin.Announcement
	for _, b := range begun {
		all = append(all, rlborigin.Announcement{Origin: rlborigin.Origin{Service: b.Service, Version: b.Version}, Streams: b.Streams})
	}
	return all
}
