package rlborigin

import (
	"encoding/json"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlberror"
)

// Prune returns the stored record of another instance without the origins whose streams can no
// longer be taken up as far as this process has observed, and how many these are. An instance
// removes them from its own record itself, unless it is gone.
func (r *Registry) Prune(value []byte) (pruned []byte, removed int, err error) {
	var origins []json.RawMessage // as they are, also if a later version of the product wrote them
	if err := json.Unmarshal(value, &origins); err != nil {
		return nil, 0, rlberror.New("decode origins", KindEncoding, err)
	}
	kept := []json.RawMessage{}
	for _, raw := range origins {
		var o storedOrigin
		if err := json.Unmarshal(raw, &o); err != nil {
			return nil, 0, rlberror.New("decode origins", KindEncoding, err)
		}
		if r.mayBeTakenUp(o.origin()) {
			kept = append(kept, raw)
		}
	}
	pruned, err = json.Marshal(kept)
	if err != nil {
		return nil, 0, rlberror.New("encode origins", KindEncoding, err)
	}
	return pruned, len(origins) - len(kept), nil
}

// mayBeTakenUp reports whether streams of an origin that this process has observed can be
// taken up now.
func (r *Registry) mayBeTakenUp(origin Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Before(r.serving[origin])
}
