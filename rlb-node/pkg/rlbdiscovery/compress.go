package rlbdiscovery

import "github.com/rhubarblb/rhubarblb/lib/pkg/rlbcompress"

// maxConfigBytes limits the size of a decompressed config.
const maxConfigBytes = 8 << 20

// Decompress returns the config that another instance sent compressed. One larger than
// maxConfigBytes is an error.
func Decompress(compressed []byte) ([]byte, error) {
	return rlbcompress.Decompress(compressed, maxConfigBytes)
}
