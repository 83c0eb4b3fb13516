package rlbworkspace

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
	. "github.com/smartystreets/goconvey/convey"
)

func workspace(name string, keys ...string) rlbdeployment.Workspace {
	return rlbdeployment.NewWorkspace(name, keys, rlbdeployment.Quota{})
}

func TestIndex(t *testing.T) {
	Convey("Given an index of two workspaces", t, func() {
		long := strings.Repeat("k", 2*maxStackKey)
		all := []rlbdeployment.Workspace{workspace("red", "red-1", long), workspace("blue", "blue-1")}
		x := NewIndex(slices.Values(all), Secret{1})
		shouldFind := func(key, name string) {
			w, known := x.Identify(key)
			So(known, ShouldEqual, name != "")
			So(w.Name(), ShouldEqual, name)
		}
		Convey("each key names its workspace", func() {
			shouldFind("red-1", "red")
			shouldFind(long, "red")
			shouldFind("blue-1", "blue")
		})
		Convey("nothing else names one", func() {
			for _, key := range []string{"", "red-", "red-11", "RED-1", "red", long + "k", "red-1\x00"} {
				shouldFind(key, "")
			}
		})
		Convey("no key is printed with a workspace, an index or a config", func() {
			config := rlbdeployment.NewConfig(1, nil, nil, rlbdeployment.Limits{}).WithWorkspaces(all)
			for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
				for _, value := range []any{all, all[0], &all[0], *x, x, *config, config} {
					So(fmt.Sprintf(format, value), ShouldNotContainSubstring, "red-1")
				}
			}
		})
	})
	Convey("An empty index knows no key", t, func() {
		_, known := new(Index).Identify("")
		So(known, ShouldBeFalse)
	})
}

func BenchmarkIdentify(b *testing.B) {
	workspaces := make([]rlbdeployment.Workspace, 0, 500)
	for n := range cap(workspaces) {
		workspaces = append(workspaces, workspace(fmt.Sprint("w", n), fmt.Sprint("key-of-workspace-", n)))
	}
	x := NewIndex(slices.Values(workspaces), Secret{1})
	b.ReportAllocs()
	for b.Loop() {
		x.Identify("key-of-workspace-77")
	}
}
