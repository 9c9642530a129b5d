// Package settings loads and validates the settings file of the daemon. Settings are fixed when a process starts; configuration
// that changes while it runs is in the bundle.
package settings

import (
	"net/netip"
	"time"
)

// Settings is the content of a settings file. Load and Parse return it validated and with defaults applied.
type Settings struct {
	Host   Host   `yaml:"host"`
	Listen Listen `yaml:"listen"`
	// Advertise holds the ports that other balancers use to reach this one, if they differ from the listening ports.
	Advertise Advertise `yaml:"advertise"`
	Fabric    Fabric    `yaml:"fabric"`
	Platform  Platform  `yaml:"platform"`
	Peers     Peers     `yaml:"peers"`
	Operator  Operator  `yaml:"operator"`
	Bundle    Bundle    `yaml:"bundle"`
	Limits    Limits    `yaml:"limits"`
	Traffic   Traffic   `yaml:"traffic"`
	Log       Log       `yaml:"log"`
}

// Host identifies the host of the process.
type Host struct {
	Name       string `yaml:"name" validate:"required,max=63,hostname_rfc1123" doc:"name of this host, unique in the fleet"`
	DataCentre string `yaml:"data_centre" validate:"required,max=63" doc:"data centre of this host"`
}

// Listen holds the address and the ports that the process listens on.
type Listen struct {
	Address      netip.Addr `yaml:"address" validate:"required" doc:"IP address of this host, without a port"`
	DataPort     uint16     `yaml:"data_port" validate:"min=1" default:"6081" doc:"UDP port of Geneve packets"`
	ProbePort    uint16     `yaml:"probe_port" validate:"min=1" default:"7081" doc:"UDP port of membership probes"`
	PeerPort     uint16     `yaml:"peer_port" validate:"min=1" default:"7082" doc:"TCP port of peer messages"`
	OperatorPort uint16     `yaml:"operator_port" validate:"min=1" default:"7083" doc:"TCP port of the operator interface, metrics and health"`
}

// Advertise holds the ports that other balancers use to reach this one, for example those of a port forwarder. A port of 0 means
// the listening port.
type Advertise struct {
	DataPort  uint16 `yaml:"data_port" doc:"UDP port of Geneve packets; 0 means listen.data_port"`
	ProbePort uint16 `yaml:"probe_port" doc:"UDP port of membership probes; 0 means listen.probe_port"`
	PeerPort  uint16 `yaml:"peer_port" doc:"TCP port of peer messages; 0 means listen.peer_port"`
}

// Fabric configures the network that delivers packets to callers.
type Fabric struct {
	Address netip.AddrPort `yaml:"address" validate:"required" doc:"Geneve address of the fabric, address:port"`
}

// Platform configures access to the platform, which serves the configuration and the host list.
type Platform struct {
	Address netip.AddrPort `yaml:"address" validate:"required" doc:"HTTP address of the platform, address:port"`
	Timeout time.Duration  `yaml:"timeout" validate:"min=10ms,max=1m" default:"2s" doc:"longest wait for an answer, beyond the wait that a watch asks for"`
}

// Peers configures the traffic between balancers.
type Peers struct {
	Seeds        []netip.AddrPort `yaml:"seeds" doc:"probe addresses of hosts to contact first, address:port"`
	Plain        bool             `yaml:"plain" doc:"true turns mutual TLS off; for tests and trusted networks only"`
	TLS          TLS              `yaml:"tls"`
	ProbeKeyFile string           `yaml:"probe_key_file" doc:"file with the key that authenticates probes; mode 0600; empty only with plain"`
}

// TLS holds the certificate files of a port. The process reloads them when they change.
type TLS struct {
	Certificate string   `yaml:"certificate" doc:"PEM file of the certificate chain"`
	Key         string   `yaml:"key" doc:"PEM file of the private key; mode 0600"`
	Authority   string   `yaml:"authority" doc:"PEM file of the authorities that sign peers' certificates"`
	Names       []string `yaml:"names" doc:"DNS names that a peer's certificate may carry; empty allows any name that the authorities signed"`
}

// Operator configures the operator port.
type Operator struct {
	TLS   TLS  `yaml:"tls"`
	Plain bool `yaml:"plain" doc:"true turns mutual TLS off on the operator port"`
}

// Bundle configures the keys whose bundles are trusted.
type Bundle struct {
	Keys []BundleKey `yaml:"keys" validate:"min=1,dive" doc:"public keys that may sign bundles"`
}

// BundleKey is a public key with its validity period.
type BundleKey struct {
	ID        string    `yaml:"id" validate:"required" doc:"name of the key, as in the signed bundle"`
	Public    string    `yaml:"public" validate:"required,base64" doc:"Ed25519 public key, base64"`
	NotBefore time.Time `yaml:"not_before" doc:"start of validity, RFC 3339; empty means always"`
	NotAfter  time.Time `yaml:"not_after" doc:"end of validity, RFC 3339; empty means never"`
}

// Limits configures resource and time limits of the process.
type Limits struct {
	Flows            int           `yaml:"flows" validate:"min=1024,max=16777216" default:"600000" doc:"capacity of the flow table, flows"`
	ShutdownDeadline time.Duration `yaml:"shutdown_deadline" validate:"min=1s,max=10m" default:"30s" doc:"longest graceful shutdown"`
}

// Traffic configures the packet forwarding path.
type Traffic struct {
	Workers int `yaml:"workers" validate:"min=1,max=64" default:"2" doc:"traffic goroutines, each with its own socket"`
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error" default:"info" doc:"lowest level that is logged"`
}
