package rlbbench

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func result(label string, seed uint64, attained, moves int) string {
	return `{"scenario":"s","label":"` + label + `","seed":` + string(rune('0'+seed)) + `,"load":1,"seconds":10,"moves":` + string(rune('0'+moves)) +
		`,"classes":[{"name":"c","requests":10,"attained":` + string(rune('0'+attained)) + `}]}` + "\n"
}

func TestCompare(t *testing.T) {
	results, err := Read(strings.NewReader(result("random", 1, 2, 1) + result("random", 2, 4, 3) + result("random", 3, 3, 2) + result("cost", 1, 6, 0)))
	groups := GroupResults(results)
	Convey("groups have medians and spreads over seeds", t, func() {
		So(err, ShouldBeNil)
		So(groups, ShouldHaveLength, 2)
		So(groups[0].Attainment, ShouldResemble, Spread{0.3, 0.2, 0.4})
		So(groups[0].Moves.Median, ShouldEqual, 2)
		So(groups[0].Goodput.Median, ShouldAlmostEqual, 0.3, 1e-9)
	})
	Convey("the ratio is relative to the best baseline", t, func() {
		ratio, baseline := AttainmentRatio(groups, "s", 1)
		So(ratio, ShouldAlmostEqual, 2, 1e-9)
		So(baseline, ShouldEqual, "random")
	})
	Convey("table and page are written", t, func() {
		var table, html bytes.Buffer
		So(WriteTable(&table, groups), ShouldBeNil)
		So(table.String(), ShouldContainSubstring, "| s | 1 | random | 0.300 (0.200 to 0.400) | 0.3 | 2 |")
		So(WriteHTML(&html, groups), ShouldBeNil)
		So(html.String(), ShouldContainSubstring, "<td>cost<td>0.600")
	})
	Convey("a malformed line is an error", t, func() {
		_, err := Read(strings.NewReader("{"))
		So(err, ShouldNotBeNil)
	})
}
