package rlbintake

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead checks that a head ends where net/http finds its end, however it is split: what
// follows would be counted for what it is not.
func FuzzHead(f *testing.F) {
	for _, c := range heads {
		f.Add(c.text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(1, size%100)
		reader := strings.NewReader(text)
		buffered := bufio.NewReader(reader)
		if _, err := http.ReadRequest(buffered); err != nil {
			return // the server answers 400 and closes the connection
		}
		end := len(text) - reader.Len() - buffered.Buffered()
		if length, _, complete := scanInParts(text, size); !complete || length != end {
			t.Fatalf("%q in parts of %d: complete %v after %d bytes, net/http after %d", text, size, complete, length, end)
		}
	})
}
