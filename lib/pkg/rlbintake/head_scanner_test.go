package rlbintake

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// heads are texts and how much of each is the first head; 0: it is not complete.
var heads = []struct {
	name, text    string
	length, lines int
}{
	{"a head and a body", "GET / HTTP/1.1\r\na: b\r\n\r\nbody", 24, 3},
	{"lines that end in line feeds", "GET / HTTP/1.1\na:\n\nbody", 19, 3},
	{"no end", "GET / HTTP/1.1\r\na: b\r\n", 0, 2},
	{"an empty line first", "\r\nGET / HTTP/1.1\r\n", 2, 1},
	{"carriage returns in a line", "GET / HTTP/1.1\r\n\r\r\n\r\n", 21, 3},
	{"a line of spaces", "GET / HTTP/1.1\n \n\n", 18, 3},
	{"nothing but line feeds", "\n\n\n", 1, 1},
}

func TestHeadScanner(t *testing.T) {
	for _, c := range heads {
		Convey(c.name+", however it is split", t, func() {
			for size := 1; size <= len(c.text); size++ {
				length, lines, complete := scanInParts(c.text, size)
				So(complete, ShouldEqual, c.length > 0)
				So(lines, ShouldEqual, c.lines)
				if complete {
					So(length, ShouldEqual, c.length)
				}
			}
		})
	}
}

// scanInParts scans the first head of a text in parts of a size.
func scanInParts(text string, size int) (length, lines int, complete bool) {
	var s headScanner
	for len(text) > 0 {
		n, ended, done := s.scan([]byte(text[:min(size, len(text))]))
		length, lines, text = length+n, lines+ended, text[n:]
		if done {
			return length, lines, true
		}
	}
	return length, lines, false
}

func TestRestartedHeadScanner(t *testing.T) {
	Convey("a head of which a part was read elsewhere ends where it ends", t, func() {
		const text = "GET / HTTP/1.1\r\na: b\r\n\r\n"
		for read := range len(text) {
			var s headScanner
			s.restart([]byte(text[:read]))
			n, _, complete := s.scan([]byte(text[read:]))
			So(complete, ShouldBeTrue)
			So(n, ShouldEqual, len(text)-read)
			So(s.lines, ShouldEqual, 0)
		}
		var s headScanner
		s.restart([]byte(strings.Repeat("a:\n", 10) + "b"))
		So(s.lines, ShouldEqual, 10)
	})
}
