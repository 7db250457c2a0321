package setup

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/strict"
	"briarworks.example/briarworks/pkg/ident"
)

// MaxText is the largest settings file.
const MaxText ident.Bytes = 64 << 10

// Settings are the settings of one node.
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

// Listen holds the addresses on which a node listens.
type Listen struct {
	Callers  ident.Address `yaml:"callers" unit:"IP number and port" validate:"address"`
	Local    ident.Address `yaml:"local" unit:"IP number and port" validate:"address"`
	Peers    ident.Address `yaml:"peers" unit:"IP number and port" validate:"address"`
	Operator ident.Address `yaml:"operator" unit:"IP number and port" validate:"address"`
}

// Log tells where the platform's log is.
type Log struct {
	Address   ident.Address `yaml:"address" unit:"IP number and port" validate:"address"`
	Retention time.Duration `yaml:"retention" unit:"duration" default:"48h" validate:"min=1h,max=2160h"`
}

// Problems is every fault of a settings file; errors of Decode wrap it.
type Problems = strict.Problems

// Decode reads and checks the settings. The error wraps Problems, which lists every fault that was
// found; file is used only to name the place.
func Decode(file string, text []byte) (s *Settings, err error) {
	defer func() {
		if err != nil {
			s, err = nil, oops.In("setup").Wrapf(err, "setup")
		}
	}()
	s = new(Settings)
	source := strict.Read(file, text, int(MaxText), s)
	source.Validate(s)
	check(s, source)
	return s, source.Err()
}

// check reports addresses that cannot be used together.
func check(s *Settings, source *strict.Source) {
	if !source.Faulty("listen.local") && !loopback(s.Listen.Local) {
		source.Add("listen.local", "must be on loopback, as in 127.0.0.1:7002; the server beside the node calls it")
	}
	// Other nodes are told the address of the peers' port, so it has to be one that they can call.
	if !source.Faulty("listen.peers") && unspecified(s.Listen.Peers) {
		source.Add("listen.peers", "must be an address that other nodes can call, not 0.0.0.0 or [::]")
	}
	used := make(map[ident.Address]string)
	own := []struct {
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
	for _, o := range own {
		once(source, used, o.field, o.address)
	}
	for i, seed := range s.Seeds {
		once(source, used, fmt.Sprintf("seeds[%d]", i), seed)
	}
}

func once(source *strict.Source, used map[ident.Address]string, field string, address ident.Address) {
	if source.Faulty(field) {
		return
	}
	if other, ok := used[address]; ok {
		source.Add(field, "%s is already used by %s", address, other)
		return
	}
	used[address] = field
}

func loopback(a ident.Address) bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Addr().Unmap().IsLoopback()
}

func unspecified(a ident.Address) bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Addr().Unmap().IsUnspecified()
}
