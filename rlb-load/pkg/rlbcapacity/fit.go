package rlbcapacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"gonum.org/v1/gonum/mat"
)

// Coefficient is the fitted coefficient of one term of a line.
type Coefficient struct {
	Name  string
	Value float64
}

// Line predicts one quantity of a controller from the shape of the fleet.
type Line struct {
	Quantity     string
	Unit         string
	Coefficients []Coefficient
	maxError     float64 // largest relative error among the fitted samples
	regressors   func(Shape) []float64
}

// quantity is a measured quantity and the terms of the line fitted to it.
type quantity struct {
	name, unit string
	termNames  []string
	regressors func(Shape) []float64
	measured   func(Sample) float64
}

// delegateLinksPerPair is the number of links between the delegates of two failure
// domains, counting both directions.
const delegateLinksPerPair = 4

// enginesPerController is the number of engines polled by one controller.
func enginesPerController(s Shape) float64 { return float64(s.Engines) / float64(s.Controllers) }

// peersPerController is the number of other controllers in the same failure domain.
func peersPerController(s Shape) float64 { return float64(s.Controllers - 1) }

// crossDomainLinksPerController is the mean number of links to other failure domains.
func crossDomainLinksPerController(s Shape) float64 {
	return float64(s.Domains-1) * delegateLinksPerPair / float64(s.Controllers)
}

var quantities = []quantity{
	{"processor", "% of a core", []string{"constant", "per report collected per second", "per peer in the domain", "per foreign link", "per engine in the domain"},
		func(s Shape) []float64 {
			return []float64{1, enginesPerController(s), peersPerController(s), crossDomainLinksPerController(s), float64(s.Engines)}
		},
		func(s Sample) float64 { return 100 * s.Processor }},
	{"bytes of links", "KB/s", []string{"constant", "per peer", "per load sent to a peer", "per foreign link"},
		func(s Shape) []float64 {
			return []float64{1, peersPerController(s), peersPerController(s) * enginesPerController(s), crossDomainLinksPerController(s)}
		},
		func(s Sample) float64 { return s.LinkBytes / 1000 }},
	{"bytes of reports", "KB/s", []string{"constant", "per report collected per second"},
		func(s Shape) []float64 { return []float64{1, enginesPerController(s)} },
		func(s Sample) float64 { return s.PollBytes / 1000 }},
	{"heap", "MB", []string{"constant", "per peer", "per engine known"},
		func(s Shape) []float64 { return []float64{1, peersPerController(s), float64(s.Engines * s.Domains)} },
		func(s Sample) float64 { return s.Heap / 1e6 }},
	{"object reads", "per second, whole fleet", []string{"constant", "per failure domain"},
		func(s Shape) []float64 { return []float64{1, float64(s.Domains)} },
		func(s Sample) float64 { return s.ObjectReads }},
	{"object writes", "per second, whole fleet", []string{"constant", "per failure domain"},
		func(s Shape) []float64 { return []float64{1, float64(s.Domains)} },
		func(s Sample) float64 { return s.ObjectWrites }},
}

// Fit fits the lines of all quantities to samples by least squares.
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
	a := mat.NewDense(len(samples), len(q.termNames), nil)
	b := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		a.SetRow(i, q.regressors(s.Shape))
		b.SetVec(i, q.measured(s))
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Line{}, fmt.Errorf("fit %s: %w", q.name, err)
	}
	line := Line{Quantity: q.name, Unit: q.unit, regressors: q.regressors}
	for i, name := range q.termNames {
		line.Coefficients = append(line.Coefficients, Coefficient{name, x.AtVec(i)})
	}
	for _, s := range samples {
		line.maxError = max(line.maxError, relativeError(line.At(s.Shape), q.measured(s)))
	}
	return line, nil
}

// relativeError returns the error of a prediction divided by the measured value.
func relativeError(predicted, measured float64) float64 {
	if measured == 0 {
		return 0
	}
	if predicted < measured {
		return (measured - predicted) / measured
	}
	return (predicted - measured) / measured
}

// MaxError returns the largest relative error among the fitted samples.
func (l Line) MaxError() float64 { return l.maxError }

// At returns the prediction for a shape.
func (l Line) At(s Shape) float64 {
	sum := 0.0
	for i, term := range l.regressors(s) {
		sum += term * l.Coefficients[i].Value
	}
	return sum
}

// ReadSamples reads samples, one JSON document per line.
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
