package udpbatch

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Writer sends batches of datagrams. One goroutine may use it.
type Writer struct {
	conn    *Conn
	headers []unix.Mmsghdr
	vectors []unix.Iovec
	names   []unix.RawSockaddrInet6
	n       int // datagrams added
	next    int // first that is not sent
	failed  int
	write   func(fd uintptr) bool
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

// Full reports whether the batch has no room.
func (w *Writer) Full() bool { return w.n == len(w.headers) }

// Add puts a datagram into the batch, which must not be full. The bytes must stay unchanged until Flush returns. It
// reports false when the socket cannot reach the address because of its family.
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

// Reset empties the batch without sending it and returns the number of datagrams.
func (w *Writer) Reset() (n int) {
	n, w.n = w.n, 0
	return n
}

// Flush sends the batch and returns the number of datagrams that the kernel refused. It does not wait for a full socket
// buffer: a datagram that finds no room is lost, as on a congested link.
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
			// The error belongs to the first datagram that was not sent; the others may still pass.
			w.failed++
			w.next++
		}
	}
	return true
}
