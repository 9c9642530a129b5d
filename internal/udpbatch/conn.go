// Package udpbatch receives and sends UDP datagrams in batches, with one system call and no allocation for each batch.
package udpbatch

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/zeebo/errs"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Error is the class of errors of this package.
var Error = errs.Class("udpbatch")

// socketBufferBytes is the requested size of the socket buffers, which hold the packets that arrive while a worker is not
// scheduled: 4 MiB are 20 ms of 1,000,000 small packets per second. The kernel may grant less.
const socketBufferBytes = 4 << 20

// Conn is a UDP socket. Several goroutines may use it, each with its own Reader or Writer.
type Conn struct {
	udp *net.UDPConn
	raw syscall.RawConn
	v6  bool
}

// Listen opens a socket that can share its address with other sockets of the process (SO_REUSEPORT). The kernel distributes
// datagrams among them by a hash of addresses and ports.
func Listen(address netip.AddrPort) (*Conn, error) {
	network := "udp6"
	if address.Addr().Is4() {
		network = "udp4"
	}
	config := net.ListenConfig{Control: setOptions}
	pc, err := config.ListenPacket(context.Background(), network, address.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	udp := pc.(*net.UDPConn)
	raw, err := udp.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(errs.Combine(err, udp.Close()))
	}
	return &Conn{udp: udp, raw: raw, v6: network == "udp6"}, nil
}

func setOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		// Errors are ignored: with a smaller buffer the socket loses packets under load but still works.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
	})
	return errs.Combine(err, optionErr)
}

// SetReusePortFilter attaches a classic BPF program that selects which of the sockets that share an address gets a datagram
// (SO_ATTACH_REUSEPORT_CBPF). The program reads the payload of the datagram and returns the index of a socket, in the order in
// which the sockets were opened. Attaching it to one of them is enough.
func (c *Conn) SetReusePortFilter(filter []bpf.RawInstruction) error {
	code := make([]unix.SockFilter, len(filter))
	for i, f := range filter {
		code[i] = unix.SockFilter{Code: f.Op, Jt: f.Jt, Jf: f.Jf, K: f.K}
	}
	program := &unix.SockFprog{Len: uint16(len(code)), Filter: unsafe.SliceData(code)}
	var optionErr error
	err := c.raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, program)
	})
	return Error.Wrap(errs.Combine(err, optionErr))
}

// LocalAddr returns the address of the socket.
func (c *Conn) LocalAddr() netip.AddrPort { return c.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket. Blocked reads and writes return an error.
func (c *Conn) Close() error { return Error.Wrap(c.udp.Close()) }
