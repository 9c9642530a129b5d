package process

import "net/netip"

// AddrPort is a command-line option of the form address:port.
type AddrPort struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *AddrPort) UnmarshalFlag(text string) error { return a.UnmarshalText([]byte(text)) }

// Addr is a command-line option that holds an IP address.
type Addr struct{ netip.Addr }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *Addr) UnmarshalFlag(text string) error { return a.UnmarshalText([]byte(text)) }

// Prefix is a command-line option that holds an address prefix.
type Prefix struct{ netip.Prefix }

// UnmarshalFlag implements flags.Unmarshaler.
func (p *Prefix) UnmarshalFlag(text string) error { return p.UnmarshalText([]byte(text)) }
