package ident

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Service names a kind of backend server in the inventory.
type Service string

// Server names one backend server; it is unique in the fleet.
type Server string

// Instance names one start of a backend server, or several when it keeps its name over a restart.
type Instance string

// DataCentre names a data centre of the inventory.
type DataCentre string

// Region names a group of data centres.
type Region string

// Caller is the name that a caller gives itself; it is claimed, not authenticated.
type Caller string

// Kind names a kind of work in the rules.
type Kind string

// Address is an IP address and port, as in "127.0.0.1:7000".
type Address string

// Rank orders kinds of work; 0 is the most urgent.
type Rank uint8

// Key identifies one request of a caller over all of its attempts.
type Key string

// Attempt identifies one attempt to run a key.
type Attempt string

// RecordID identifies a record on the log over repeated appends.
type RecordID string

// CallID identifies a call between two nodes; it is unique within the calling node's incarnation.
type CallID uint64

// Incarnation numbers the starts of one server's node in nanoseconds of Unix time; the higher one is newer.
type Incarnation uint64

// Version numbers the accepted configurations from 1; 0 means that there is none.
type Version uint64

// Offset is the position of a record in a stream of the log, from 0.
type Offset int64

// Seq numbers the refusals of one incarnation from 1.
type Seq uint64

// Tokens counts retries that a request may still spend.
type Tokens int32

// Slots counts requests that run at the same time.
type Slots int32

// Conns counts open connections.
type Conns int32

// Bytes counts bytes.
type Bytes int64

// Hop counts the nodes that a request has entered, from 0 at the entry.
type Hop uint8

// Fraction is a share between 0 and 1.
type Fraction float64

// String returns the incarnation in base 36.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 36) }

// CohortPeriod is how long a key keeps its cohort; rotation gives a refused key another chance.
const CohortPeriod = 10 * time.Second

// Cohort maps a request to a point in [0,1) that is the same at every hop, so that all nodes admit
// the same requests when they admit a fraction of a kind.
func Cohort(key Key, born time.Time) Fraction {
	period := uint64(born.UnixNano() / int64(CohortPeriod))
	// Multiplication by a large odd constant moves the period into the high bits, which the
	// finalizer then mixes; the hash must not allocate on the path of a request.
	h := xxhash.Sum64String(string(key)) ^ (period * 0x9E3779B97F4A7C15)
	h ^= h >> 33
	h *= 0xFF51AFD7ED558CCD
	h ^= h >> 33
	return Fraction(float64(h>>11) / (1 << 53))
}
