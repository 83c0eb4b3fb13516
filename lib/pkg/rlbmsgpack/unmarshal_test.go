package rlbmsgpack

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// row has the size of the largest rows in use.
type row struct {
	ID   string   `msgpack:"i"`
	Data [256]int `msgpack:"-"`
}

func TestUnmarshal(t *testing.T) {
	Convey("encoded data is decoded", t, func() {
		data, err := msgpack.Marshal([]row{{ID: "a"}, {ID: "b"}})
		So(err, ShouldBeNil)
		var rows []row
		So(Unmarshal(data, &rows), ShouldBeNil)
		So(rows, ShouldHaveLength, 2)
	})
	Convey("a list longer than the data is rejected before memory is allocated", t, func() {
		var rows []row
		So(Unmarshal([]byte("\xdd\xee\x58\xf9\x37\xc0\xc0"), &rows), ShouldNotBeNil)
		So(cap(rows), ShouldEqual, 0)
	})
	Convey("bytes after the value are rejected", t, func() {
		var n int
		So(errors.Is(Unmarshal([]byte{1, 1}, &n), ErrTrailing), ShouldBeTrue)
	})
}
