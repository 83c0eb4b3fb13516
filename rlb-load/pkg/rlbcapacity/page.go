package rlbcapacity

import (
	"fmt"
	"io"
	"strings"
)

// designShape is the size to design for: 720 instances in front of 12,000 replicas
// in 22 failure domains, with 33 instances and 550 engines in the largest domain.
var designShape = Shape{Controllers: 33, Engines: 550, Domains: 22, Residents: 3}

// budget is a limit that the users set: on the cost of an instance, or on the calls of
// the whole fleet to the object API.
type budget struct {
	name  string
	limit float64
	unit  string
	lines []string // quantities whose sum must be within the limit
}

var budgets = []budget{
	{"processor", 1.2, "% of a core", []string{"processor"}},
	{"network", 19, "KB/s", []string{"bytes of links", "bytes of reports"}},
	{"memory", 64, "MB", []string{"heap"}},
	{"object reads", 2000, "per second", []string{"object reads"}},
	{"object writes", 300, "per second", []string{"object writes"}},
}

// FittedSamples is the number of samples, of those taken by make capacity, that the
// lines are fitted to; the others check the lines.
const FittedSamples = 9

// Page writes the measured part of docs/CAPACITY.md: slopes, cross-checks and
// budgets. The lines are fitted to samples[:fitted] and checked against the others.
func Page(w io.Writer, samples []Sample, fitted int) error {
	lines, err := Fit(samples[:fitted])
	if err != nil {
		return err
	}
	var b strings.Builder
	writeSlopes(&b, lines)
	writeChecks(&b, lines, samples[fitted:])
	writeBudgets(&b, lines)
	_, err = io.WriteString(w, b.String())
	return err
}

func writeSlopes(b *strings.Builder, lines []Line) {
	b.WriteString("| quantity of one controller | term | slope | unit | largest error in the fit |\n|---|---|---|---|---|\n")
	for _, l := range lines {
		for _, c := range l.Coefficients {
			fmt.Fprintf(b, "| %s | %s | %.5f | %s | %.0f%% |\n", l.Quantity, c.Name, c.Value, l.Unit, 100*l.maxError)
		}
	}
}

func writeChecks(b *strings.Builder, lines []Line, checks []Sample) {
	b.WriteString("\n| controllers x engines, domains | quantity | predicted | measured | error |\n|---|---|---|---|---|\n")
	for _, s := range checks {
		for i, l := range lines {
			predicted, measured := l.At(s.Shape), quantities[i].measured(s)
			fmt.Fprintf(b, "| %d x %d, %d | %s | %.3f | %.3f | %.0f%% |\n", s.Shape.Controllers, s.Shape.Engines, s.Shape.Domains,
				l.Quantity, predicted, measured, 100*relativeError(predicted, measured))
		}
	}
}

func writeBudgets(b *strings.Builder, lines []Line) {
	b.WriteString("\n| budget | limit | at the design size | met |\n|---|---|---|---|\n")
	missed := 0
	for _, budget := range budgets {
		sum := 0.0
		for _, l := range lines {
			for _, name := range budget.lines {
				if l.Quantity == name {
					sum += l.At(designShape)
				}
			}
		}
		met := "yes"
		if sum > budget.limit {
			met, missed = "no", missed+1
		}
		fmt.Fprintf(b, "| %s | %g %s | %.2f | %s |\n", budget.name, budget.limit, budget.unit, sum, met)
	}
	fmt.Fprintf(b, "\nbudgets=%d missed=%d\n", len(budgets), missed)
}
