// Package rlbtable provides tables that number each change, so that a reader
// fetches only the changes since its last revision.
package rlbtable

import "container/list"

// maxTombstones is how many deleted rows a table keeps. A reader that is further
// behind must read the whole table again.
const maxTombstones = 4096

// Revision is the number of a change to a table, within one process.
type Revision uint64

// Table maps keys to rows. It is not safe for concurrent use.
type Table[K comparable, R any] struct {
	entries    map[K]*list.Element // of *entry[K, R]
	byRevision *list.List          // entries, oldest change first
	revision   Revision
	compacted  Revision // tombstones up to this revision were dropped
	tombstones int
}

type entry[K comparable, R any] struct {
	key      K
	row      R
	revision Revision
	deleted  bool
}

// Change is the latest change of a row.
type Change[K comparable, R any] struct {
	Key     K
	Row     R
	Deleted bool
}

// New returns an empty table.
func New[K comparable, R any]() *Table[K, R] {
	return &Table[K, R]{entries: map[K]*list.Element{}, byRevision: list.New()}
}

// Revision returns the number of the latest change.
func (t *Table[K, R]) Revision() Revision { return t.revision }

// Len returns the number of rows.
func (t *Table[K, R]) Len() int { return len(t.entries) - t.tombstones }

// Get returns the row of key. It returns false if there is none.
func (t *Table[K, R]) Get(key K) (row R, ok bool) {
	element, found := t.entries[key]
	if !found {
		return row, false
	}
	e := element.Value.(*entry[K, R])
	return e.row, !e.deleted
}

// Put stores the row of key as the latest change.
func (t *Table[K, R]) Put(key K, row R) { t.change(key, row, false) }

// Delete removes the row of key and keeps a tombstone for it.
func (t *Table[K, R]) Delete(key K) {
	if row, ok := t.Get(key); ok {
		t.change(key, row, true)
	}
}

func (t *Table[K, R]) change(key K, row R, deleted bool) {
	t.revision++
	element, found := t.entries[key]
	if !found {
		element = t.byRevision.PushBack(&entry[K, R]{key: key})
		t.entries[key] = element
	}
	e := element.Value.(*entry[K, R])
	t.tombstones += boolToInt(deleted) - boolToInt(e.deleted)
	e.row, e.deleted, e.revision = row, deleted, t.revision
	t.byRevision.MoveToBack(element)
	t.dropOldTombstones()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// dropOldTombstones drops the oldest tombstones beyond maxTombstones.
func (t *Table[K, R]) dropOldTombstones() {
	for element := t.byRevision.Front(); element != nil && t.tombstones > maxTombstones; {
		next := element.Next()
		if e := element.Value.(*entry[K, R]); e.deleted {
			t.byRevision.Remove(element)
			delete(t.entries, e.key)
			t.tombstones--
			t.compacted = e.revision
		}
		element = next
	}
}

// All calls yield for each row until yield returns false.
func (t *Table[K, R]) All(yield func(K, R) bool) {
	for element := t.byRevision.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry[K, R])
		if !e.deleted && !yield(e.key, e.row) {
			return
		}
	}
}

// Since returns the rows changed after revision, oldest change first. If tombstones
// newer than revision were dropped, full is true and the changes hold every row of
// the table; the reader must then drop all rows that are not among them.
func (t *Table[K, R]) Since(revision Revision) (changes []Change[K, R], full bool) {
	full = revision < t.compacted
	if full {
		revision = 0
	}
	element, newer := t.byRevision.Back(), 0
	for element != nil && element.Value.(*entry[K, R]).revision > revision {
		element = element.Prev()
		newer++
	}
	if newer == 0 {
		return nil, full
	}
	changes = make([]Change[K, R], 0, newer)
	for element = t.next(element); element != nil; element = element.Next() {
		e := element.Value.(*entry[K, R])
		if full && e.deleted {
			continue
		}
		changes = append(changes, Change[K, R]{e.key, e.row, e.deleted})
	}
	return changes, full
}

// next returns the element after element, or the first one if element is nil.
func (t *Table[K, R]) next(element *list.Element) *list.Element {
	if element == nil {
		return t.byRevision.Front()
	}
	return element.Next()
}
