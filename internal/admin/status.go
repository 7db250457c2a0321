package admin

import "time"

// Status is the state of a node and its view of the fleet.
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
	LogLag        int64          `json:"logLag"` // records not yet read
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
	Fraction float64 `json:"fraction"` // admitted by this server and, as far as known, by its downstream servers
}

// MemberStatus is the state of one server of the fleet in the view of this node.
type MemberStatus struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	State      string `json:"state"` // inService, starting, leaving, putAside
}

// RefusalRate is the rate at which this node refused calls of one kind for one reason in the last period.
type RefusalRate struct {
	Kind      string  `json:"kind"`
	Reason    string  `json:"reason"`
	PerSecond float64 `json:"perSecond"`
}

// InForce reports how far the accepted configuration is rolled out.
type InForce struct {
	Accepted uint64   `json:"accepted"`         // version accepted by the log
	Nodes    int      `json:"nodes"`            // members that have not left
	Current  int      `json:"current"`          // nodes that have the accepted version in force
	Behind   []string `json:"behind,omitempty"` // nodes that have an older version in force
	Silent   []string `json:"silent,omitempty"` // nodes that could not be queried
}
