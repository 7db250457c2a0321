package setup

import (
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/strict"
	"briarworks.example/briarworks/pkg/ident"
)

// Sidecar is the settings file of a sidecar node, which reads its members and its configuration from the
// platform's store.
type Sidecar struct {
	Server      ident.Server     `yaml:"server" validate:"name"`
	Service     ident.Service    `yaml:"service" validate:"name"`
	DataCentre  ident.DataCentre `yaml:"dataCentre" validate:"name"`
	Listen      SidecarListen    `yaml:"listen"`
	Advertise   ident.Address    `yaml:"advertise,omitempty" unit:"IP number and port" validate:"omitempty,address"`
	Backend     ident.Address    `yaml:"backend" unit:"IP number and port" validate:"address"`
	Store       ident.Address    `yaml:"store" unit:"IP number and port" validate:"address"`
	Seeds       []ident.Address  `yaml:"seeds,omitempty" unit:"IP numbers and ports" validate:"max=16,dive,address"`
	Retries     Retries          `yaml:"retries"`
	StopTimeout time.Duration    `yaml:"stopTimeout" unit:"duration" default:"6s" validate:"min=1s,max=10m"`
	Memory      int              `yaml:"memory" unit:"MB" default:"256" validate:"min=32,max=65536"`
}

// PeerAddress returns the address at which other nodes connect to this one.
func (s *Sidecar) PeerAddress() ident.Address {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Listen.Peers
}

// SidecarListen holds the listen addresses of a sidecar node.
type SidecarListen struct {
	Callers  ident.Address `yaml:"callers" unit:"IP number and port" validate:"address"`
	Ready    ident.Address `yaml:"ready" unit:"IP number and port" validate:"address"`
	Beats    ident.Address `yaml:"beats" unit:"IP number and port" validate:"address"`
	Peers    ident.Address `yaml:"peers" unit:"IP number and port" validate:"address"`
	Operator ident.Address `yaml:"operator" unit:"IP number and port" validate:"address"`
}

// Retries bounds the retries of all nodes together at one service.
type Retries struct {
	Ratio  float64       `yaml:"ratio" unit:"repeats per request" default:"0.2" validate:"min=0,max=1"`
	Window time.Duration `yaml:"window" unit:"duration" default:"10s" validate:"min=1s,max=10m"`
	Slack  float64       `yaml:"slack" unit:"repeats per window" default:"50" validate:"min=0,max=100000"`
}

// DecodeSidecar decodes and validates the settings of a sidecar node. The error wraps Problems with every
// problem found; file appears only in their positions.
func DecodeSidecar(file string, text []byte) (s *Sidecar, err error) {
	defer func() {
		if err != nil {
			s, err = nil, oops.In("setup").Wrapf(err, "setup")
		}
	}()
	s = new(Sidecar)
	source := strict.Decode(file, text, int(MaxFileSize), s)
	source.Validate(s)
	used := make(map[ident.Address]string)
	listen := s.Listen
	for _, a := range []struct {
		field   string
		address ident.Address
	}{
		{"listen.callers", listen.Callers},
		{"listen.ready", listen.Ready},
		{"listen.beats", listen.Beats},
		{"listen.peers", listen.Peers},
		{"listen.operator", listen.Operator},
		{"backend", s.Backend},
		{"store", s.Store},
	} {
		checkUnique(source, used, a.field, a.address)
	}
	field := "listen.peers"
	if s.Advertise != "" {
		field = "advertise"
	}
	if !source.HasProblem(field) && isUnspecified(s.PeerAddress()) {
		source.AddProblem(field, "must be an address that other nodes can call, not 0.0.0.0 or [::]")
	}
	return s, source.Err()
}
