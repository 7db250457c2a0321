package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of a load, so that it always ends by itself.
const (
	maxLoadDuration = 5 * time.Minute
	maxLoadRate     = 20000 // requests a second, over all kinds
	maxInFlight     = 4096  // requests in flight; further ones are counted as skipped
)

// errInvalidLoad is returned for a load that exceeds the limits.
var errInvalidLoad = errors.New("fakes: load out of bounds")

// KindLoad is the part of a load that has one kind.
type KindLoad struct {
	Kind   string  `json:"kind"`
	Method string  `json:"method"`
	Path   string  `json:"path"` // the number of the request is appended
	Rate   float64 `json:"rate"` // requests a second
	Keyed  bool    `json:"keyed"`
}

// Load is an open-loop load of limited rate and duration.
type Load struct {
	EntryURLs  []string   `json:"entries"` // base URLs of callers' ports
	Caller     string     `json:"caller"`
	Kinds      []KindLoad `json:"work"`
	Duration   Duration   `json:"duration"`
	Timeout    Duration   `json:"timeout"` // timeout of each request; 0 means 5 s
	Seed       uint64     `json:"seed"`
	MaxRepeats int        `json:"repeat"` // maximum number of repeats of a refused request, with the same key
}

// KindReport counts the requests of one kind by the outcome that the caller saw.
type KindReport struct {
	Kind      string           `json:"kind"`
	Sent      int64            `json:"sent"`
	Answered  int64            `json:"answered"` // complete responses of the backend server
	Refused   map[string]int64 `json:"refused"`  // requests not run, by reason
	Unknown   int64            `json:"unknown"`
	NoAnswer  int64            `json:"noAnswer"`  // requests whose connection broke without a response
	Unreached int64            `json:"unreached"` // requests not sent because the connection was refused
	Wrong     int64            `json:"wrong"`     // responses that belong to another request
	Skipped   int64            `json:"skipped"`   // requests not sent because too many were in flight
	P50Ms     float64          `json:"p50Ms"`
	P99Ms     float64          `json:"p99Ms"`
	NotRun    []string         `json:"notRun"`    // keys of requests reported as not run
	Succeeded []string         `json:"succeeded"` // keys of requests with a complete response

	hist *hdrhistogram.Histogram
}

// Report is the result of a load.
type Report struct {
	Caller string        `json:"caller"`
	Kinds  []*KindReport `json:"kinds"`
}

// Run sends the load until its duration is over or ctx ends, and returns the outcomes. It fails if the
// load exceeds the limits.
func (l *Load) Run(ctx context.Context) (report *Report, err error) {
	if err = l.validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.Duration))
	defer cancel()
	s := &sender{load: l, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 512},
		Timeout:   time.Duration(l.Timeout),
	}, inFlight: make(chan struct{}, maxInFlight)}
	report = &Report{Caller: l.Caller}
	var wg sync.WaitGroup
	for i := range l.Kinds {
		k := &KindReport{Kind: l.Kinds[i].Kind, Refused: map[string]int64{}, hist: hdrhistogram.New(1, 60_000_000, 3)}
		report.Kinds = append(report.Kinds, k)
		wg.Go(func() { s.sendKind(ctx, &l.Kinds[i], k, uint64(i)) })
	}
	wg.Wait()
	s.wg.Wait()
	for _, k := range report.Kinds {
		k.P50Ms = float64(k.hist.ValueAtQuantile(50)) / 1000
		k.P99Ms = float64(k.hist.ValueAtQuantile(99)) / 1000
	}
	return report, nil
}

func (l *Load) validate() error {
	var rate float64
	for _, w := range l.Kinds {
		rate += w.Rate
	}
	if rate > maxLoadRate || time.Duration(l.Duration) > maxLoadDuration || l.Duration <= 0 || len(l.EntryURLs) == 0 {
		return fmt.Errorf("%w: %v requests a second for %v", errInvalidLoad, rate, time.Duration(l.Duration))
	}
	if l.Timeout == 0 {
		l.Timeout = Duration(5 * time.Second)
	}
	return nil
}

// sender sends the requests of a Load.
type sender struct {
	load     *Load
	client   *http.Client
	inFlight chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex // guards the KindReports
}

// sendKind sends the requests of one kind, evenly spaced at their rate, until ctx ends.
func (s *sender) sendKind(ctx context.Context, w *KindLoad, k *KindReport, n uint64) {
	if w.Rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(s.load.Seed, n))
	t := time.NewTicker(time.Duration(float64(time.Second) / w.Rate))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		entry := s.load.EntryURLs[rng.IntN(len(s.load.EntryURLs))]
		select {
		case s.inFlight <- struct{}{}:
			s.wg.Go(func() {
				defer func() { <-s.inFlight }()
				s.sendWithRepeats(entry, w, k, i)
			})
		default:
			s.update(func() { k.Skipped++ })
		}
	}
}

func (s *sender) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// sendWithRepeats sends one request, repeats it while it is refused, up to Load.MaxRepeats times, and records
// the last result.
func (s *sender) sendWithRepeats(entry string, w *KindLoad, k *KindReport, i int) {
	key := fmt.Sprintf("%s-%d-%d", w.Kind, s.load.Seed, i)
	s.update(func() { k.Sent++ })
	for attempt := 0; ; attempt++ {
		start := time.Now()
		res := s.send(entry, w, key, i)
		if res.outcome == "notRun" && attempt < s.load.MaxRepeats {
			continue
		}
		s.update(func() { k.add(res, s.load.Caller+"/"+w.Kind+"/"+key, time.Since(start)) })
		return
	}
}

// result is the outcome of one request as the caller saw it.
type result struct {
	outcome string // "ran", "notRun", "unknown", "running", "unreached", "" without a response
	reason  string
	wrong   bool
}

// outcomeUnreached is the outcome of a request whose connection was refused.
const outcomeUnreached = "unreached"

func (k *KindReport) add(res result, key string, latency time.Duration) {
	switch res.outcome {
	case "ran":
		k.Answered++
		k.Succeeded = append(k.Succeeded, key)
		_ = k.hist.RecordValue(latency.Microseconds())
	case "notRun":
		k.Refused[res.reason]++
		k.NotRun = append(k.NotRun, key)
	case "":
		k.NoAnswer++
	case outcomeUnreached:
		k.Unreached++
	default:
		k.Unknown++
	}
	if res.wrong {
		k.Wrong++
	}
}

func (s *sender) send(entry string, w *KindLoad, key string, i int) (t result) {
	path := fmt.Sprintf("%s%d", w.Path, i)
	req, err := http.NewRequest(w.Method, entry+path, strings.NewReader(""))
	if err != nil {
		return result{}
	}
	req.GetBody = nil
	req.Header.Set("Briar-Caller", s.load.Caller)
	req.Header.Set(headerKey, key)
	resp, err := s.client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return result{outcome: outcomeUnreached}
	}
	if err != nil {
		return result{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{}
	}
	if outcome := resp.Header.Get(headerOutcome); outcome != "" {
		return result{outcome: outcome, reason: resp.Header.Get(headerReason)}
	}
	var echoed struct {
		Path string `json:"path"`
		Key  string `json:"key"`
	}
	wrong := json.Unmarshal(body, &echoed) != nil || echoed.Path != path || !strings.HasSuffix(echoed.Key, key)
	return result{outcome: "ran", wrong: wrong}
}
