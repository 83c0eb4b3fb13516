package rlbtable

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func changedKeys(t *Table[int, int], since Revision) (changed []int, full bool) {
	changes, full := t.Since(since)
	for _, c := range changes {
		changed = append(changed, c.Key)
	}
	return changed, full
}

func TestSince(t *testing.T) {
	Convey("a reader receives each changed row once, ordered by latest change", t, func() {
		table := New[int, int]()
		table.Put(1, 10)
		table.Put(2, 20)
		revision := table.Revision()
		table.Put(1, 11)
		table.Delete(2)
		table.Delete(3)
		changed, full := changedKeys(table, revision)
		So(changed, ShouldResemble, []int{1, 2})
		So(full, ShouldBeFalse)
		So(table.Len(), ShouldEqual, 1)
		_, present := table.Get(2)
		So(present, ShouldBeFalse)
	})
	Convey("a reader older than the dropped tombstones receives the whole table", t, func() {
		table := New[int, int]()
		for k := range 2 * maxTombstones {
			table.Put(k, k)
		}
		revision := table.Revision()
		for k := range 2*maxTombstones - 1 {
			table.Delete(k)
		}
		changed, full := changedKeys(table, revision)
		So(full, ShouldBeTrue)
		So(changed, ShouldResemble, []int{2*maxTombstones - 1})
	})
}
