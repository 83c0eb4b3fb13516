// Package rlbcompress compresses messages between instances.
package rlbcompress

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	KindMalformed Kind = iota // the data is not compressed, or cut off
	KindTooLarge              // the content is larger than allowed
)

// String returns the text of the kind for error messages.
func (k Kind) String() string { return [...]string{"malformed data", "content too large"}[k] }

// Error is the error type of this package.
type Error = rlberror.Error[Kind]

// Compressors take some hundred kilobytes each, decompressors some ten: they are reused.
var (
	compressors = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Compress returns data compressed.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the content of compressed data, of which it reads no more than limit
// bytes. Larger content is an error.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	const op = "decompress"
	r, _ := decompressors.Get().(io.Reader)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, rlberror.New(op, KindMalformed, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, rlberror.New(op, KindMalformed, err)
	}
	if int64(len(data)) > limit {
		return nil, rlberror.New(op, KindTooLarge, fmt.Errorf("more than %d bytes", limit))
	}
	return data, nil
}
