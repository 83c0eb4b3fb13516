package rlbdiscovery

import (
	"bytes"
	"compress/flate"
	"io"
)

// maxConfigBytes limits the size of a decompressed config.
const maxConfigBytes = 8 << 20

// compress compresses a config to send to other instances. Routes resemble each
// other, so a config shrinks a lot.
func compress(value []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	// Writes to a buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the config that another instance sent compressed, cut off at
// maxConfigBytes.
func Decompress(compressed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigBytes))
}
