package bench

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// The phases of every case, from the start of the run.
const (
	calmDuration     = 2 * time.Second
	faultDuration    = 5 * time.Second
	recoveryDuration = 6 * time.Second
	bucketInterval   = 100 * time.Millisecond // resolution of the goodput over time
)

// floodFactor is the flood's rate as a multiple of the fleet's capacity for the kind.
const floodFactor = 10

// scenario describes the fault that is injected between the calm and the recovery phase.
type scenario struct {
	name      string
	surge     float64       // factor on all arrivals; 0 counts as 1
	flood     ident.Kind    // kind that floods, empty for none
	slow      ident.Service // service whose servers are slower
	slowdown  float64       // factor on the slow service's own time
	repeats   int           // times that a caller repeats a refused or late request at once
	logDown   bool          // the platform's log is down
	broken    ident.Service // service with one server that fails most answers
	allBroken bool          // all servers of that service are broken
	failLate  bool          // broken servers fail at the end of their service time
	shed      ident.Service // service whose servers shed above part of their slots
	cold      ident.Service // service of which one server is replaced by a cold one
	fragile   bool          // a cold server fails calls beyond its fast slots
}

// Parameters of faulty, shedding and cold servers.
const (
	brokenShare    = 0.8              // share of answers that a broken server fails
	brokenLatency  = time.Millisecond // time after which it fails one
	shedAbove      = 0.6              // share of the slots above which a shedding server sheds
	warmUpDuration = 3 * time.Second  // time until a cold server works at full speed
	coldFastShare  = 0.125            // part of its slots on which a cold server is as fast as a warm one
)

func scenarios(d *deployment) []scenario {
	return []scenario{
		{name: "calm"},
		{name: "slowDeep", slow: d.slowService, slowdown: 5},
		{name: "surge3", surge: 3},
		{name: "surge10", surge: 10},
		{name: "retryHard", surge: 3, repeats: 5},
		{name: "floodLeast", flood: d.least},
		{name: "floodMost", flood: d.most},
		{name: "slowAndSurge", slow: d.slowService, slowdown: 5, surge: 3},
		{name: "logOut", logDown: true},
		{name: "brokenServer", broken: d.services[1].name},
		{name: "brokenService", broken: d.slowService, allBroken: true},
		{name: "breaksLate", broken: d.slowService, allBroken: true, failLate: true},
		{name: "shedding", surge: 3, shed: d.services[0].name},
		{name: "coldServer", surge: 1.5, cold: d.services[0].name},
		{name: "coldBreaks", surge: 1.5, cold: d.services[0].name, fragile: true},
	}
}

func (s *scenario) surgeFactor() float64 {
	if s.surge == 0 {
		return 1
	}
	return s.surge
}

func (s *scenario) slowFactor(name ident.Service) float64 {
	if s.slow == name && s.slowdown > 0 {
		return s.slowdown
	}
	return 1
}
