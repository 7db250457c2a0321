package ident

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Service is the name of a service, a group of backend servers, in the inventory.
type Service string

// Server is the name of one backend server; it is unique in the fleet.
type Server string

// Instance is the name of one run of a backend server, or of several when it keeps its name over a restart.
type Instance string

// DataCentre is the name of a data centre of the inventory.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// Caller is the name that a caller claims; it is not authenticated.
type Caller string

// Kind is the name of a kind of work in the rules.
type Kind string

// Address is an IP address and port, as in "127.0.0.1:7000".
type Address string

// Rank is the urgency of a kind of work; 0 is the most urgent.
type Rank uint8

// Key is an idempotency key: it identifies one request of a caller across all of its attempts.
type Key string

// Attempt identifies one attempt to run the request of a key.
type Attempt string

// RecordID identifies a record of the log across repeated appends.
type RecordID string

// CallID identifies a call between two nodes; it is unique within the calling node's incarnation.
type CallID uint64

// Incarnation is the start time of a server's node in nanoseconds of Unix time; a higher one is newer.
type Incarnation uint64

// Version is the number of an accepted configuration, from 1; 0 means that there is none.
type Version uint64

// Offset is the position of a record in a stream of the log, from 0.
type Offset int64

// Seq is the sequence number of a refusal of one incarnation, from 1.
type Seq uint64

// Tokens is a number of retries in the budget of a request.
type Tokens int32

// Slots is a number of concurrent requests.
type Slots int32

// Conns is a number of open connections.
type Conns int32

// Bytes is a size in bytes.
type Bytes int64

// Rate is a number of requests per second.
type Rate float64

// Hop is the number of nodes that a request passed before this one; it is 0 at the entry node.
type Hop uint8

// Fraction is a fraction between 0 and 1.
type Fraction float64

// String returns the incarnation in base 36.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 36) }

// CohortPeriod is the time for which a key keeps its cohort; the next cohort may admit a key that was refused.
const CohortPeriod = 10 * time.Second

// Cohort hashes a request to a value in [0,1) that is the same at every hop, so that nodes that admit the same
// fraction of a kind admit the same requests.
func Cohort(key Key, acceptedAt time.Time) Fraction {
	period := uint64(acceptedAt.UnixNano() / int64(CohortPeriod))
	// Multiplication by a large odd constant moves the period into the high bits, which part of
	// the finalizer of MurmurHash3 then mixes. The hash must not allocate on the path of a request.
	h := xxhash.Sum64String(string(key)) ^ (period * 0x9E3779B97F4A7C15)
	h ^= h >> 33
	h *= 0xFF51AFD7ED558CCD
	h ^= h >> 33
	return Fraction(float64(h>>11) / (1 << 53))
}
