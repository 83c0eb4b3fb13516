package rlbcapacity

import (
	"bytes"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPage(t *testing.T) {
	Convey("docs/CAPACITY.md contains the page generated from the samples", t, func() {
		file, err := os.Open("../../../docs/capacity.jsonl")
		So(err, ShouldBeNil)
		defer file.Close()
		samples, err := ReadSamples(file)
		So(err, ShouldBeNil)
		var part bytes.Buffer
		So(Page(&part, samples, FittedSamples), ShouldBeNil)
		page, err := os.ReadFile("../../../docs/CAPACITY.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldContainSubstring, part.String())
	})
}

func TestFit(t *testing.T) {
	Convey("a known line is recovered from its own points", t, func() {
		var samples []Sample
		for _, c := range []int{2, 3, 5, 8} {
			for _, e := range []int{10, 40} {
				for _, d := range []int{1, 4} {
					s := Sample{Shape: Shape{Controllers: c, Engines: e, Domains: d}}
					s.PollBytes = 1000 * (2 + 3*enginesPerController(s.Shape))
					s.Processor, s.LinkBytes, s.Heap = peersPerController(s.Shape), crossDomainLinksPerController(s.Shape), float64(e*d)
					s.ObjectReads, s.ObjectWrites = float64(d), 2*float64(d)
					samples = append(samples, s)
				}
			}
		}
		lines, err := Fit(samples)
		So(err, ShouldBeNil)
		So(lines[2].Coefficients[0].Value, ShouldAlmostEqual, 2, 1e-6)
		So(lines[2].Coefficients[1].Value, ShouldAlmostEqual, 3, 1e-6)
		So(lines[5].At(Shape{Controllers: 1, Engines: 1, Domains: 22}), ShouldAlmostEqual, 44, 1e-6)
	})
}
