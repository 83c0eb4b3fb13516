package rlbcommand

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"os"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbburn"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlboperator"
	"github.com/spf13/cobra"
)

func (a *app) burnCommand() *cobra.Command {
	var htmlPath string
	cmd := &cobra.Command{Use: "burn", Short: textBurn, Args: cobra.NoArgs}
	cmd.Flags().StringVar(&htmlPath, "html", "", "also write the report as an HTML page to this file")
	cmd.RunE = func(*cobra.Command, []string) error {
		var reports []rlbburn.Report
		if err := a.withClient(func(ctx context.Context, c *rlboperator.Client) (err error) {
			reports, err = c.Burn(ctx)
			return err
		}); err != nil {
			return err
		}
		if htmlPath != "" {
			if err := writeBurnPage(htmlPath, reports); err != nil {
				return exitf(ExitUsage, "%w", err)
			}
		}
		return a.print(reports, func(w io.Writer) { writeBurn(w, reports) })
	}
	return cmd
}

// burnRow is the row of a model in the report.
type burnRow struct {
	Model, Alert, Cause string
	Left                float64 // remaining share of the budget
	Windows             []burnWindow
}

type burnWindow struct {
	Name             string
	Requests         int
	Attainment, Burn float64
}

func burnRows(reports []rlbburn.Report) []burnRow {
	var rows []burnRow
	for _, r := range reports {
		row := burnRow{Model: r.Model, Alert: "-", Cause: "-", Left: r.BudgetLeft()}
		if pair, alert := r.Alert(); alert {
			row.Alert = fmt.Sprintf("%gx over %s", pair.Rate, pair.Long)
		}
		for _, name := range rlbburn.WindowNames() {
			c := r.Windows[name]
			if c.Missed() > 0 {
				row.Cause = string(c.MainCause())
			}
			row.Windows = append(row.Windows, burnWindow{name, c.Total(), c.Attainment(), c.BurnRate()})
		}
		rows = append(rows, row)
	}
	return rows
}

func writeBurn(w io.Writer, reports []rlbburn.Report) {
	_, _ = fmt.Fprintf(w, "objective: %g%% of requests within target\n%-24s %-10s %-8s %-12s", 100*rlbburn.Objective, "model", "left", "cause", "alert")
	for _, name := range rlbburn.WindowNames() {
		_, _ = fmt.Fprintf(w, " %22s", name)
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range burnRows(reports) {
		_, _ = fmt.Fprintf(w, "%-24s %9.1f%% %-8s %-12s", row.Model, 100*row.Left, row.Cause, row.Alert)
		for _, win := range row.Windows {
			_, _ = fmt.Fprintf(w, " %6d %6.2f%% %6.2fx", win.Requests, 100*win.Attainment, win.Burn)
		}
		_, _ = fmt.Fprintln(w)
	}
}

var burnPage = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) },
	"bar":     func(f float64) int { return int(min(max(f, 0), 10) * 20) }, // pixels
}).Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:4px 10px;text-align:right}.bar{background:#c33;height:10px;display:inline-block}</style>
<h1>Service-level burn</h1><table><tr><th>model<th>budget left<th>cause<th>alert{{range (index . 0).Windows}}<th>{{.Name}}: requests<th>attainment<th>burn{{end}}</tr>
{{range .}}<tr><td>{{.Model}}<td>{{percent .Left}}<td>{{.Cause}}<td>{{.Alert}}{{range .Windows}}<td>{{.Requests}}<td>{{percent .Attainment}}<td>{{printf "%.2f" .Burn}} <span class="bar" style="width:{{bar .Burn}}px"></span>{{end}}</tr>
{{end}}</table></html>
`))

// writeBurnPage writes the report as an HTML page.
func writeBurnPage(path string, reports []rlbburn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	rows := burnRows(reports)
	if len(rows) == 0 {
		_, err := io.WriteString(file, "<!doctype html><title>Service-level burn</title><p>No requests yet.</p>\n")
		return err
	}
	return burnPage.Execute(file, rows)
}
