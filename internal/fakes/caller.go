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

// Bounds of a load, so that it always ends by itself.
const (
	maxLoadTime = 5 * time.Minute
	maxLoadRate = 20000 // requests a second over all kinds
	maxOpen     = 4096  // requests that are open at a time; more are counted as not sent
)

// errLoad reports a load that is out of bounds.
var errLoad = errors.New("fakes: load out of bounds")

// Work is one kind of work of a load.
type Work struct {
	Kind   string  `json:"kind"`
	Method string  `json:"method"`
	Path   string  `json:"path"` // a number is appended
	Rate   float64 `json:"rate"` // requests a second
	Keyed  bool    `json:"keyed"`
}

// Load is a bounded, open-loop load.
type Load struct {
	Entries  []string `json:"entries"` // base URLs of callers' ports
	Caller   string   `json:"caller"`
	Work     []Work   `json:"work"`
	Duration Duration `json:"duration"`
	Timeout  Duration `json:"timeout"` // how long a caller waits; 5 s when 0
	Seed     uint64   `json:"seed"`
	Repeat   int      `json:"repeat"` // times that a caller repeats a refused request, with the same key
}

// KindReport is what became of one kind of work, as the caller was told.
type KindReport struct {
	Kind      string           `json:"kind"`
	Sent      int64            `json:"sent"`
	Answered  int64            `json:"answered"` // whole answers of the backend server
	Refused   map[string]int64 `json:"refused"`  // not run, by reason
	Unknown   int64            `json:"unknown"`
	NoAnswer  int64            `json:"noAnswer"`  // connection broken, no answer at all
	Unreached int64            `json:"unreached"` // connection refused, nothing was sent
	Wrong     int64            `json:"wrong"`     // answers that belong to another request
	Skipped   int64            `json:"skipped"`   // not sent because too many were open
	P50Ms     float64          `json:"p50Ms"`
	P99Ms     float64          `json:"p99Ms"`
	NotRun    []string         `json:"notRun"`    // keys that the caller was told were not run
	Succeeded []string         `json:"succeeded"` // keys that the caller got an answer for

	hist *hdrhistogram.Histogram
}

// Report is what became of a load.
type Report struct {
	Caller string        `json:"caller"`
	Kinds  []*KindReport `json:"kinds"`
}

// Run sends the load and returns what its callers were told.
func (l *Load) Run(ctx context.Context) (rep *Report, err error) {
	if err = l.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.Duration))
	defer cancel()
	s := &sender{load: l, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 512},
		Timeout:   time.Duration(l.Timeout),
	}, open: make(chan struct{}, maxOpen)}
	rep = &Report{Caller: l.Caller}
	var wg sync.WaitGroup
	for i := range l.Work {
		k := &KindReport{Kind: l.Work[i].Kind, Refused: map[string]int64{}, hist: hdrhistogram.New(1, 60_000_000, 3)}
		rep.Kinds = append(rep.Kinds, k)
		wg.Go(func() { s.stream(ctx, &l.Work[i], k, uint64(i)) })
	}
	wg.Wait()
	s.wg.Wait()
	for _, k := range rep.Kinds {
		k.P50Ms = float64(k.hist.ValueAtQuantile(50)) / 1000
		k.P99Ms = float64(k.hist.ValueAtQuantile(99)) / 1000
	}
	return rep, nil
}

func (l *Load) check() error {
	var rate float64
	for _, w := range l.Work {
		rate += w.Rate
	}
	if rate > maxLoadRate || time.Duration(l.Duration) > maxLoadTime || l.Duration <= 0 || len(l.Entries) == 0 {
		return fmt.Errorf("%w: %v requests a second for %v", errLoad, rate, time.Duration(l.Duration))
	}
	if l.Timeout == 0 {
		l.Timeout = Duration(5 * time.Second)
	}
	return nil
}

// sender sends the requests of a load.
type sender struct {
	load   *Load
	client *http.Client
	open   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex // guards the reports
}

// stream sends one kind of work at its rate, evenly spaced, until ctx ends.
func (s *sender) stream(ctx context.Context, w *Work, k *KindReport, n uint64) {
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
		entry := s.load.Entries[rng.IntN(len(s.load.Entries))]
		select {
		case s.open <- struct{}{}:
			s.wg.Go(func() {
				defer func() { <-s.open }()
				s.request(entry, w, k, i)
			})
		default:
			s.note(func() { k.Skipped++ })
		}
	}
}

func (s *sender) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// request sends one request, repeating it as often as the load says while it is refused.
func (s *sender) request(entry string, w *Work, k *KindReport, i int) {
	key := fmt.Sprintf("%s-%d-%d", w.Kind, s.load.Seed, i)
	s.note(func() { k.Sent++ })
	for try := 0; ; try++ {
		start := time.Now()
		told := s.send(entry, w, key, i)
		if told.outcome == "notRun" && try < s.load.Repeat {
			continue
		}
		s.note(func() { k.take(told, s.load.Caller+"/"+w.Kind+"/"+key, time.Since(start)) })
		return
	}
}

// told is what a caller was told about one request.
type told struct {
	outcome string // "ran", "notRun", "unknown", "running", "unreached", "" when there was no answer
	reason  string
	wrong   bool
}

// unreached is the outcome of a request whose connection was refused.
const unreached = "unreached"

func (k *KindReport) take(t told, key string, took time.Duration) {
	switch t.outcome {
	case "ran":
		k.Answered++
		k.Succeeded = append(k.Succeeded, key)
		_ = k.hist.RecordValue(took.Microseconds())
	case "notRun":
		k.Refused[t.reason]++
		k.NotRun = append(k.NotRun, key)
	case "":
		k.NoAnswer++
	case unreached:
		k.Unreached++
	default:
		k.Unknown++
	}
	if t.wrong {
		k.Wrong++
	}
}

func (s *sender) send(entry string, w *Work, key string, i int) (t told) {
	path := fmt.Sprintf("%s%d", w.Path, i)
	req, err := http.NewRequest(w.Method, entry+path, strings.NewReader(""))
	if err != nil {
		return told{}
	}
	req.GetBody = nil
	req.Header.Set("Briar-Caller", s.load.Caller)
	req.Header.Set(headerKey, key)
	resp, err := s.client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return told{outcome: unreached}
	}
	if err != nil {
		return told{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return told{}
	}
	if out := resp.Header.Get(headerOutcome); out != "" {
		return told{outcome: out, reason: resp.Header.Get(headerReason)}
	}
	var a struct {
		Path string `json:"path"`
		Key  string `json:"key"`
	}
	bad := json.Unmarshal(body, &a) != nil || a.Path != path || !strings.HasSuffix(a.Key, key)
	return told{outcome: "ran", wrong: bad}
}
