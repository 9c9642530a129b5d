package udpbatch

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Reader receives batches of datagrams. It is not safe for concurrent use.
type Reader struct {
	conn     *Conn
	headers  []unix.Mmsghdr
	vectors  []unix.Iovec
	names    []unix.RawSockaddrInet6 // large enough for IPv4 and IPv6 addresses
	buffers  [][]byte
	headroom int
	n        int                   // datagrams of the last batch
	errno    syscall.Errno         // of the last system call
	read     func(fd uintptr) bool // stored, because creating a method value allocates memory
}

// NewReader returns a reader for batches of up to count datagrams of up to size bytes. Every buffer has headroom bytes
// of free space in front of the datagram.
func NewReader(c *Conn, count, size, headroom int) *Reader {
	r := &Reader{
		conn: c, headroom: headroom, headers: make([]unix.Mmsghdr, count), vectors: make([]unix.Iovec, count),
		names: make([]unix.RawSockaddrInet6, count), buffers: make([][]byte, count),
	}
	for i := range r.headers {
		r.buffers[i] = make([]byte, headroom+size)
		r.vectors[i].Base = &r.buffers[i][headroom]
		r.vectors[i].SetLen(size)
		h := &r.headers[i].Hdr
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	}
	r.read = r.receive
	return r
}

// Read waits until datagrams are available and receives up to a batch of them. It returns their number, which is 0 after a
// temporary shortage of kernel memory.
func (r *Reader) Read() (int, error) {
	for i := range r.headers {
		r.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet6
	}
	r.n = 0
	if err := r.conn.raw.Read(r.read); err != nil {
		return 0, Error.Wrap(err)
	}
	if r.errno != 0 {
		return 0, Error.Wrap(r.errno)
	}
	return r.n, nil
}

func (r *Reader) receive(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), uintptr(len(r.headers)),
		unix.MSG_DONTWAIT, 0, 0)
	switch errno {
	case 0:
		r.n, r.errno = int(n), 0
		return true
	case unix.EAGAIN, unix.EINTR:
		return false
	case unix.ENOBUFS, unix.ENOMEM: // temporary shortage of kernel memory; the caller retries
		r.n, r.errno = 0, 0
		return true
	}
	r.n, r.errno = 0, errno
	return true
}

// Buffer returns the whole buffer of datagram i, including its headroom, and the indices at which the datagram starts and ends.
func (r *Reader) Buffer(i int) (b []byte, start, end int) {
	return r.buffers[i], r.headroom, r.headroom + int(r.headers[i].Len)
}

// Truncated reports whether datagram i was longer than the buffer.
func (r *Reader) Truncated(i int) bool { return r.headers[i].Hdr.Flags&unix.MSG_TRUNC != 0 }

// Source returns the address of the sender of datagram i.
func (r *Reader) Source(i int) netip.AddrPort {
	name := &r.names[i]
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&name.Port))[:])
	if name.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), port)
}
