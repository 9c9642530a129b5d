package udpbatch

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/net/bpf"
)

// listenPair returns two sockets that are closed when the test ends.
func listenPair(t testing.TB, address string) (a, b *Conn) {
	for _, c := range []**Conn{&a, &b} {
		conn, err := Listen(netip.MustParseAddrPort(address))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		*c = conn
	}
	return a, b
}

// Guards against payloads, senders or lengths that are assigned to the wrong datagram of a batch, with IPv4 and IPv6.
func TestBatch(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			a, b := listenPair(t, address)
			w, r := NewWriter(a, 8), NewReader(b, 4, 16, 5)
			payloads := [][]byte{[]byte("one"), []byte("three"), {}, []byte("exactly 16 bytes"), []byte("more than 16 bytes")}
			for _, p := range payloads {
				if !w.Add(p, b.LocalAddr()) {
					t.Fatal("Add refused a valid datagram")
				}
			}
			if w.Add([]byte("x"), netip.AddrPort{}) {
				t.Fatal("Add accepted a datagram without an address")
			}
			if failed := w.Flush(); failed != 0 {
				t.Fatalf("Flush reports %d failed datagrams, want 0", failed)
			}
			for got := 0; got < len(payloads); {
				n, err := r.Read()
				if err != nil {
					t.Fatal(err)
				}
				for i := range n {
					buffer, start, end := r.Buffer(i)
					want := payloads[got]
					truncated := len(want) > 16
					if start != 5 || !bytes.Equal(buffer[start:end], want[:min(len(want), 16)]) || r.Truncated(i) != truncated || r.Source(i) != a.LocalAddr() {
						t.Fatalf("datagram %d is %q from %v, truncated %v", got, buffer[start:end], r.Source(i), r.Truncated(i))
					}
					got++
				}
			}
		})
	}
}

// Guards against memory allocations for each batch, which would cost time in the garbage collector.
func TestNoAllocation(t *testing.T) {
	a, b := listenPair(t, "127.0.0.1:0")
	w, r := NewWriter(a, 8), NewReader(b, 8, 64, 0)
	to, payload := b.LocalAddr(), make([]byte, 32)
	if n := testing.AllocsPerRun(100, func() {
		for range 8 {
			w.Add(payload, to)
		}
		w.Flush()
		for got := 0; got < 8; {
			n, err := r.Read()
			if err != nil {
				t.Fatal(err)
			}
			got += n
		}
	}); n != 0 {
		t.Errorf("%v allocations per batch, want 0", n)
	}
}

// Guards against a reader that stays blocked when its socket is closed, which would block the shutdown.
func TestCloseUnblocks(t *testing.T) {
	a, _ := listenPair(t, "127.0.0.1:0")
	done := make(chan error)
	go func() {
		_, err := NewReader(a, 1, 16, 0).Read()
		done <- err
	}()
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err == nil {
		t.Error("Read of a closed socket returned no error")
	}
}

// Guards against a filter program that reads other data than the payload of the datagram, or that selects the wrong socket.
func TestReusePortFilter(t *testing.T) {
	first, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	conns := []*Conn{first}
	for range 2 {
		c, err := Listen(first.LocalAddr())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	filter, _ := bpf.Assemble([]bpf.Instruction{bpf.LoadAbsolute{Off: 0, Size: 1}, bpf.RetA{}})
	if err := first.SetReusePortFilter(filter); err != nil {
		t.Fatal(err)
	}
	sender, _ := listenPair(t, "127.0.0.1:0")
	w := NewWriter(sender, 3)
	for i := range byte(3) {
		w.Add([]byte{2 - i}, first.LocalAddr())
	}
	w.Flush()
	for i, c := range conns {
		_ = c.udp.SetReadDeadline(time.Now().Add(5 * time.Second))
		r := NewReader(c, 3, 16, 0)
		if n, err := r.Read(); n != 1 || err != nil || r.buffers[0][0] != byte(i) {
			t.Errorf("socket %d got %d datagrams, the first with payload %d, error %v; want one datagram with its index", i, n, r.buffers[0][0], err)
		}
		_ = c.Close()
	}
}
