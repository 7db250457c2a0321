package main

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// series names what is measured and by which size.
type series struct {
	group, metric, unit, by string
}

// point is one measurement of a series.
type point struct {
	x, y float64
}

// table holds all points in the order in which the series began.
type table struct {
	group  string
	notes  []string
	order  []series
	points map[series][]point
}

func (t *table) note(s string) { t.notes = append(t.notes, s) }

// add takes a measurement of the current group.
func (t *table) add(metric, unit, by string, x, y float64) {
	s := series{t.group, metric, unit, by}
	if t.points == nil {
		t.points = make(map[series][]point)
	}
	if len(t.points[s]) == 0 {
		t.order = append(t.order, s)
	}
	t.points[s] = append(t.points[s], point{x, y})
}

// fit returns the least-squares line through the points and the share of the variance it explains.
func fit(ps []point) (slope, intercept, r2 float64) {
	n := float64(len(ps))
	var mx, my float64
	for _, p := range ps {
		mx += p.x / n
		my += p.y / n
	}
	var sxx, sxy, syy float64
	for _, p := range ps {
		sxx += (p.x - mx) * (p.x - mx)
		sxy += (p.x - mx) * (p.y - my)
		syy += (p.y - my) * (p.y - my)
	}
	if sxx == 0 {
		return 0, my, 0
	}
	slope = sxy / sxx
	intercept = my - slope*mx
	if syy == 0 {
		return slope, intercept, 1
	}
	return slope, intercept, sxy * sxy / (sxx * syy)
}

// perCent is the size of series that are quantiles of one measurement, which have no line.
const perCent = "per cent of calls"

// minFit is the number of points from which a line is fitted.
const minFit = 4

// write writes the notes as comments, then each series with its line.
func (t *table) write(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errorOr(err, f.Close()) }()
	for _, n := range t.notes {
		if _, err = fmt.Fprintln(f, "# "+n); err != nil {
			return err
		}
	}
	w := csv.NewWriter(f)
	rows := [][]string{{"group", "metric", "unit", "by", "type", "size", "value"}}
	for _, s := range t.order {
		rows = append(rows, s.rows(t.points[s])...)
	}
	return w.WriteAll(rows)
}

func errorOr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (s series) rows(ps []point) (rows [][]string) {
	row := func(kind, size string, v float64) {
		rows = append(rows, []string{s.group, s.metric, s.unit, s.by, kind, size, number(v)})
	}
	for _, p := range ps {
		row("point", number(p.x), p.y)
	}
	if len(ps) >= minFit && s.by != perCent {
		slope, intercept, r2 := fit(ps)
		row("slope", "", slope)
		row("intercept", "", intercept)
		row("r2", "", r2)
	}
	return rows
}

// number writes a value with four significant digits, or all digits before the point.
func number(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

func machine() string {
	model := "unknown"
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		for line := range strings.Lines(string(text)) {
			if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
				model = strings.TrimSpace(value)
				break
			}
		}
	}
	return fmt.Sprintf("machine: %d cores, %s, %s, load average %s", runtime.NumCPU(), model, runtime.Version(), loadAverage())
}

func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
