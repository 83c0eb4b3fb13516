package rlbbench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
)

// Read reads results, one JSON document per line.
func Read(r io.Reader) ([]Result, error) {
	var all []Result
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var result Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return nil, fmt.Errorf("result %d: %w", len(all)+1, err)
		}
		all = append(all, result)
	}
	return all, lines.Err()
}

// Group summarizes the results of one scenario, load and label over all seeds.
type Group struct {
	Scenario   string
	Label      string
	Load       float64
	Attainment Spread
	Goodput    Spread
	Moves      Spread
}

// Spread is the median, minimum and maximum of values over the seeds.
type Spread struct{ Median, Low, High float64 }

// spread returns the spread of at least one value.
func spread(values []float64) Spread {
	slices.Sort(values)
	return Spread{values[len(values)/2], values[0], values[len(values)-1]}
}

// GroupResults groups results over their seeds, in order of first appearance.
func GroupResults(results []Result) []Group {
	type key struct {
		scenario, label string
		load            float64
	}
	var order []key
	attainment, goodput, moves := map[key][]float64{}, map[key][]float64{}, map[key][]float64{}
	for _, r := range results {
		k := key{r.Scenario, r.Label, r.Load}
		if len(attainment[k]) == 0 {
			order = append(order, k)
		}
		attainment[k] = append(attainment[k], r.Attainment())
		goodput[k] = append(goodput[k], r.Goodput())
		moves[k] = append(moves[k], float64(r.Moves))
	}
	var groups []Group
	for _, k := range order {
		groups = append(groups, Group{k.scenario, k.label, k.load, spread(attainment[k]), spread(goodput[k]), spread(moves[k])})
	}
	return groups
}

// ownPolicy is the label of the load balancer's default policy.
const ownPolicy = "cost"

// AttainmentRatio returns, for a scenario and load, the median attainment of
// ownPolicy relative to that of the best baseline, and the label of that baseline.
func AttainmentRatio(groups []Group, scenario string, load float64) (ratio float64, baseline string) {
	own, best := 0.0, 0.0
	for _, g := range groups {
		switch {
		case g.Scenario != scenario || g.Load != load:
		case g.Label == ownPolicy:
			own = g.Attainment.Median
		case g.Attainment.Median > best:
			best, baseline = g.Attainment.Median, g.Label
		}
	}
	if best == 0 {
		return 0, ""
	}
	return own / best, baseline
}

// GoodputAtDoubleLoad returns the median goodput of ownPolicy at load 2 relative to
// that at load 1.
func GoodputAtDoubleLoad(groups []Group, scenario string) float64 {
	byLoad := map[float64]float64{}
	for _, g := range groups {
		if g.Scenario == scenario && g.Label == ownPolicy {
			byLoad[g.Load] = g.Goodput.Median
		}
	}
	if byLoad[1] == 0 {
		return 0
	}
	return byLoad[2] / byLoad[1]
}

// WriteTable writes the groups as a Markdown table.
func WriteTable(w io.Writer, groups []Group) error {
	if _, err := io.WriteString(w, "| scenario | load | policy | attainment: median (low to high) | goodput per second | moves |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, g := range groups {
		if _, err := fmt.Fprintf(w, "| %s | %g | %s | %.3f (%.3f to %.3f) | %.1f | %.0f |\n",
			g.Scenario, g.Load, g.Label, g.Attainment.Median, g.Attainment.Low, g.Attainment.High, g.Goodput.Median, g.Moves.Median); err != nil {
			return err
		}
	}
	return nil
}

var pageTemplate = template.Must(template.New("bench").Funcs(template.FuncMap{
	"width": func(share float64) int { return int(share * 400) }, // pixels
}).Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>Policies compared</title>
<style>body{font-family:sans-serif}td{padding:3px 8px}.bar{background:#369;height:12px}.spread{background:#9bd;height:4px}</style>
<h1>Policies compared</h1><table><tr><th>scenario<th>load<th>policy<th>attainment<th><th>goodput per second<th>moves</tr>
{{range .}}<tr><td>{{.Scenario}}<td>{{.Load}}<td>{{.Label}}<td>{{printf "%.3f" .Attainment.Median}}
<td><div class="bar" style="width:{{width .Attainment.Median}}px"></div><div class="spread" style="margin-left:{{width .Attainment.Low}}px;width:{{width .Range}}px"></div>
<td>{{printf "%.1f" .Goodput.Median}}<td>{{.Moves.Median}}</tr>
{{end}}</table></html>
`))

// Range returns the difference between the highest and the lowest attainment.
func (g Group) Range() float64 { return g.Attainment.High - g.Attainment.Low }

// WriteHTML writes the groups as an HTML page.
func WriteHTML(w io.Writer, groups []Group) error { return pageTemplate.Execute(w, groups) }
