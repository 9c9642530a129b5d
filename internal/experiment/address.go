// Package experiment deploys the load balancer on loopback addresses, together with stand-ins that simulate its callers,
// targets, fabric and platform, and runs measured experiments on the deployment.
package experiment

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// Offsets of ports from the base port of a deployment. Every process has its own address, so processes of one kind
// use the same port.
const (
	portData uint16 = iota
	portProbe
	portPeer
	portOperator
	portPlatform
	portControl
	portHealth
	portLock
	portProxyData
	portProxyProbe
	portProxyPeer
	portCount
)

// Range of the base ports, below the ports that kernels use for outgoing connections. lastBasePort is excluded.
const (
	firstBasePort = 21000
	lastBasePort  = 31000
)

// ports holds the base port of a deployment. An open listener reserves it until release.
type ports struct {
	base uint16
	lock net.Listener
}

// reservePorts finds a base port that no other deployment on this machine uses.
func reservePorts() (*ports, error) {
	for base := uint16(firstBasePort); base < lastBasePort; base += portCount {
		lock, err := net.Listen("tcp", netip.AddrPortFrom(fabricAddress, base+portLock).String())
		if err == nil {
			return &ports{base: base, lock: lock}, nil
		}
	}
	return nil, errors.New("no free base port")
}

func (p *ports) release() { _ = p.lock.Close() }

func (p *ports) at(address netip.Addr, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(address, p.base+offset)
}

// Addresses of a deployment.
var (
	callerAddress   = netip.MustParseAddr("127.30.0.1")
	platformAddress = netip.MustParseAddr("127.40.0.1")
	fabricAddress   = netip.MustParseAddr("127.50.0.1")
	targetsAddress  = netip.MustParseAddr("127.20.0.1") // control port of the target process
)

// balancerAddress returns the address of a balancer, counted from 1.
func balancerAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 10, 0, byte(i)}) }

// targetAddress returns the address of a target of a service, both counted from 1.
func targetAddress(service, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 20, byte(service), byte(i)})
}

// endpoints returns the IPv4 and IPv6 endpoint of a service, counted from 1.
func endpoints(service int) (ipv4, ipv6 netip.AddrPort) {
	const port = 4000
	ipv4 = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(10 * service)}), port)
	ipv6 = netip.MustParseAddrPort(fmt.Sprintf("[2001:db8::%d]:%d", service, port))
	return ipv4, ipv6
}

// Endpoint returns the IPv4 or IPv6 endpoint of a service, counted from 1.
func Endpoint(service int, ipv6 bool) netip.AddrPort {
	v4, v6 := endpoints(service)
	if ipv6 {
		return v6
	}
	return v4
}

// TargetAddress returns the address of a target of a service, both counted from 1.
func TargetAddress(service, i int) netip.Addr { return targetAddress(service, i) }
