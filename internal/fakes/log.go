package fakes

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Bounds of the stand-in log.
const (
	maxAppend     = 2 << 20          // bytes of one append
	maxPoll       = 30 * time.Second // duration of one long poll
	maxPageBytes  = 16 << 20         // bytes of data in one answer to a read
	defaultExpiry = 2 * time.Second  // time after which a delayed append is dropped
)

var (
	errDown    = errors.New("fakes: log is down")
	errRate    = errors.New("fakes: append rate exceeded")
	errExpired = errors.New("fakes: append timed out at the log")
	errLost    = errors.New("fakes: answer lost")
)

// Duration is a time.Duration that JSON shows as text such as "150ms".
type Duration time.Duration

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration such as "150ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// LogFaults is the set of faults in force; the zero value has none. POST /faults replaces it whole.
type LogFaults struct {
	Down       bool     `json:"down"`       // answers 503 to appends and reads
	Refuse     bool     `json:"refuse"`     // closes connections without an answer and without a write
	Slow       Duration `json:"slow"`       // delays every append and read
	SlowAppend Duration `json:"slowAppend"` // delays every append further
	LoseNext   int      `json:"loseNext"`   // closes the connection after the write for the next appends
	LoseShare  float64  `json:"loseShare"`  // probability of a lost answer after the write
	AppendRate float64  `json:"appendRate"` // appends per second over all streams, 429 over it; 0 has no limit
}

// LogStats counts what the log has done since its start.
type LogStats struct {
	Appends  map[string]int64 `json:"appends"` // appends that took effect, by stream
	Refused  int64            `json:"refused"` // appends refused before they took effect
	Lost     int64            `json:"lost"`    // appends whose answer was lost
	Trimmed  int64            `json:"trimmed"` // records removed by retention
	Reads    int64            `json:"reads"`
	Duration Duration         `json:"duration"` // time since the start
}

// LogRecord is one append in an answer to a read.
type LogRecord struct {
	Offset   int64  `json:"offset"`
	AtUnixNs int64  `json:"atUnixNs"`
	Data     []byte `json:"data"`
}

// LogPage is the answer to a read.
type LogPage struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// Log stands in for the platform's append-only log. The zero value keeps everything and has no
// faults; it is an http.Handler. Fields are set before first use; SetFaults changes faults later.
type Log struct {
	MaxAge   time.Duration // records older than this are trimmed; 0 keeps them
	MaxCount int           // records over this number for each stream are trimmed; 0 keeps them
	Expiry   time.Duration // an append delayed for longer never takes effect; 2 s when 0
	Seed     uint64        // of LoseShare
	Faults   LogFaults     // faults at first use
	Now      func() time.Time

	once    sync.Once
	mu      sync.Mutex
	faults  LogFaults
	rng     *rand.Rand
	streams map[string]*logStream
	stats   LogStats
	began   time.Time
	tokens  float64
	refill  time.Time
	mux     *http.ServeMux
}

type logStream struct {
	first   int64
	records []LogRecord
	appends int64
	grown   chan struct{} // closed at the next append or change of faults
}

func (s *logStream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

func (l *Log) init() {
	l.once.Do(func() {
		if l.Now == nil {
			l.Now = time.Now
		}
		if l.Expiry == 0 {
			l.Expiry = defaultExpiry
		}
		l.faults = l.Faults
		l.rng = rand.New(rand.NewPCG(l.Seed, 1))
		l.streams = map[string]*logStream{}
		l.began = l.Now()
		l.refill = l.began
		l.mux = http.NewServeMux()
		l.mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
		l.mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
		l.mux.HandleFunc("POST /faults", l.serveFaults)
		l.mux.HandleFunc("GET /stats", l.serveStats)
	})
}

// ServeHTTP serves the log and its control paths.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.init()
	l.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f LogFaults) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.tokens = f.AppendRate / 10
	l.refill = l.Now()
	for _, s := range l.streams {
		s.wake() // an outage also ends the polls in progress
	}
}

// CurrentFaults returns the faults in force.
func (l *Log) CurrentFaults() LogFaults {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Stats returns the counters.
func (l *Log) Stats() LogStats {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Appends = make(map[string]int64, len(l.streams))
	for name, st := range l.streams {
		s.Appends[name] = st.appends
	}
	s.Duration = Duration(l.Now().Sub(l.began))
	return s
}

// Append adds a record past the faults, as a test's own writer, and returns its offset.
func (l *Log) Append(stream string, data []byte) int64 {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(stream, data)
}

// Records returns what the log keeps of a stream, past the faults.
func (l *Log) Records(stream string) LogPage {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.page(l.stream(stream), 0, int(^uint(0)>>1))
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppend))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	// The delay does not end with the client: an append can take effect after its client gave up.
	slow := l.delay(true)
	if slow > 0 {
		<-time.After(min(slow, l.Expiry))
	}
	at, err := l.tryAppend(r.PathValue("stream"), data, slow)
	switch {
	case errors.Is(err, errLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errExpired):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	case errors.Is(err, errRate):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err != nil:
		l.unavailable(w)
	default:
		writeJSON(w, struct {
			Offset int64 `json:"offset"`
		}{at})
	}
}

func (l *Log) tryAppend(stream string, data []byte, slow time.Duration) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.Down || l.faults.Refuse:
		l.stats.Refused++
		return 0, errDown
	case slow > l.Expiry:
		l.stats.Refused++
		return 0, errExpired
	case !l.take():
		l.stats.Refused++
		return 0, errRate
	}
	at := l.put(stream, data)
	if l.lose() {
		l.stats.Lost++
		return at, errLost
	}
	return at, nil
}

// take takes one append from the rate limit, a token bucket that holds 100 ms.
func (l *Log) take() bool {
	rate := l.faults.AppendRate
	if rate <= 0 {
		return true
	}
	now := l.Now()
	l.tokens = min(l.tokens+now.Sub(l.refill).Seconds()*rate, max(rate/10, 1))
	l.refill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *Log) lose() bool {
	if l.faults.LoseNext > 0 {
		l.faults.LoseNext--
		return true
	}
	return l.faults.LoseShare > 0 && l.rng.Float64() < l.faults.LoseShare
}

func (l *Log) put(stream string, data []byte) int64 {
	s := l.stream(stream)
	at := s.next()
	s.records = append(s.records, LogRecord{Offset: at, AtUnixNs: l.Now().UnixNano(), Data: data})
	s.appends++
	s.wake()
	l.trim(s)
	return at
}

func (l *Log) trim(s *logStream) {
	n := 0
	if l.MaxCount > 0 {
		n = max(0, len(s.records)-l.MaxCount)
	}
	if l.MaxAge > 0 {
		oldest := l.Now().Add(-l.MaxAge).UnixNano()
		for n < len(s.records) && s.records[n].AtUnixNs < oldest {
			n++
		}
	}
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first += int64(n)
	l.stats.Trimmed += int64(n)
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("max"))
	waitMs, err3 := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxPoll)
	if slow := l.delay(false); slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return
		}
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		page, grown, err := l.tryRead(r.PathValue("stream"), from, limit)
		if err != nil {
			l.unavailable(w)
			return
		}
		if len(page.Records) > 0 || limit <= 0 || wait <= 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-grown:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) tryRead(stream string, from int64, limit int) (LogPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down || l.faults.Refuse {
		return LogPage{}, nil, errDown
	}
	l.stats.Reads++
	s := l.stream(stream)
	return l.page(s, from, limit), s.grown, nil
}

func (l *Log) page(s *logStream, from int64, limit int) LogPage {
	l.trim(s)
	p := LogPage{First: s.first, Next: s.next(), Records: []LogRecord{}}
	size := 0
	for i := max(from, s.first) - s.first; i < int64(len(s.records)) && len(p.Records) < limit; i++ {
		r := s.records[i]
		size += len(r.Data)
		if len(p.Records) > 0 && size > maxPageBytes {
			break
		}
		p.Records = append(p.Records, r)
	}
	return p
}

func (l *Log) delay(toAppend bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if toAppend {
		return time.Duration(l.faults.Slow + l.faults.SlowAppend)
	}
	return time.Duration(l.faults.Slow)
}

// unavailable answers 503, or closes the connection when the fault says so.
func (l *Log) unavailable(w http.ResponseWriter) {
	if l.CurrentFaults().Refuse {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, errDown.Error(), http.StatusServiceUnavailable)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	writeJSON(w, f)
}

func (l *Log) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Stats()) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
