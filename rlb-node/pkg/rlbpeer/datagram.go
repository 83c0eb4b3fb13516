package rlbpeer

import (
	"fmt"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbcompress"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbmsgpack"
	"github.com/vmihailenco/msgpack/v5"
)

// compressedMark is the first byte of a compressed datagram. No msgpack value begins with it.
const compressedMark = 0xc1

// maxDecompressed is the largest content of a compressed datagram, in bytes.
const maxDecompressed = 8 * maxDatagram

// encodePacket encodes a packet as a datagram. Summaries to other domains are compressed:
// bytes between failure domains cost more than the time to compress some kilobytes a few
// times a second.
func encodePacket(p packet) ([]byte, error) {
	encoded, err := msgpack.Marshal(&p)
	if err == nil && p.Summary != nil && !p.Summary.Relayed {
		encoded = append([]byte{compressedMark}, rlbcompress.Compress(encoded)...)
	}
	return encoded, checkSize(encoded, err)
}

// checkSize returns the error of an encoding, or one if the result does not fit a datagram.
func checkSize(encoded []byte, err error) error {
	if err == nil && len(encoded) > maxDatagram {
		return fmt.Errorf("the message has %d bytes, more than a datagram may have", len(encoded))
	}
	return err
}

// decodePacket decodes a datagram.
func decodePacket(data []byte) (packet, error) {
	var p packet
	if len(data) > 0 && data[0] == compressedMark {
		decompressed, err := rlbcompress.Decompress(data[1:], maxDecompressed)
		if err != nil {
			return packet{}, err
		}
		data = decompressed
	}
	err := rlbmsgpack.Unmarshal(data, &p)
	return p, err
}
