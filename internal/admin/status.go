package admin

import "time"

// Status is what a node tells of itself and of the fleet that it knows.
type Status struct {
	Server        string         `json:"server"`
	Service       string         `json:"service"`
	DataCentre    string         `json:"dataCentre"`
	Incarnation   uint64         `json:"incarnation"`
	State         string         `json:"state"` // starting, inService, leaving
	ConfigVersion uint64         `json:"configVersion"`
	ConfigAuthor  string         `json:"configAuthor,omitempty"`
	ConfigFault   string         `json:"configFault,omitempty"`
	LogDown       bool           `json:"logDown"`
	LogLag        int64          `json:"logLag"` // records not read yet
	Limit         int            `json:"limit"`
	Inflight      int            `json:"inflight"`
	Queued        int            `json:"queued"`
	Connections   int            `json:"connections"` // to peers
	Kinds         []KindStatus   `json:"kinds"`
	Members       []MemberStatus `json:"members"`
	Refusals      []RefusalRate  `json:"refusals"`
	At            time.Time      `json:"at"`
}

// KindStatus is the admission level of one kind of work.
type KindStatus struct {
	Kind     string  `json:"kind"`
	Rank     int     `json:"rank"`
	Fraction float64 `json:"fraction"` // admitted by this server and by what it knows of those below
}

// MemberStatus is one server of the fleet as this node sees it.
type MemberStatus struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	State      string `json:"state"` // inService, starting, leaving, putAside
}

// RefusalRate is the refusals told to callers by this node in the last period.
type RefusalRate struct {
	Kind      string  `json:"kind"`
	Reason    string  `json:"reason"`
	PerSecond float64 `json:"perSecond"`
}

// InForce tells how far the accepted configuration has come.
type InForce struct {
	Accepted uint64   `json:"accepted"` // version
	Nodes    int      `json:"nodes"`    // members that have not left
	Current  int      `json:"current"`  // nodes that have the accepted version in force
	Behind   []string `json:"behind,omitempty"`
	Silent   []string `json:"silent,omitempty"` // could not be asked
}
