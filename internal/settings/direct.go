package settings

import (
	"net/netip"
	"time"
)

// Direct is the content of a settings file of a balancer whose targets answer callers directly (direct server return).
// LoadDirect and ParseDirect return it validated and with defaults applied.
type Direct struct {
	Host     DirectHost     `yaml:"host"`
	Listen   DirectListen   `yaml:"listen"`
	Peers    DirectPeers    `yaml:"peers"`
	Platform DirectPlatform `yaml:"platform"`
	Shutdown DirectShutdown `yaml:"shutdown"`
	Cold     DirectCold     `yaml:"cold"`
	Log      Log            `yaml:"log"`
}

// DirectHost identifies the host of the process.
type DirectHost struct {
	Name       string  `yaml:"name" validate:"required,max=63,hostname_rfc1123" doc:"name of this host, unique in the fleet"`
	DataCentre string  `yaml:"data_centre" validate:"required,max=63" doc:"data centre of this host"`
	Weight     float64 `yaml:"weight" validate:"gt=0" default:"1" doc:"relative speed of this host; the heaviest one of a data centre reads the platform for the others"`
}

// DirectListen holds the addresses that the process listens on.
type DirectListen struct {
	Packets   netip.AddrPort `yaml:"packets" validate:"required" doc:"UDP address of callers' packets, address:port"`
	Readiness netip.AddrPort `yaml:"readiness" validate:"required" doc:"TCP address of the readiness check, address:port"`
	Peers     netip.AddrPort `yaml:"peers" validate:"required" doc:"TCP address of other balancers' reads, address:port"`
	Metrics   netip.AddrPort `yaml:"metrics" validate:"required" doc:"TCP address of the operator interface and metrics, address:port"`
}

// DirectPeers configures the connections to other balancers.
type DirectPeers struct {
	Seeds []netip.AddrPort `yaml:"seeds" doc:"peer addresses of hosts to contact first, address:port"`
	// Advertise is the peer address that other balancers use to reach this one, for example that of a port forwarder.
	Advertise netip.AddrPort `yaml:"advertise" doc:"peer address under which others reach this host, address:port; empty means listen.peers"`
}

// PeerAddress returns the peer address that other balancers use: the advertised one, or else the listening address.
func (s *Direct) PeerAddress() netip.AddrPort {
	if s.Peers.Advertise.IsValid() {
		return s.Peers.Advertise
	}
	return s.Listen.Peers
}

// DirectPlatform configures access to the store of the users' platform.
type DirectPlatform struct {
	Address    netip.AddrPort `yaml:"address" validate:"required" doc:"HTTP address of the platform's store, address:port"`
	Timeout    time.Duration  `yaml:"timeout" validate:"min=10ms,max=1m" default:"1s" doc:"longest wait for an answer, beyond the wait that a watch asks for"`
	Forwarding string         `yaml:"forwarding" doc:"form of the packets, in the platform's words; the adapter refuses to start with one that it does not speak; empty means the one it speaks"`
}

// DirectShutdown limits the time of a graceful shutdown.
type DirectShutdown struct {
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=10m" default:"6s" doc:"time between the request to stop and the end of the process by force"`
}

// DirectCold limits the opening packets to a target that is still slow after its start, in services whose configuration says how many
// requests per second such a target can handle. All hosts of a deployment need the same values.
type DirectCold struct {
	Overshoot float64 `yaml:"overshoot" validate:"min=0,max=1000" default:"1.5" doc:"opening packets that a cold target may receive in any second, as a multiple of what it can handle"`
	Slack     float64 `yaml:"slack" validate:"min=0,max=1000000" default:"5" doc:"opening packets that a cold target may receive in any second in addition"`
}

// LoadDirect reads, decodes and validates the settings file at path, and applies defaults. The error is a *resultcode.Error.
func LoadDirect(path string) (*Direct, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseDirect(data)
}

// ParseDirect decodes and validates settings and applies defaults. The error is a *resultcode.Error.
func ParseDirect(data []byte) (*Direct, error) {
	s := &Direct{}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, nil
}
