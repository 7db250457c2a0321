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

// series identifies the points of one metric. xLabel names the quantity on the x axis.
type series struct {
	group, metric, unit, xLabel string
}

// point is one measurement of a series: the value y at the size x.
type point struct {
	x, y float64
}

// table holds the points of all series, in the order in which the series were first added.
type table struct {
	group  string // group of the points that are added next
	notes  []string
	order  []series
	points map[series][]point
}

func (t *table) note(s string) { t.notes = append(t.notes, s) }

// add records a measurement of the current group.
func (t *table) add(metric, unit, xLabel string, x, y float64) {
	s := series{t.group, metric, unit, xLabel}
	if t.points == nil {
		t.points = make(map[series][]point)
	}
	if len(t.points[s]) == 0 {
		t.order = append(t.order, s)
	}
	t.points[s] = append(t.points[s], point{x, y})
}

// fitLine returns the least-squares line through the points and its coefficient of determination. Points that
// all have the same x give a horizontal line through their mean.
func fitLine(points []point) (slope, intercept, r2 float64) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / n
		meanY += p.y / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.x - meanX) * (p.x - meanX)
		sxy += (p.x - meanX) * (p.y - meanY)
		syy += (p.y - meanY) * (p.y - meanY)
	}
	if sxx == 0 {
		return 0, meanY, 0
	}
	slope = sxy / sxx
	intercept = meanY - slope*meanX
	if syy == 0 {
		return slope, intercept, 1
	}
	return slope, intercept, sxy * sxy / (sxx * syy)
}

// quantileLabel is the xLabel of series that hold quantiles of one distribution. No line is fitted to them.
const quantileLabel = "per cent of calls"

// minFitPoints is the lowest number of points to which a line is fitted.
const minFitPoints = 4

// write creates file as CSV: the notes as comment lines, then each series with its fitted line.
func (t *table) write(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = firstError(err, f.Close()) }()
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

// firstError returns a, or b if a is nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// rows returns the CSV rows of the points and of the line fitted to them.
func (s series) rows(points []point) (rows [][]string) {
	row := func(kind, size string, v float64) {
		rows = append(rows, []string{s.group, s.metric, s.unit, s.xLabel, kind, size, formatNumber(v)})
	}
	for _, p := range points {
		row("point", formatNumber(p.x), p.y)
	}
	if len(points) >= minFitPoints && s.xLabel != quantileLabel {
		slope, intercept, r2 := fitLine(points)
		row("slope", "", slope)
		row("intercept", "", intercept)
		row("r2", "", r2)
	}
	return rows
}

// formatNumber formats v with four significant digits, or as an integer from 1000 on.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// machineInfo describes the machine on which the measurements were made.
func machineInfo() string {
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

// loadAverage returns the load averages of the last 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
