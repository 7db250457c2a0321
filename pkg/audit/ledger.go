package audit

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Limits of a ledger.
const (
	// DefaultMaxMemory is the default memory limit of all entries. It holds the refusals of a 30-minute log outage.
	DefaultMaxMemory ident.Bytes = 8 << 20
	// BatchSize is the memory of buffered entries at which a batch is produced before BatchPeriod has elapsed.
	BatchSize ident.Bytes = 256 << 10
	// BatchPeriod is the interval between batches.
	BatchPeriod = 10 * time.Second
	// MaxWriteDelay is the maximum delay until a refusal is on the log, for a node that can reach the log:
	// BatchPeriod, and as much again for the polling interval of the writer, the append, and the jitter of
	// the first appends after a fleet restart.
	MaxWriteDelay = 2 * BatchPeriod
	// UnmergedBudget limits the memory of unmerged entries of unprotected kinds per batch. Further refusals are
	// merged immediately: a node may use 12 KB/s for control traffic, which a flood alone would exceed.
	UnmergedBudget ident.Bytes = 64 << 10
	// CallerBudget limits the memory of new merged entries of unprotected kinds with a caller per BatchPeriod.
	// Further refusals are merged across callers: 27 kinds and 50 callers would fill a batch every second.
	CallerBudget ident.Bytes = 64 << 10
	// WriteBytesPerSecond is the average rate at which a node writes records: 12 KB/s for control traffic less
	// the 3 KB/s that other control traffic needs. Entries above the rate stay in memory.
	WriteBytesPerSecond ident.Bytes = 8800
)

const (
	shardCount = 16
	// entryOverhead is the memory of an entry excluding its strings, including its share of a map.
	entryOverhead ident.Bytes = 256
	// maxTextBytes is the maximum length of each string that a caller controls.
	maxTextBytes = 128
	// entryWireOverhead is the encoded size of an entry excluding its strings.
	entryWireOverhead ident.Bytes = 38
	// maxWriteCredit limits the write credit that accumulates while a ledger is idle. A burst can exceed it by
	// one batch, since a batch may overdraw the credit.
	maxWriteCredit = WriteBytesPerSecond * ident.Bytes(BatchPeriod/time.Second)
)

// Ledger buffers the refusals of one node and groups them into batches. Its exported fields must be set
// before first use; the zero value of the others is ready to use. Record, Seq and Size are safe for concurrent
// use; NextBatch, Flush, MarkWritten and Requeue must be called from a single goroutine.
type Ledger struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
	MaxMemory   ident.Bytes // memory limit of all entries; 0 means DefaultMaxMemory

	seq          atomic.Uint64
	memory       atomic.Int64 // bytes of the entries in all shards, excluding pending
	shards       [shardCount]shard
	callerPeriod atomic.Int64 // index of the BatchPeriod that callerBytes counts
	callerBytes  atomic.Int64 // bytes of merged entries with a caller created in callerPeriod

	lastBatchAt time.Time   // time of the last batch, or of the first call of NextBatch
	writeCredit ident.Bytes // bytes that may be written now; negative after a batch overdrew it
	creditAt    time.Time   // time up to which the credit was refilled; zero before the first call of NextBatch
	lastBatched ident.Seq   // highest sequence number in any batch
	pending     *Batch      // batch not yet known to be on the log; nil if none
	inFlight    bool        // pending was returned to the caller, which has not reported the result
}

type shard struct {
	mu       sync.Mutex
	singles  []Entry
	merged   map[mergeKey]Entry
	memory   ident.Bytes
	unmerged ident.Bytes // unmerged entries of unprotected kinds added since the last batch
	_        [64]byte    // keeps the locks of adjacent shards on separate cache lines
}

// mergeKey holds the fields that merged refusals have in common. Higher merge levels leave more fields empty.
type mergeKey struct {
	caller    ident.Caller
	kind      ident.Kind
	rank      ident.Rank
	protected bool
	reason    reason.Refusal
	outcome   reason.Outcome
	version   ident.Version
	minute    int64
}

// Merge levels, in order of increasing loss of detail.
const (
	mergeByCaller = iota // same caller, kind, reason, outcome, version and minute
	mergeByMinute        // without caller
	mergeByKind          // without minute and version
	mergeByReason        // without kind and rank; the number of keys is then fixed
)

func mergeKeyAt(e *Entry, level int) mergeKey {
	k := mergeKey{
		caller: e.Caller, kind: e.Kind, rank: e.Rank, protected: e.Protected, reason: e.Reason,
		outcome: e.Outcome, version: e.Version, minute: e.First.Unix() / 60,
	}
	if level >= mergeByMinute {
		k.caller = ""
	}
	if level >= mergeByKind {
		k.minute, k.version = 0, 0
	}
	if level >= mergeByReason {
		k.kind, k.rank = "", 0
	}
	return k
}

// Record records a refusal at time now and returns its sequence number. It sets Count, First and Last of the
// entry.
func (l *Ledger) Record(e Entry, now time.Time) ident.Seq {
	e.Count, e.First, e.Last = 1, now, now
	e.Caller, e.Key, e.Remote = sanitizeText(e.Caller), sanitizeText(e.Key), sanitizeText(e.Remote)
	e.Kind = sanitizeText(e.Kind)
	if s := l.shardFor(string(e.Key)); e.Protected || s.reserveUnmerged(entryMemory(&e)) {
		return l.addEntry(s, func() { s.addSingle(e) })
	}
	// Sharding by kind keeps refusals with the same merge key in one shard instead of one entry in each.
	s := l.shardFor(string(e.Kind))
	return l.addEntry(s, func() { s.addMerged(e, l.mergeLevel(s, e, now)) })
}

func (l *Ledger) shardFor(text string) *shard { return &l.shards[xxhash.Sum64String(text)%shardCount] }

// addEntry calls add under the lock of the shard, enforces the memory limit and returns the sequence number of
// the refusal.
func (l *Ledger) addEntry(s *shard, add func()) ident.Seq {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.memory
	add()
	if limit := l.maxMemory() / shardCount; s.memory > limit {
		s.compact(limit * 3 / 4)
	}
	l.memory.Add(int64(s.memory - before))
	// The sequence number is assigned under the lock, so that a batch never contains an unnumbered refusal.
	return ident.Seq(l.seq.Add(1))
}

// mergeLevel returns the merge level of a refusal of an unprotected kind, which keeps its caller while
// CallerBudget allows.
func (l *Ledger) mergeLevel(s *shard, e Entry, now time.Time) int {
	if p := now.Unix() / int64(BatchPeriod/time.Second); l.callerPeriod.Swap(p) != p {
		l.callerBytes.Store(0)
	}
	k := mergeKeyAt(&e, mergeByCaller)
	if _, ok := s.merged[k]; ok {
		return mergeByCaller
	}
	entry := k.emptyEntry(now)
	if ident.Bytes(l.callerBytes.Add(int64(entryMemory(&entry)))) > CallerBudget {
		return mergeByMinute
	}
	return mergeByCaller
}

// Seq returns the sequence number of the last refusal, or 0 if there was none.
func (l *Ledger) Seq() ident.Seq { return ident.Seq(l.seq.Load()) }

// Size returns the memory of the buffered entries, in bytes, excluding the pending batch.
func (l *Ledger) Size() ident.Bytes { return ident.Bytes(l.memory.Load()) }

func (l *Ledger) maxMemory() ident.Bytes {
	if l.MaxMemory == 0 {
		return DefaultMaxMemory
	}
	return l.MaxMemory
}

// sanitizeText truncates a string and replaces invalid UTF-8, which protobuf records cannot encode.
func sanitizeText[T ~string](s T) T {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	return T(strings.ToValidUTF8(string(s), "?"))
}

func entryMemory(e *Entry) ident.Bytes { return entryOverhead + textBytes(e) }

func entryWireSize(e *Entry) ident.Bytes { return entryWireOverhead + textBytes(e) }

func textBytes(e *Entry) ident.Bytes {
	return ident.Bytes(len(e.Caller) + len(e.Key) + len(e.Remote) + len(e.Kind))
}

// reserveUnmerged reserves memory for an unmerged entry of an unprotected kind, and reports false if that
// exceeds UnmergedBudget.
func (s *shard) reserveUnmerged(size ident.Bytes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unmerged+size > UnmergedBudget/shardCount {
		return false
	}
	s.unmerged += size
	return true
}

func (s *shard) addSingle(e Entry) {
	s.singles = append(s.singles, e)
	s.memory += entryMemory(&e)
}

func (s *shard) addMerged(e Entry, level int) {
	k := mergeKeyAt(&e, level)
	old, ok := s.merged[k]
	if !ok {
		if s.merged == nil {
			s.merged = map[mergeKey]Entry{}
		}
		old = k.emptyEntry(e.First)
		s.memory += entryMemory(&old)
	}
	s.merged[k] = mergeEntries(old, e)
}

// emptyEntry returns an entry with the fields of the key and a count of 0.
func (k mergeKey) emptyEntry(at time.Time) Entry {
	return Entry{
		Caller: k.caller, Kind: k.kind, Rank: k.rank, Protected: k.protected, Reason: k.reason,
		Outcome: k.outcome, Version: k.version, First: at, Last: at,
	}
}

func mergeEntries(a, b Entry) Entry {
	a.Count += b.Count
	if b.First.Before(a.First) {
		a.First = b.First
	}
	if b.Last.After(a.Last) {
		a.Last = b.Last
	}
	return a
}

// compact merges entries, unprotected kinds first, until the shard uses at most target bytes.
func (s *shard) compact(target ident.Bytes) {
	for level := mergeByCaller; level <= mergeByReason; level++ {
		s.mergeAll(level, false)
		if s.memory <= target {
			return
		}
	}
	for level := mergeByCaller; level <= mergeByReason; level++ {
		s.mergeAll(level, true)
		if s.memory <= target {
			return
		}
	}
}

// mergeAll merges all entries of either the protected or the unprotected kinds at the given level.
func (s *shard) mergeAll(level int, protected bool) {
	singles, merged := s.singles, s.merged
	s.singles, s.merged, s.memory = nil, make(map[mergeKey]Entry, len(merged)), 0
	for _, e := range singles {
		if e.Protected == protected {
			s.addMerged(e, level)
			continue
		}
		s.singles = append(s.singles, e)
		s.memory += entryMemory(&e)
	}
	for k, e := range merged {
		if k.protected == protected {
			s.addMerged(e, level)
			continue
		}
		s.merged[k] = e
		s.memory += entryMemory(&e)
	}
}

// NextBatch returns the next batch, and false if none is due. The pending batch is due after Requeue; otherwise
// a new batch is due every BatchPeriod or at BatchSize, as far as WriteBytesPerSecond allows. No other batch is
// returned until MarkWritten or Requeue is called.
func (l *Ledger) NextBatch(now time.Time) (Batch, bool) {
	if l.pending == nil {
		if l.lastBatchAt.IsZero() {
			l.lastBatchAt = now
		}
		if !l.refillCredit(now) || now.Sub(l.lastBatchAt) < BatchPeriod && l.Size() < BatchSize {
			return Batch{}, false
		}
	}
	return l.Flush(now)
}

// refillCredit adds the write credit accrued since the last call and reports whether any is available.
func (l *Ledger) refillCredit(now time.Time) bool {
	if l.creditAt.IsZero() {
		l.writeCredit, l.creditAt = l.writeCredit+maxWriteCredit, now
	}
	if d := now.Sub(l.creditAt); d > 0 {
		more := min(d, 1000*BatchPeriod) / time.Millisecond
		l.writeCredit = min(l.writeCredit+WriteBytesPerSecond*ident.Bytes(more)/1000, maxWriteCredit)
		l.creditAt = l.creditAt.Add(more * time.Millisecond)
		if d > 1000*BatchPeriod {
			l.creditAt = now
		}
	}
	return l.writeCredit > 0
}

// Flush is like NextBatch, but returns buffered entries before a batch is due and ignores WriteBytesPerSecond.
func (l *Ledger) Flush(now time.Time) (Batch, bool) {
	switch {
	case l.pending != nil && l.inFlight:
		return Batch{}, false
	case l.pending == nil:
		l.lastBatchAt = now
		l.pending = l.buildBatch()
	}
	if l.pending == nil {
		return Batch{}, false
	}
	l.inFlight = true
	return *l.pending, true
}

// Requeue reports that the append of the pending batch failed or its result is unknown. NextBatch then returns the
// same batch again.
func (l *Ledger) Requeue() { l.inFlight = false }

// MarkWritten reports that the pending batch is on the log, which discards it.
func (l *Ledger) MarkWritten() { l.pending, l.inFlight = nil, false }

// buildBatch removes up to BatchSize bytes of entries from the shards, or returns nil if there are none.
func (l *Ledger) buildBatch() *Batch {
	b := &Batch{
		Server: l.Server, Incarnation: l.Incarnation, Service: l.Service, DataCentre: l.DataCentre,
		First: l.lastBatched + 1,
	}
	merged := map[mergeKey]Entry{}
	// The first pass takes an equal share from each shard; later passes fill the rest from shards that have more.
	for left, part := BatchSize, BatchSize/shardCount; left > 0 && part > 0; part = left {
		before := left
		for i := range l.shards {
			freed := l.shards[i].moveTo(b, merged, min(part, left))
			l.memory.Add(-int64(freed))
			left -= freed
		}
		if left == before {
			break
		}
	}
	for _, e := range merged {
		b.Entries = append(b.Entries, e)
	}
	count := uint64(0)
	for i := range b.Entries {
		count += b.Entries[i].Count
		l.writeCredit -= entryWireSize(&b.Entries[i])
	}
	if count == 0 {
		return nil
	}
	l.lastBatched += ident.Seq(count)
	b.Last = l.lastBatched
	return b
}

// moveTo moves entries into the batch until room bytes are freed, and returns the bytes freed. Merged entries go
// first, then single ones, oldest first: merged entries are older and would otherwise lose more detail for as
// long as a flood lasts.
func (s *shard) moveTo(b *Batch, merged map[mergeKey]Entry, room ident.Bytes) (freed ident.Bytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.merged {
		if freed >= room {
			break
		}
		freed += entryMemory(&e)
		old, ok := merged[k]
		if !ok {
			old = k.emptyEntry(e.First)
		}
		merged[k] = mergeEntries(old, e)
		delete(s.merged, k)
	}
	n := 0
	for ; n < len(s.singles) && freed < room; n++ {
		freed += entryMemory(&s.singles[n])
	}
	b.Entries = append(b.Entries, s.singles[:n]...)
	s.singles = append([]Entry(nil), s.singles[n:]...)
	s.memory -= freed
	s.unmerged = 0
	return freed
}
