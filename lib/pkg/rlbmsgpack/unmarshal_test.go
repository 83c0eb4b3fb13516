package rlbmsgpack

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

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
	Convey("values of all types are accepted", t, func() {
		all := []any{nil, true, -1, -100, -1000, -100_000, -1 << 40, 1, 200, 1000, 100_000, uint64(1) << 40, float32(1.5), 2.5, "", strings.Repeat("s", 40), strings.Repeat("s", 400),
			strings.Repeat("s", 70_000), []byte{1}, make([]byte, 300), make([]byte, 70_000), make([]int, 20), make([]int, 70_000), map[string]int{"a": 1}, time.Unix(1, 2), time.Unix(1<<35, 0)}
		data, err := msgpack.Marshal(all)
		So(err, ShouldBeNil)
		var got []any
		So(Unmarshal(data, &got), ShouldBeNil)
		So(got, ShouldHaveLength, len(all))
	})
	Convey("deep nesting is rejected", t, func() {
		var v any
		So(errors.Is(Unmarshal([]byte(strings.Repeat("\x91", 1<<20)+"\xc0"), &v), errTooDeep), ShouldBeTrue)
	})
	Convey("bytes after the value are rejected", t, func() {
		var n int
		So(errors.Is(Unmarshal([]byte{1, 1}, &n), ErrTrailing), ShouldBeTrue)
	})
}

// FuzzUnmarshal checks that data that the library skips through as one value is
// accepted, unless it nests too deeply, and that no other data is.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []any{[]any{1, "a", nil}, map[string]any{"a": []int{1, 2}}, 1.5, time.Unix(1, 2), []byte("abc")} {
		data, err := msgpack.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		sound := len(data) > 0 && msgpack.NewDecoder(reader).Skip() == nil && reader.Len() == 0
		err := validate(data)
		if errors.Is(err, errTooDeep) {
			return
		}
		if (err == nil) != sound {
			t.Errorf("%x: %v, the library accepts it: %t", data, err, sound)
		}
	})
}
