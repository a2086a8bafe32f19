// Package measure takes the measurements of docs/MEASUREMENTS.md. "make measure"
// runs it.
//
// Each section starts fleets of real processes on loopback, compares the measured
// values with a baseline from the same run, and adds tables to the report. The
// report is printed as text and written as JSON.
//
// # Usage
//
//	report, err := measure.Run(ctx, measure.Options{Bin: "bin", Out: os.Stdout})
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Options select the measurements and where the results go.
type Options struct {
	// Bin is the directory of the programs siskinknot and standin.
	Bin string
	// Out receives the report as text.
	Out io.Writer
	// JSON is the file that the report is written to; if empty, none is written.
	JSON string
	// Sections are the names of the sections to run; if empty, all sections run.
	Sections []string
	// Match selects, in the sections recovery and scenarios, the cases whose name
	// contains it.
	Match string
	// Rounds is the number of times that the sections latency, cost, recovery and
	// zone repeat each measurement; the other sections measure once.
	Rounds int
	// Logs receives the log lines of all daemons; nil discards them.
	Logs io.Writer
}

// Table is a result of a section. Cells hold formatted values; the columns or the
// note state their units.
type Table struct {
	Name    string     `json:"name"`
	Note    string     `json:"note"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Report is the result of a run.
type Report struct {
	Tables []Table `json:"tables"`
}

// section is a group of measurements that can be run alone.
type section struct {
	name string
	run  func(ctx context.Context, opts Options) ([]Table, error)
}

// sections are all sections in the order in which they run.
var sections = []section{
	{"latency", addedLatency},
	{"cost", requestCost},
	{"control", control},
	{"mesh-control", meshControl},
	{"recovery", recovery},
	{"zone", zoneLoss},
	{"scenarios", scenarios},
	{"balance", balancing},
	{"shared", shared},
}

// Run runs the sections that opts select. It prints each table to opts.Out, and
// writes the report to opts.JSON. If a section fails, Run returns the tables so far
// with the error and writes no file.
func Run(ctx context.Context, opts Options) (Report, error) {
	var report Report
	for _, s := range sections {
		if len(opts.Sections) > 0 && !slices.Contains(opts.Sections, s.name) {
			continue
		}
		start := time.Now()
		tables, err := s.run(ctx, opts)
		for _, table := range tables {
			table.print(opts.Out)
			report.Tables = append(report.Tables, table)
		}
		if err != nil {
			return report, fmt.Errorf("section %s: %w", s.name, err)
		}
		fmt.Fprintf(opts.Out, "(section %s took %v)\n\n", s.name, time.Since(start).Round(time.Second))
	}
	return report, report.write(opts.JSON)
}

// write writes the report as JSON to the file path, if path is not empty.
func (r Report) write(path string) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// print prints the table as aligned text.
func (t Table) print(out io.Writer) {
	fmt.Fprintf(out, "## %s\n%s\n", t.Name, t.Note)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join(t.Columns, "\t")+"\t")
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

// ms formats a duration in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }

// median returns the middle value of list, or 0 if list is empty.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// medianAndRange formats the median of list and its range, each value with format.
func medianAndRange(format string, list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median(list), slices.Min(list), slices.Max(list))
}

// quantile returns the q-quantile of list, for q from 0 to 1, or 0 if list is
// empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
