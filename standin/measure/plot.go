package measure

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes in a plot of scenarios.
const (
	plotWidth  = 22 * vg.Centimeter
	rowHeight  = 0.75 * vg.Centimeter
	plotMargin = 3 * vg.Centimeter // title, axis and legend
)

// policyColors are the colors of the points with the policies off and on.
var policyColors = map[string]color.Color{
	"off": color.RGBA{R: 0xd0, G: 0x50, B: 0x30, A: 0xff},
	"on":  color.RGBA{R: 0x20, G: 0x60, B: 0xa0, A: 0xff},
}

// ReadReport reads a report that Run wrote to the file path. It returns an
// error if the file cannot be read or holds no report.
func ReadReport(path string) (Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	var report Report
	if err := json.Unmarshal(data, &report); err != nil {
		return Report{}, fmt.Errorf("report %s: %w", path, err)
	}
	return report, nil
}

// Plot writes, for each deployment in the report, an SVG file of the scenarios
// into dir. It shows the 99th percentile of the latency of each stream with the
// policies off and on, in milliseconds. Plot returns an error if the report has no
// table of scenarios or a file cannot be written.
func (r Report) Plot(dir string) error {
	i := slices.IndexFunc(r.Tables, func(t Table) bool { return t.Name == scenarioTable })
	if i < 0 {
		return fmt.Errorf("the report has no table %q", scenarioTable)
	}
	table := r.Tables[i]
	for _, d := range deployments {
		rows := slices.DeleteFunc(table.rowMaps(), func(row map[string]string) bool { return row["deployment"] != d.name })
		if len(rows) == 0 {
			continue
		}
		p, err := plotScenarios(d.name, rows)
		if err != nil {
			return err
		}
		height := plotMargin + vg.Length(len(rows)/len(policyColors))*rowHeight
		if err := p.Save(plotWidth, height, filepath.Join(dir, "scenarios-"+strings.ToLower(d.name)+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// rowMaps returns the rows as maps from column name to cell.
func (t Table) rowMaps() []map[string]string {
	rows := make([]map[string]string, 0, len(t.Rows))
	for _, cells := range t.Rows {
		row := map[string]string{}
		for i, column := range t.Columns {
			row[column] = cells[i]
		}
		rows = append(rows, row)
	}
	return rows
}

// plotScenarios returns a plot with one line for each stream.
func plotScenarios(deployment string, rows []map[string]string) (*plot.Plot, error) {
	var names []string
	points := map[string]plotter.XYs{}
	for _, row := range rows {
		name := row["scenario"] + ": " + row["load"]
		line := slices.Index(names, name)
		if line < 0 {
			line = len(names)
			names = append(names, name)
		}
		p99, err := strconv.ParseFloat(row["p99"], 64)
		if err != nil {
			return nil, fmt.Errorf("%s: p99 %q: %w", name, row["p99"], err)
		}
		points[row["policy"]] = append(points[row["policy"]], plotter.XY{X: max(p99, 1), Y: float64(-line)})
	}
	p := plot.New()
	p.Title.Text = deployment + ": 99th percentile of latency, policies off and on"
	p.X.Label.Text = "ms, logarithmic"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0.5-float64(len(names)), 0.5
	var ticks plot.ConstantTicks
	for line, name := range names {
		ticks = append(ticks, plot.Tick{Value: float64(-line), Label: name})
	}
	p.Y.Tick.Marker = ticks
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	for _, policy := range []string{"off", "on"} {
		scatter, err := plotter.NewScatter(points[policy])
		if err != nil {
			return nil, err
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: policyColors[policy], Radius: vg.Points(4), Shape: draw.CircleGlyph{}}
		p.Add(scatter)
		p.Legend.Add(policy, scatter)
	}
	return p, nil
}
