package rlbpeer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/vmihailenco/msgpack/v5"
)

// compressedMark is the first byte of a compressed datagram. No msgpack value begins with it.
const compressedMark = 0xc1

// maxInflated is the largest content of a compressed datagram, in bytes.
const maxInflated = 8 * maxDatagram

// encodePacket encodes a packet as a datagram. Summaries to other domains are compressed:
// bytes between failure domains cost more than the time to compress some kilobytes a few
// times a second.
func encodePacket(p packet) ([]byte, error) {
	encoded, err := msgpack.Marshal(&p)
	if err == nil && p.Summary != nil && !p.Summary.Relayed {
		encoded, err = deflate(encoded)
	}
	if err == nil && len(encoded) > maxDatagram {
		err = fmt.Errorf("the message has %d bytes, more than a datagram may have", len(encoded))
	}
	return encoded, err
}

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

func deflate(data []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressedMark})
	w, _ := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// inflate decompresses at most maxInflated bytes.
func inflate(compressed []byte) ([]byte, error) {
	r, _ := decompressors.Get().(io.Reader)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r, maxInflated+1))
	if err == nil && len(data) > maxInflated {
		err = fmt.Errorf("the message has more than %d bytes", maxInflated)
	}
	return data, err
}

// decodePacket decodes a datagram.
func decodePacket(data []byte) (packet, error) {
	var p packet
	if len(data) > 0 && data[0] == compressedMark {
		inflated, err := inflate(data[1:])
		if err != nil {
			return packet{}, err
		}
		data = inflated
	}
	err := rlbmsgpack.Unmarshal(data, &p)
	return p, err
}
