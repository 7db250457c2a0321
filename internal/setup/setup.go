package setup

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/strict"
	"briarworks.example/briarworks/pkg/ident"
)

// MaxFileSize is the maximum size of a settings file.
const MaxFileSize ident.Bytes = 64 << 10

// Settings is the settings file of a node that uses the platform's log.
type Settings struct {
	Server      ident.Server     `yaml:"server" validate:"name"`
	Service     ident.Service    `yaml:"service" validate:"name"`
	DataCentre  ident.DataCentre `yaml:"dataCentre" validate:"name"`
	Listen      Listen           `yaml:"listen"`
	Backend     ident.Address    `yaml:"backend" unit:"IP number and port" validate:"address"`
	Log         Log              `yaml:"log"`
	Seeds       []ident.Address  `yaml:"seeds,omitempty" unit:"IP numbers and ports" validate:"max=16,dive,address"`
	StopTimeout time.Duration    `yaml:"stopTimeout" unit:"duration" default:"30s" validate:"min=1s,max=10m"`
}

// Listen holds the listen addresses of a node.
type Listen struct {
	Callers  ident.Address `yaml:"callers" unit:"IP number and port" validate:"address"`
	Local    ident.Address `yaml:"local" unit:"IP number and port" validate:"address"`
	Peers    ident.Address `yaml:"peers" unit:"IP number and port" validate:"address"`
	Operator ident.Address `yaml:"operator" unit:"IP number and port" validate:"address"`
}

// Log holds the address of the platform's log and how long it retains records.
type Log struct {
	Address   ident.Address `yaml:"address" unit:"IP number and port" validate:"address"`
	Retention time.Duration `yaml:"retention" unit:"duration" default:"48h" validate:"min=1h,max=2160h"`
}

// Problems lists every problem of a settings file. The errors of Decode and DecodeSidecar wrap it.
type Problems = strict.Problems

// Decode decodes and validates the settings of a node. The error wraps Problems with every problem found;
// file appears only in their positions.
func Decode(file string, text []byte) (s *Settings, err error) {
	defer func() {
		if err != nil {
			s, err = nil, oops.In("setup").Wrapf(err, "setup")
		}
	}()
	s = new(Settings)
	source := strict.Decode(file, text, int(MaxFileSize), s)
	source.Validate(s)
	checkAddresses(s, source)
	return s, source.Err()
}

// checkAddresses reports addresses that have the wrong scope or are used twice.
func checkAddresses(s *Settings, source *strict.Source) {
	if !source.HasProblem("listen.local") && !isLoopback(s.Listen.Local) {
		source.AddProblem("listen.local", "must be on loopback, as in 127.0.0.1:7002; the backend server on the same host connects to it")
	}
	// The peer address is advertised to other nodes, so they have to be able to connect to it.
	if !source.HasProblem("listen.peers") && isUnspecified(s.Listen.Peers) {
		source.AddProblem("listen.peers", "must be an address that other nodes can call, not 0.0.0.0 or [::]")
	}
	used := make(map[ident.Address]string)
	addresses := []struct {
		field   string
		address ident.Address
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.local", s.Listen.Local},
		{"listen.peers", s.Listen.Peers},
		{"listen.operator", s.Listen.Operator},
		{"backend", s.Backend},
		{"log.address", s.Log.Address},
	}
	for _, a := range addresses {
		checkUnique(source, used, a.field, a.address)
	}
	for i, seed := range s.Seeds {
		checkUnique(source, used, fmt.Sprintf("seeds[%d]", i), seed)
	}
}

// checkUnique adds address to used, which maps addresses to fields, or reports that another field has it.
func checkUnique(source *strict.Source, used map[ident.Address]string, field string, address ident.Address) {
	if source.HasProblem(field) {
		return
	}
	if other, ok := used[address]; ok {
		source.AddProblem(field, "%s is already used by %s", address, other)
		return
	}
	used[address] = field
}

func isLoopback(a ident.Address) bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Addr().Unmap().IsLoopback()
}

func isUnspecified(a ident.Address) bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Addr().Unmap().IsUnspecified()
}
