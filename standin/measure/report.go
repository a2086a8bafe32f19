// Package measure takes the measurements of docs/MEASUREMENTS.md: the program
// behind "make measure".
//
// Every section starts fleets of real processes on loopback, compares what is
// measured with a baseline in the same run, and adds a table to the report,
// which is printed as text and written as JSON.
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

// Options say what to measure.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	Out io.Writer
	// JSON is the file that the report is written to; empty for none.
	JSON string
	// Only names the sections to run; empty is all.
	Only []string
	// Match limits the sections that have named cases to those that contain it.
	Match string
	// Rounds is how often each measurement is repeated.
	Rounds int
	// Logs receives the log lines of all daemons; nil discards them.
	Logs io.Writer
}

// Table is the result of a section.
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

// section is a group of measurements.
type section struct {
	name string
	run  func(ctx context.Context, opts Options) ([]Table, error)
}

// sections are all sections, in the order in which they run.
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

// Run takes the measurements that opts name.
func Run(ctx context.Context, opts Options) (Report, error) {
	var report Report
	for _, s := range sections {
		if len(opts.Only) > 0 && !slices.Contains(opts.Only, s.name) {
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

// write writes the report to a file.
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

// print prints the table for a person.
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

// ms formats a duration as milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }

// median returns the middle value of list.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// spread formats the median of list and its range.
func spread(format string, list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", median(list), slices.Min(list), slices.Max(list))
}

// quantile returns the value that a share q of list, from 0 to 1, does not
// exceed.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
