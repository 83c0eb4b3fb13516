package rlbrelay

import (
	"bytes"
	"errors"
	"io"
)

// Sizes of the buffer of an event reader in bytes.
const (
	initialBuffer = 16 << 10
	maxEvent      = 1 << 20
)

// ErrTooLarge is returned for an event that exceeds the size limit.
var ErrTooLarge = errors.New("event is larger than 1 MiB")

// Event is one server-sent event. Its slices are valid until the next call of a
// method of the reader.
type Event struct {
	ID   []byte
	Data []byte // value of the last data line
	Raw  []byte // the complete event with its terminating empty line
}

// EventReader splits a stream into server-sent events without allocating.
type EventReader struct {
	source io.Reader
	buffer []byte
	start  int // start of the unread bytes
	end    int // end of the unread bytes
	// reserve is called before the buffer grows by a number of bytes, which it may refuse by an
	// error; nil: it may grow.
	reserve func(bytes int) error
}

// NewEventReader returns a reader of source.
func NewEventReader(source io.Reader) *EventReader {
	return &EventReader{source: source, buffer: make([]byte, initialBuffer)}
}

// Reset discards all buffered bytes and makes the reader read source. It calls reserve before
// its buffer grows by a number of bytes and returns the error of that instead of an event;
// nil: the buffer may grow.
func (r *EventReader) Reset(source io.Reader, reserve func(bytes int) error) {
	r.source, r.start, r.end, r.reserve = source, 0, 0, reserve
	if len(r.buffer) > initialBuffer {
		r.buffer = make([]byte, initialBuffer) // a reader that waits for its next use keeps no large one
	}
}

// Pending reports whether Next can return an event without reading from the source.
func (r *EventReader) Pending() bool {
	return eventLength(r.buffer[r.start:r.end], 0) > 0
}

// Next returns the next event. It returns io.ErrUnexpectedEOF if the stream ends
// within an event, and io.EOF if it ends between events.
func (r *EventReader) Next() (Event, error) {
	searched := 0
	for {
		unread := r.buffer[r.start:r.end]
		if n := eventLength(unread, searched); n > 0 {
			r.start += n
			return parseEvent(unread[:n]), nil
		}
		searched = len(unread)
		if err := r.fill(); err != nil {
			if errors.Is(err, io.EOF) && r.end > r.start {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
	}
}

// fill reads more bytes into the buffer, which grows up to maxEvent.
func (r *EventReader) fill() error {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEvent {
			return ErrTooLarge
		}
		if r.reserve != nil {
			if err := r.reserve(len(r.buffer)); err != nil {
				return err
			}
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

// eventLength returns the length of the first event in b with its terminating empty
// line, or 0 if the event is incomplete. The first searched bytes are known not to
// contain the end of the event.
func eventLength(b []byte, searched int) int {
	const maxEndPrefix = 3 // bytes of the event end that may lie within the searched bytes
	pos := max(0, searched-maxEndPrefix)
	for {
		newline := bytes.IndexByte(b[pos:], '\n')
		if newline < 0 {
			return 0
		}
		pos += newline + 1
		switch {
		case pos < len(b) && b[pos] == '\n':
			return pos + 1
		case pos+1 < len(b) && b[pos] == '\r' && b[pos+1] == '\n':
			return pos + len("\r\n")
		}
	}
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// parseEvent parses a complete event.
func parseEvent(raw []byte) Event {
	event := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		line := rest
		if newline := bytes.IndexByte(rest, '\n'); newline >= 0 {
			line, rest = rest[:newline], rest[newline+1:]
		} else {
			rest = nil
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		switch {
		case bytes.HasPrefix(line, idField):
			event.ID = bytes.TrimPrefix(line[len(idField):], []byte{' '})
		case bytes.HasPrefix(line, dataField):
			event.Data = bytes.TrimPrefix(line[len(dataField):], []byte{' '})
		}
	}
	return event
}
