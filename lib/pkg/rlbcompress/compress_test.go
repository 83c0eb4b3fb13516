package rlbcompress

import (
	"bytes"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
	. "github.com/smartystreets/goconvey/convey"
)

func shouldFailAs(err error, want Kind) {
	kind, is := rlberror.KindOf[Kind](err)
	So(is, ShouldBeTrue)
	So(kind, ShouldEqual, want)
}

func TestCompress(t *testing.T) {
	const limit = 1000
	Convey("Content up to the limit arrives as it was, also with reused compressors", t, func() {
		for _, n := range []int{0, 1, limit, 7} {
			content := bytes.Repeat([]byte("x"), n)
			got, err := Decompress(Compress(content), limit)
			So(err, ShouldBeNil)
			So(bytes.Equal(got, content), ShouldBeTrue)
		}
	})
	Convey("Larger content is an error, not cut off", t, func() {
		_, err := Decompress(Compress(make([]byte, limit+1)), limit)
		shouldFailAs(err, KindTooLarge)
	})
	Convey("So is data that is cut off or not compressed, and the next call works", t, func() {
		whole := Compress([]byte("some content"))
		for _, data := range [][]byte{whole[:len(whole)-3], nil, []byte("no stream")} {
			_, err := Decompress(data, limit)
			shouldFailAs(err, KindMalformed)
		}
		_, err := Decompress(whole, limit)
		So(err, ShouldBeNil)
	})
}
