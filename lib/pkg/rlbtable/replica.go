package rlbtable

// Row is a row whose versions can be compared.
type Row[R any] interface {
	// Newer reports whether this version replaces old.
	Newer(old R) bool
}

// Replica is a table whose rows are only replaced by newer versions, in whatever
// order copies arrive.
type Replica[K comparable, R Row[R]] struct {
	*Table[K, R]
}

// NewReplica returns an empty replica.
func NewReplica[K comparable, R Row[R]]() Replica[K, R] {
	return Replica[K, R]{New[K, R]()}
}

// Merge stores row if it is new or newer, and reports whether it did. A deleted
// row is only restored by a newer version.
func (r Replica[K, R]) Merge(key K, row R) bool {
	element, found := r.entries[key]
	if found && !row.Newer(element.Value.(*entry[K, R]).row) {
		return false
	}
	r.Put(key, row)
	return true
}
