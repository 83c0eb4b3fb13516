package rlbdiscovery

import (
	"bytes"
	"compress/flate"
	"io"
)

// maxConfigBytes bounds what a compressed config may expand to, in bytes.
const maxConfigBytes = 8 << 20

// compress makes a config short for the way to other instances: its routes are
// much alike.
func compress(value []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	// A buffer takes every write.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the config that another instance told.
func Decompress(compressed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigBytes))
}
