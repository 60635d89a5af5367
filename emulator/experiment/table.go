package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Table holds the results of an experiment, aggregated over its seeds.
type Table struct {
	Name    string     `json:"name"`
	About   string     `json:"about"`
	Seeds   int        `json:"seeds"`
	Columns []string   `json:"columns"`
	Rows    []TableRow `json:"rows"`
}

// TableRow has one value for each column.
type TableRow struct {
	Name   string `json:"name"`
	Values []Stat `json:"values"`
}

// Stat holds the mean, the minimum and the maximum of a value over the seeds.
type Stat struct {
	Mean, Min, Max float64
}

func newTable(e Experiment, runs [][]Row) Table {
	t := Table{Name: e.Name, About: e.About, Seeds: len(runs), Columns: e.Columns}
	for i, row := range runs[0] {
		r := TableRow{Name: row.Name}
		for j := range row.Values {
			var x []float64
			for _, run := range runs {
				x = append(x, run[i].Values[j])
			}
			r.Values = append(r.Values, newStat(x))
		}
		t.Rows = append(t.Rows, r)
	}
	return t
}

func newStat(x []float64) Stat {
	s := Stat{Min: slices.Min(x), Max: slices.Max(x)}
	for _, v := range x {
		s.Mean += v / float64(len(x))
	}
	return s
}

// String returns the mean and, if they differ when formatted, the minimum and the
// maximum.
func (s Stat) String() string {
	lowest, highest := format(s.Min), format(s.Max)
	if lowest == highest {
		return lowest
	}
	return fmt.Sprintf("%s (%s to %s)", format(s.Mean), lowest, highest)
}

// format formats a value with four significant digits, but keeps all digits before
// the decimal point.
func format(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// MarshalJSON encodes infinite values and NaN as null, since JSON does not have them.
func (s Stat) MarshalJSON() ([]byte, error) {
	finite := func(v float64) *float64 {
		if math.IsInf(v, 0) || math.IsNaN(v) {
			return nil
		}
		return &v
	}
	return json.Marshal(struct {
		Mean *float64 `json:"mean"`
		Min  *float64 `json:"min"`
		Max  *float64 `json:"max"`
	}{finite(s.Mean), finite(s.Min), finite(s.Max)})
}

// Write writes the table in Markdown.
func (t Table) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s Seeds 1 to %d, mean (least to most).\n\n", t.Name, t.About, t.Seeds)
	fmt.Fprintf(&b, "| run | %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat(" --- |", len(t.Columns)+1))
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s", r.Name)
		for _, v := range r.Values {
			fmt.Fprintf(&b, " | %s", v)
		}
		b.WriteString(" |\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}
