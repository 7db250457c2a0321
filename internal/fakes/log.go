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

// Limits of the fake log.
const (
	maxAppendBytes       = 2 << 20          // size of one append
	maxPollDuration      = 30 * time.Second // duration of one long poll
	maxPageBytes         = 16 << 20         // data in one response to a read
	defaultAppendTimeout = 2 * time.Second  // delay beyond which an append fails
)

var (
	errUnavailable   = errors.New("fakes: log is down")
	errRateExceeded  = errors.New("fakes: append rate exceeded")
	errAppendTimeout = errors.New("fakes: append timed out at the log")
	errResponseLost  = errors.New("fakes: answer lost")
)

// Duration is a time.Duration that is encoded in JSON as a string such as "150ms".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration such as "150ms". It returns the error of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// LogFaults is the set of injected faults; the zero value has none. POST /faults replaces the whole set.
type LogFaults struct {
	Down       bool     `json:"down"`       // responds with 503 to appends and reads
	Refuse     bool     `json:"refuse"`     // closes connections without a write or a response
	Slow       Duration `json:"slow"`       // delays every append and read
	SlowAppend Duration `json:"slowAppend"` // additional delay of every append
	LoseNext   int      `json:"loseNext"`   // number of appends that lose their response: the connection is closed after the write
	LoseShare  float64  `json:"loseShare"`  // probability that an append loses its response
	AppendRate float64  `json:"appendRate"` // appends a second over all streams, beyond which it responds with 429; 0 has no limit
}

// LogStats holds the counters of a Log since its start.
type LogStats struct {
	Appends  map[string]int64 `json:"appends"` // appends written, by stream
	Refused  int64            `json:"refused"` // appends that failed before the write
	Lost     int64            `json:"lost"`    // appends that lost their response after the write
	Trimmed  int64            `json:"trimmed"` // appends removed by retention
	Reads    int64            `json:"reads"`
	Duration Duration         `json:"duration"` // time since the start
}

// LogRecord is one append in the response to a read; it may hold many records of the application.
type LogRecord struct {
	Offset   int64  `json:"offset"`
	AtUnixNs int64  `json:"atUnixNs"`
	Data     []byte `json:"data"`
}

// LogPage is the response to a read.
type LogPage struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// Log is a fake of the platform's append-only log and an http.Handler. The zero value keeps all records and
// has no faults. Its fields must be set before first use; SetFaults changes the faults later.
type Log struct {
	MaxAge        time.Duration // records older than this are trimmed; 0 keeps them
	MaxCount      int           // older records beyond this number are trimmed from each stream; 0 keeps them
	AppendTimeout time.Duration // an append delayed for longer fails without a write; 0 means 2 s
	Seed          uint64        // seed of the random source for LoseShare
	Faults        LogFaults     // initial faults
	Now           func() time.Time

	initOnce   sync.Once
	mu         sync.Mutex
	faults     LogFaults
	rng        *rand.Rand
	streams    map[string]*logStream
	stats      LogStats
	started    time.Time
	tokens     float64
	refilledAt time.Time
	mux        *http.ServeMux
}

type logStream struct {
	first   int64
	records []LogRecord
	appends int64
	changed chan struct{} // closed and replaced at each append and change of faults
}

func (s *logStream) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

func (l *Log) init() {
	l.initOnce.Do(func() {
		if l.Now == nil {
			l.Now = time.Now
		}
		if l.AppendTimeout == 0 {
			l.AppendTimeout = defaultAppendTimeout
		}
		l.faults = l.Faults
		l.rng = rand.New(rand.NewPCG(l.Seed, 1))
		l.streams = map[string]*logStream{}
		l.started = l.Now()
		l.refilledAt = l.started
		l.mux = http.NewServeMux()
		l.mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
		l.mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
		l.mux.HandleFunc("POST /faults", l.serveFaults)
		l.mux.HandleFunc("GET /stats", l.serveStats)
	})
}

// ServeHTTP serves reads, appends and the control paths /faults and /stats.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.init()
	l.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.tokens = f.AppendRate / 10
	l.refilledAt = l.Now()
	for _, s := range l.streams {
		s.notifyWaiters() // an outage also fails the long polls in progress
	}
}

// CurrentFaults returns the injected faults.
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
	s.Duration = Duration(l.Now().Sub(l.started))
	return s
}

// Append writes a record regardless of faults and returns its offset.
func (l *Log) Append(stream string, data []byte) int64 {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendRecord(stream, data)
}

// Records returns the retained records of a stream regardless of faults.
func (l *Log) Records(stream string) LogPage {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readPage(l.stream(stream), 0, int(^uint(0)>>1))
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	// The delay ignores the request's context: an append can be written after its client gave up.
	delay := l.faultDelay(true)
	if delay > 0 {
		<-time.After(min(delay, l.AppendTimeout))
	}
	offset, err := l.tryAppend(r.PathValue("stream"), data, delay)
	switch {
	case errors.Is(err, errResponseLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errAppendTimeout):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	case errors.Is(err, errRateExceeded):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err != nil:
		l.writeUnavailable(w)
	default:
		writeJSON(w, struct {
			Offset int64 `json:"offset"`
		}{offset})
	}
}

func (l *Log) tryAppend(stream string, data []byte, delay time.Duration) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.Down || l.faults.Refuse:
		l.stats.Refused++
		return 0, errUnavailable
	case delay > l.AppendTimeout:
		l.stats.Refused++
		return 0, errAppendTimeout
	case !l.takeToken():
		l.stats.Refused++
		return 0, errRateExceeded
	}
	offset := l.appendRecord(stream, data)
	if l.loseResponse() {
		l.stats.Lost++
		return offset, errResponseLost
	}
	return offset, nil
}

// takeToken takes a token for one append from the token bucket of the rate limit, whose
// capacity is 100 ms worth of tokens, at least one. l.mu must be held.
func (l *Log) takeToken() bool {
	rate := l.faults.AppendRate
	if rate <= 0 {
		return true
	}
	now := l.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*rate, max(rate/10, 1))
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *Log) loseResponse() bool {
	if l.faults.LoseNext > 0 {
		l.faults.LoseNext--
		return true
	}
	return l.faults.LoseShare > 0 && l.rng.Float64() < l.faults.LoseShare
}

func (l *Log) appendRecord(stream string, data []byte) int64 {
	st := l.stream(stream)
	offset := st.next()
	st.records = append(st.records, LogRecord{Offset: offset, AtUnixNs: l.Now().UnixNano(), Data: data})
	st.appends++
	st.notifyWaiters()
	l.trim(st)
	return offset
}

func (l *Log) trim(s *logStream) {
	trimmed := 0
	if l.MaxCount > 0 {
		trimmed = max(0, len(s.records)-l.MaxCount)
	}
	if l.MaxAge > 0 {
		cutoff := l.Now().Add(-l.MaxAge).UnixNano()
		for trimmed < len(s.records) && s.records[trimmed].AtUnixNs < cutoff {
			trimmed++
		}
	}
	clear(s.records[:trimmed])
	s.records = s.records[trimmed:]
	s.first += int64(trimmed)
	l.stats.Trimmed += int64(trimmed)
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{changed: make(chan struct{})}
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
	wait := min(time.Duration(waitMs)*time.Millisecond, maxPollDuration)
	if delay := l.faultDelay(false); delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.tryRead(r.PathValue("stream"), from, limit)
		if err != nil {
			l.writeUnavailable(w)
			return
		}
		if len(page.Records) > 0 || limit <= 0 || wait <= 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
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
		return LogPage{}, nil, errUnavailable
	}
	l.stats.Reads++
	s := l.stream(stream)
	return l.readPage(s, from, limit), s.changed, nil
}

func (l *Log) readPage(s *logStream, from int64, limit int) LogPage {
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

func (l *Log) faultDelay(isAppend bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isAppend {
		return time.Duration(l.faults.Slow + l.faults.SlowAppend)
	}
	return time.Duration(l.faults.Slow)
}

// writeUnavailable responds with 503, or closes the connection if the fault Refuse is set.
func (l *Log) writeUnavailable(w http.ResponseWriter) {
	if l.CurrentFaults().Refuse {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, errUnavailable.Error(), http.StatusServiceUnavailable)
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
