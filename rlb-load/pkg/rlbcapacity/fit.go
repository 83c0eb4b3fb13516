package rlbcapacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"gonum.org/v1/gonum/mat"
)

// Slope is one term of a line.
type Slope struct {
	Name  string
	Value float64
}

// Line predicts one quantity of a controller from its size.
type Line struct {
	Quantity string
	Unit     string
	Slopes   []Slope
	spread   float64 // largest error relative to the fitted samples
	terms    func(Shape) []float64
}

// quantity describes a line to fit.
type quantity struct {
	name, unit string
	names      []string
	terms      func(Shape) []float64
	of         func(Sample) float64
}

// delegatePairs is how many controllers of a pair of domains are linked, in
// both directions.
const delegatePairs = 4

// polls is the number of engines whose reports fall to one controller.
func polls(s Shape) float64 { return float64(s.Engines) / float64(s.Controllers) }

// peers is the number of controllers of its domain that one listens to.
func peers(s Shape) float64 { return float64(s.Controllers - 1) }

// foreign is the number of links to other domains, on average.
func foreign(s Shape) float64 {
	return float64(s.Domains-1) * delegatePairs / float64(s.Controllers)
}

var quantities = []quantity{
	{"processor", "% of a core", []string{"constant", "for each report collected a second", "for each peer of the domain", "for each foreign link", "for each engine of the domain"},
		func(s Shape) []float64 {
			return []float64{1, polls(s), peers(s), foreign(s), float64(s.Engines)}
		},
		func(s Sample) float64 { return 100 * s.Processor }},
	{"bytes of links", "KB/s", []string{"constant", "for each peer", "for each load told to a peer", "for each foreign link"},
		func(s Shape) []float64 { return []float64{1, peers(s), peers(s) * polls(s), foreign(s)} },
		func(s Sample) float64 { return s.LinkBytes / 1000 }},
	{"bytes of reports", "KB/s", []string{"constant", "for each report collected a second"},
		func(s Shape) []float64 { return []float64{1, polls(s)} },
		func(s Sample) float64 { return s.PollBytes / 1000 }},
	{"heap", "MB", []string{"constant", "for each peer", "for each engine known"},
		func(s Shape) []float64 { return []float64{1, peers(s), float64(s.Engines * s.Domains)} },
		func(s Sample) float64 { return s.Heap / 1e6 }},
	{"object reads", "a second in the fleet", []string{"constant", "for each failure domain"},
		func(s Shape) []float64 { return []float64{1, float64(s.Domains)} },
		func(s Sample) float64 { return s.ObjectReads }},
	{"object writes", "a second in the fleet", []string{"constant", "for each failure domain"},
		func(s Shape) []float64 { return []float64{1, float64(s.Domains)} },
		func(s Sample) float64 { return s.ObjectWrites }},
}

// Fit fits the lines to samples by least squares.
func Fit(samples []Sample) ([]Line, error) {
	var lines []Line
	for _, q := range quantities {
		line, err := fit(q, samples)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}

func fit(q quantity, samples []Sample) (Line, error) {
	a := mat.NewDense(len(samples), len(q.names), nil)
	b := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		a.SetRow(i, q.terms(s.Shape))
		b.SetVec(i, q.of(s))
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Line{}, fmt.Errorf("fit %s: %w", q.name, err)
	}
	line := Line{Quantity: q.name, Unit: q.unit, terms: q.terms}
	for i, name := range q.names {
		line.Slopes = append(line.Slopes, Slope{name, x.AtVec(i)})
	}
	for _, s := range samples {
		line.spread = max(line.spread, relative(line.At(s.Shape), q.of(s)))
	}
	return line, nil
}

// relative returns the error of a prediction relative to the measured value.
func relative(predicted, measured float64) float64 {
	if measured == 0 {
		return 0
	}
	if predicted < measured {
		return (measured - predicted) / measured
	}
	return (predicted - measured) / measured
}

// Spread returns the largest relative error within the fitted samples.
func (l Line) Spread() float64 { return l.spread }

// At returns the prediction for a size.
func (l Line) At(s Shape) float64 {
	sum := 0.0
	for i, term := range l.terms(s) {
		sum += term * l.Slopes[i].Value
	}
	return sum
}

// ReadSamples reads one sample a line.
func ReadSamples(r io.Reader) ([]Sample, error) {
	var samples []Sample
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var s Sample
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("sample %d: %w", len(samples)+1, err)
		}
		samples = append(samples, s)
	}
	return samples, lines.Err()
}
