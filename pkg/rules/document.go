package rules

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// MaxDocumentBytes is the maximum size of a document in bytes; a document has to fit into one record of the log with
// room to spare.
const MaxDocumentBytes ident.Bytes = 256 << 10

// Document is the published configuration document as operators write it.
type Document struct {
	Fleet       string       `yaml:"fleet" validate:"name"`
	DataCentres []DataCentre `yaml:"dataCentres" validate:"min=1,max=64,dive"`
	Services    []Service    `yaml:"services" validate:"min=1,max=256,dive"`
	Ranks       []Rank       `yaml:"ranks" validate:"min=1,max=64,dive"` // most urgent first
	Kinds       []KindRule   `yaml:"kinds" validate:"min=1,max=256,dive"`
	Rules       Rules        `yaml:"rules,omitempty"`
}

// DataCentre is one data centre of the inventory.
type DataCentre struct {
	Name   ident.DataCentre `yaml:"name" validate:"name"`
	Region ident.Region     `yaml:"region" validate:"name"`
}

// Service is one service of the inventory; Slots and Connections are per server.
type Service struct {
	Name        ident.Service      `yaml:"name" validate:"name"`
	Slots       ident.Slots        `yaml:"slots" unit:"requests per server" validate:"min=1,max=65536"`
	Connections ident.Conns        `yaml:"connections" unit:"connections per server" validate:"min=1,max=65536"`
	Servers     int                `yaml:"servers" unit:"servers" validate:"min=1,max=4096"`
	DataCentres []ident.DataCentre `yaml:"dataCentres" validate:"min=1,max=64,dive,name"`
}

// Rank is one level of urgency; its number is its index in the list, from 0.
type Rank struct {
	Name string `yaml:"name" validate:"name"`
}

// KindRule defines which requests belong to one kind of work and how they are handled.
type KindRule struct {
	Name       ident.Kind    `yaml:"name" validate:"name"`
	Rank       string        `yaml:"rank" validate:"name"`
	Service    ident.Service `yaml:"service" validate:"name"` // at which callers outside the fleet enter
	Method     string        `yaml:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	Path       string        `yaml:"path" validate:"prefix"` // matches whole segments
	Deadline   time.Duration `yaml:"deadline" unit:"duration" validate:"min=10ms,max=5m"`
	Idempotent bool          `yaml:"idempotent" default:"false"`
	AtMostOnce bool          `yaml:"atMostOnce" default:"false"`
	Protected  bool          `yaml:"protected" default:"false"`
	Target     string        `yaml:"target,omitempty" validate:"max=200"` // free text for operators
}

// Rules are the rules of the whole fleet.
type Rules struct {
	// RetryBound is the maximum number of retries of one request over the whole call chain.
	RetryBound ident.Tokens `yaml:"retryBound" unit:"retries per request" default:"3" validate:"min=0,max=16"`
	// MaxDepth is the maximum number of hops of a request.
	MaxDepth ident.Hop `yaml:"maxDepth" unit:"hops" default:"22" validate:"min=1,max=64"`
	// KeyWindow is the time within which a caller may repeat a key.
	KeyWindow time.Duration `yaml:"keyWindow" unit:"duration" default:"24h" validate:"min=1m,max=2160h"`
	// LogRetention is the time for which the platform's log keeps records.
	LogRetention time.Duration `yaml:"logRetention" unit:"duration" default:"48h" validate:"min=1h,max=2160h"`
	// UnlistedDeadline is the deadline of a request that matches no kind.
	UnlistedDeadline time.Duration `yaml:"unlistedDeadline" unit:"duration" default:"2s" validate:"min=10ms,max=5m"`
}
