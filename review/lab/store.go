package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	key   string
	value []byte
}

// storeTopic is a keyed topic of one partition.
type storeTopic struct {
	records []storeRecord
	newest  map[string]int // offset of the newest record of each key
}

// lostWrite is the next write of a key, which gets no answer and is done late.
type lostWrite struct {
	key   string
	after time.Duration
	done  func()
}

// store stands in for the platform's store: log-append, log-read and log-newest of keyed topics.
type store struct {
	down atomic.Bool // answers each call with 503, which means that nothing was done
	lose atomic.Pointer[lostWrite]

	mu       sync.Mutex
	topics   map[string]*storeTopic
	appended chan struct{} // closed and replaced at each append
	addr     string
	server   *http.Server
}

func startStore(addr string) (s *store, err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s = &store{topics: make(map[string]*storeTopic), appended: make(chan struct{}), addr: ln.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// setDown starts or ends the time in which the store answers 503. Reads that wait are answered as well.
func (s *store) setDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

// put appends a record.
func (s *store) put(name, key string, value []byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = len(t.records)
	t.records = append(t.records, storeRecord{key, value})
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = offset
	}
	s.wake()
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	name := r.URL.Query().Get("topic")
	switch {
	case s.down.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/v1/log-append":
		s.serveAppend(w, r, name)
	case r.URL.Path == "/v1/log-newest":
		s.serveNewest(w, r, name)
	case r.URL.Path == "/v1/log-read":
		s.serveRead(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// storeAnswerTime is the time that the store of the small deployments takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if lost := s.lose.Load(); lost != nil && len(body) > 4 && string(body[5:5+int(body[4])]) == lost.key && s.lose.CompareAndSwap(lost, nil) {
		time.AfterFunc(lost.after, func() {
			s.appendAll(name, body)
			lost.done()
		})
		<-r.Context().Done()
		return
	}
	first, end := s.appendAll(name, body)
	writeJSON(w, map[string]int{"offset": first, "endOffset": end})
}

// appendAll appends the records of a call.
func (s *store) appendAll(name string, body []byte) (first, end int) {
	first = -1
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		body = body[4+size:]
		n := 1 + int(rec[0])
		end = s.put(name, string(rec[1:n]), rec[n:]) + 1
		if first < 0 {
			first = end - 1
		}
	}
	return first, end
}

// newestPageItems is the most items of one page of log-newest.
const newestPageItems = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	after, passed := r.URL.Query().Get("after"), r.URL.Query().Get("after") == ""
	items, more := []item{}, false
	for i, rec := range t.records {
		if t.newest[rec.key] != i || len(rec.value) == 0 {
			continue
		}
		if !passed {
			passed = rec.key == after
			continue
		}
		if len(items) == newestPageItems {
			more = true
			break
		}
		items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("maxWaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		t, appended := s.topic(name), s.appended
		end := len(t.records)
		if from < end || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[min(from, end):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
