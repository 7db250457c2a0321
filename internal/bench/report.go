package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Targets that a run of the product has to meet.
const (
	goodputTarget   = 0.95
	protectedTarget = 0.99
	recoveryTarget  = 2 * time.Second
	recoveredShare  = 0.95
)

// row is one line of the table.
type row struct {
	deployment, scenario, policy string

	hasTargets   bool
	runTime      time.Duration // real time of the run
	goodput      float64       // goodput during the fault as a share of the ideal
	recovery     time.Duration // after the fault's end
	kinds        []kindRow
	protected    float64 // lowest share of a protected kind
	fits         bool    // the protected kinds alone would fit
	otherGoodput float64 // goodput of the other kinds during a flood as a share of the calm phase, -1 without a flood
	otherIdeal   float64 // the same in the ideal
	regularShare float64 // share of the flooding kind's other callers, -1 without a flood
	retries      ident.Tokens
	slotOverrun  ident.Slots // most concurrent calls beyond the slots of one server; above 0 the run is invalid
}

// kindRow is the service of one kind during the fault.
type kindRow struct {
	name  ident.Kind
	rank  ident.Rank
	share float64 // share of sent requests that succeeded in time
	ideal float64
}

// summarize makes a row from the record of a run.
func summarize(d *deployment, s scenario, p string, rec *record) row {
	m := newIdeal(d, &s)
	offered, whole := make(rates, len(d.kinds)), make(rates, len(d.kinds))
	for k := range d.kinds {
		usual, flood := rec.fault(k)
		if s.logDown && d.kinds[k].atMostOnce {
			continue
		}
		offered[k] = float64(usual.sent+flood.sent) / faultDuration.Seconds()
		whole[k] = float64(usual.inTime+flood.inTime) / faultDuration.Seconds()
	}
	best := m.allocate(m.capByFailures(&s, offered))
	r := row{
		deployment: d.name, scenario: s.name, policy: p,
		goodput: m.weightedGoodput(whole) / m.weightedGoodput(best), recovery: rec.recovery(recoveredShare),
		protected: 1, fits: m.protectedFits(offered), otherGoodput: -1, otherIdeal: -1, regularShare: -1,
		retries: ident.Tokens(rec.retries), slotOverrun: rec.slotOverrun,
	}
	for k := range d.kinds {
		r.addKind(rec, &s, k, offered[k], best[k])
	}
	if s.flood != "" {
		r.otherGoodput, r.otherIdeal = otherGoodput(m, rec, s.flood, best)
	}
	return r
}

func (r *row) addKind(rec *record, s *scenario, k int, offered, best float64) {
	kd := &rec.d.kinds[k]
	usual, flood := rec.fault(k)
	all := usual
	all.add(&flood)
	kr := kindRow{name: kd.name, rank: kd.rank, share: all.inTimeShare()}
	if offered > 0 {
		kr.ideal = best / offered
	}
	r.kinds = append(r.kinds, kr)
	if s.flood == kd.name {
		r.regularShare = usual.inTimeShare()
	}
	if kd.protected && offered > 0 && s.flood != kd.name {
		r.protected = min(r.protected, kr.share)
	}
}

// otherGoodput returns the goodput of the other kinds, measured and ideal, relative to the calm phase.
func otherGoodput(m *ideal, rec *record, flood ident.Kind, best rates) (kept, ideal float64) {
	calm, during, bound := make(rates, len(best)), make(rates, len(best)), make(rates, len(best))
	for k := range rec.d.kinds {
		if rec.d.kinds[k].name == flood {
			continue
		}
		before := rec.calm(k)
		usual, _ := rec.fault(k)
		calm[k] = float64(before.inTime)
		during[k] = float64(usual.inTime) / faultDuration.Seconds()
		bound[k] = best[k]
	}
	return m.weightedGoodput(during) / m.weightedGoodput(calm), m.weightedGoodput(bound) / m.weightedGoodput(calm)
}

// missed returns the names of the targets that the row misses.
func (r *row) missed() (all []string) {
	if r.goodput < goodputTarget {
		all = append(all, "goodput")
	}
	if r.recovery > recoveryTarget {
		all = append(all, "recovery")
	}
	if r.fits && r.protected < protectedTarget {
		all = append(all, "protected")
	}
	if r.retries > retryBound {
		all = append(all, "retries")
	}
	if r.slotOverrun > 0 {
		all = append(all, "slots")
	}
	return all
}

func (r *row) mark() string {
	if !r.hasTargets {
		return "-"
	}
	if m := r.missed(); len(m) > 0 {
		return "MISSED " + strings.Join(m, "+")
	}
	return "ok"
}

var header = []string{
	"deployment", "case", "policy", "goodputOfIdeal", "recoverySeconds", "protectedShare", "protectedFits",
	"othersKeep", "othersKeepIdeal", "usualCallersOfFlood", "retriesHighest", "retryBound", "mark", "runSeconds", "serviceByRank",
}

func (r *row) fields() []string {
	var kinds []string
	for _, k := range r.kinds {
		kinds = append(kinds, fmt.Sprintf("%d:%s=%.3f/%.3f", k.rank, k.name, k.share, k.ideal))
	}
	return []string{
		r.deployment, r.scenario, r.policy, decimal(r.goodput), fmt.Sprintf("%.1f", r.recovery.Seconds()),
		decimal(r.protected), strconv.FormatBool(r.fits), decimal(r.otherGoodput), decimal(r.otherIdeal), decimal(r.regularShare),
		strconv.Itoa(int(r.retries)), strconv.Itoa(int(retryBound)), r.mark(),
		fmt.Sprintf("%.1f", r.runTime.Seconds()), strings.Join(kinds, " "),
	}
}

// decimal prints a share, or "-" for none.
func decimal(x float64) string {
	if x < 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", x)
}

// printTable writes the rows as aligned text.
func printTable(w io.Writer, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for i := range rows {
		fmt.Fprintln(t, strings.Join(rows[i].fields(), "\t"))
	}
	return t.Flush()
}

// writeCSV writes the rows as comma-separated values.
func writeCSV(w io.Writer, rows []row) error {
	c := csv.NewWriter(w)
	if err := c.Write(header); err != nil {
		return err
	}
	for i := range rows {
		if err := c.Write(rows[i].fields()); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}
