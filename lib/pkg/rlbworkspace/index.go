// Package rlbworkspace identifies the workspace of a caller by its key. It does no I/O.
package rlbworkspace

import (
	"crypto/sha256"
	"iter"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

// Secret makes the digests of keys unpredictable to callers, so that the time of a
// comparison says nothing about any key. It is drawn anew by each process.
type Secret [sha256.Size]byte

type digest [sha256.Size]byte

// Index finds workspaces by key. It is immutable and holds no key. The zero value is empty.
type Index struct {
	secret Secret
	byKey  map[digest]rlbdeployment.Workspace
}

// NewIndex returns an index of workspaces, each of whose keys is of one workspace only.
func NewIndex(workspaces iter.Seq[rlbdeployment.Workspace], secret Secret) *Index {
	x := &Index{secret: secret, byKey: map[digest]rlbdeployment.Workspace{}}
	for w := range workspaces {
		for _, key := range w.Keys() {
			x.byKey[x.digest(key)] = w
		}
	}
	return x
}

// Identify returns the workspace of a key.
func (x *Index) Identify(key string) (w rlbdeployment.Workspace, known bool) {
	w, known = x.byKey[x.digest(key)]
	return w, known
}

// maxStackKey is the length of keys up to which no memory is allocated for them.
const maxStackKey = 64

func (x *Index) digest(key string) digest {
	var buffer [sha256.Size + maxStackKey]byte
	return sha256.Sum256(append(append(buffer[:0], x.secret[:]...), key...))
}
