package udpbatch

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Writer sends batches of datagrams. It is not safe for concurrent use.
type Writer struct {
	conn    *Conn
	headers []unix.Mmsghdr
	vectors []unix.Iovec
	names   []unix.RawSockaddrInet6
	n       int                   // datagrams in the batch
	next    int                   // index of the first datagram that is not sent yet
	failed  int                   // datagrams that the kernel refused
	write   func(fd uintptr) bool // stored, because creating a method value allocates memory
}

// NewWriter returns a writer for batches of up to count datagrams.
func NewWriter(c *Conn, count int) *Writer {
	w := &Writer{
		conn: c, headers: make([]unix.Mmsghdr, count), vectors: make([]unix.Iovec, count),
		names: make([]unix.RawSockaddrInet6, count),
	}
	for i := range w.headers {
		h := &w.headers[i].Hdr
		h.Iov = &w.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&w.names[i]))
	}
	w.write = w.send
	return w
}

// Full reports whether the batch has no space for another datagram.
func (w *Writer) Full() bool { return w.n == len(w.headers) }

// Add adds a datagram to the batch, which must not be full. The bytes must not change until Flush returns. It returns false if
// the address is invalid, or if it is an IPv6 address and the socket is an IPv4 socket.
func (w *Writer) Add(b []byte, to netip.AddrPort) bool {
	if !to.IsValid() || !w.conn.v6 && !to.Addr().Unmap().Is4() {
		return false
	}
	i := w.n
	w.n++
	w.vectors[i].Base = unsafe.SliceData(b)
	w.vectors[i].SetLen(len(b))
	name := &w.names[i]
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&name.Port))[:], to.Port())
	if w.conn.v6 {
		name.Family, name.Addr = unix.AF_INET6, to.Addr().As16()
		w.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet6
		return true
	}
	v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
	v4.Family, v4.Addr = unix.AF_INET, to.Addr().Unmap().As4()
	w.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet4
	return true
}

// Reset discards the batch without sending it and returns the number of discarded datagrams.
func (w *Writer) Reset() (n int) {
	n, w.n = w.n, 0
	return n
}

// Flush sends the batch and returns the number of datagrams that the kernel refused. It does not wait for space in the
// socket buffer: a datagram that does not fit is lost, as on a congested link.
func (w *Writer) Flush() (failed int) {
	if w.n == 0 {
		return 0
	}
	w.next, w.failed = 0, 0
	if err := w.conn.raw.Write(w.write); err != nil {
		w.failed = w.n - w.next
	}
	w.n = 0
	return w.failed
}

func (w *Writer) send(fd uintptr) bool {
	for w.next < w.n {
		n, _, errno := unix.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&w.headers[w.next])), uintptr(w.n-w.next),
			unix.MSG_DONTWAIT, 0, 0)
		switch errno {
		case 0:
			w.next += int(n)
		case syscall.EINTR:
		default:
			// The error is that of the first unsent datagram. The next ones may still be sent.
			w.failed++
			w.next++
		}
	}
	return true
}
