package rlbrelay

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEventWithoutEndTakesWhatItReserves guards against many events without end that together
// take more memory than the process has.
func TestEventWithoutEndTakesWhatItReserves(t *testing.T) {
	Convey("Given a stream of an event without end and a limit of the memory", t, func() {
		errFull := errors.New("full")
		reserved := 0
		reader := NewEventReader(nil)
		reader.Reset(strings.NewReader("data: "+strings.Repeat("a", maxEvent)), func(bytes int) error {
			if reserved+bytes > 4*initialBuffer {
				return errFull
			}
			reserved += bytes
			return nil
		})
		_, err := reader.Next()
		Convey("it is given up at the limit, which covers the whole buffer", func() {
			So(err, ShouldEqual, errFull)
			So(len(reader.buffer), ShouldEqual, initialBuffer+reserved)
		})
		Convey("a reader that waits for its next use keeps no large buffer", func() {
			reader.Reset(nil, nil)
			So(len(reader.buffer), ShouldEqual, initialBuffer)
			reader.Reset(strings.NewReader("data: a\n\n"), nil)
			_, err := reader.Next()
			So(err, ShouldBeNil)
			_, err = reader.Next()
			So(err, ShouldEqual, io.EOF)
		})
	})
}
