package udpbatch

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/net/bpf"
)

func pair(t testing.TB, address string) (a, b *Conn) {
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

// Guards against datagrams, senders or lengths that are mixed up within a batch, in both families.
func TestBatch(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			a, b := pair(t, address)
			w, r := NewWriter(a, 8), NewReader(b, 4, 16, 5)
			payloads := [][]byte{[]byte("one"), []byte("three"), {}, []byte("exactly 16 bytes"), []byte("more than 16 bytes")}
			for _, p := range payloads {
				if !w.Add(p, b.LocalAddr()) {
					t.Fatal("not added")
				}
			}
			if w.Add([]byte("x"), netip.AddrPort{}) {
				t.Fatal("a datagram without an address was added")
			}
			if failed := w.Flush(); failed != 0 {
				t.Fatalf("%d failed", failed)
			}
			for got := 0; got < len(payloads); {
				n, err := r.Read()
				if err != nil {
					t.Fatal(err)
				}
				for i := range n {
					buffer, start, end := r.Buffer(i)
					want := payloads[got]
					cut := len(want) > 16
					if start != 5 || !bytes.Equal(buffer[start:end], want[:min(len(want), 16)]) || r.Truncated(i) != cut || r.Source(i) != a.LocalAddr() {
						t.Fatalf("datagram %d is %q from %v, truncated %v", got, buffer[start:end], r.Source(i), r.Truncated(i))
					}
					got++
				}
			}
		})
	}
}

// Guards against allocations for each batch, which would cost time in the garbage collector.
func TestNoAllocation(t *testing.T) {
	a, b := pair(t, "127.0.0.1:0")
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
		t.Errorf("%v allocations for a batch", n)
	}
}

// Guards against a reader that stays blocked when its socket closes, which would hang a shutdown.
func TestCloseUnblocks(t *testing.T) {
	a, _ := pair(t, "127.0.0.1:0")
	done := make(chan error)
	go func() {
		_, err := NewReader(a, 1, 16, 0).Read()
		done <- err
	}()
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err == nil {
		t.Error("no error")
	}
}

// Guards against a filter that sees another part of the datagram than its payload, or selects another socket.
func TestSpread(t *testing.T) {
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
	from, _ := pair(t, "127.0.0.1:0")
	w := NewWriter(from, 3)
	for i := range byte(3) {
		w.Add([]byte{2 - i}, first.LocalAddr())
	}
	w.Flush()
	for i, c := range conns {
		_ = c.udp.SetReadDeadline(time.Now().Add(5 * time.Second))
		r := NewReader(c, 3, 16, 0)
		if n, err := r.Read(); n != 1 || err != nil || r.buffers[0][0] != byte(i) {
			t.Errorf("socket %d got %d datagrams, the first with %d: %v", i, n, r.buffers[0][0], err)
		}
		_ = c.Close()
	}
}
