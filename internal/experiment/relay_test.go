package experiment

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// relay takes the place of the daemon in tests of this package. It forwards by flow hash over the targets of the bundle
// that it reads at its start, and answers on the operator port.
type relay struct {
	settings *settings.Settings
	bundle   *bundle.Bundle
	conn     *net.UDPConn
}

// relayMain is the main function of the relay process.
func relayMain() int {
	// The handler stays until the process has ended: a second SIGTERM is sent meanwhile, and the race detector delays the
	// end by a second.
	terminated := make(chan os.Signal, 2)
	signal.Notify(terminated, syscall.SIGTERM)
	r := &relay{}
	var err error
	if r.settings, err = settings.Load(os.Args[len(os.Args)-1]); err != nil {
		panic(err)
	}
	l := &r.settings.Listen
	r.readBundle()
	if r.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(l.Address, l.DataPort))); err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		var s Status
		s.Host, s.Ready, s.Bundle.InForce = r.settings.Host.Name, true, r.bundle.Version
		_ = json.NewEncoder(w).Encode(s)
	})
	go func() { _ = http.ListenAndServe(netip.AddrPortFrom(l.Address, l.OperatorPort).String(), mux) }()
	go r.run()
	<-terminated
	return 0
}

func (r *relay) readBundle() {
	answer, err := http.Get("http://" + r.settings.Platform.Address.String() + "/v1/config/bundle")
	if err != nil {
		panic(err)
	}
	defer answer.Body.Close()
	b, _ := io.ReadAll(answer.Body)
	var e struct {
		Payload []byte `msgpack:"payload"`
	}
	if err := msgpack.Unmarshal(b, &e); err != nil {
		panic(err)
	}
	if r.bundle, err = bundle.Parse(e.Payload); err != nil {
		panic(err)
	}
}

func (r *relay) run() {
	b := make([]byte, wire.MaxPacket)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		vni, inner, err := wire.DecodeGeneve(b[:n])
		if err != nil {
			continue
		}
		to, next := r.settings.Fabric.Address, uint32(wire.CallerVNI)
		if vni == wire.CallerVNI {
			_, dst, _ := wire.Addresses(inner)
			for _, s := range r.bundle.ServiceInfos() {
				if four, six := endpoints(int(s.VNI) - firstVNI + 1); dst == four.Addr() || dst == six.Addr() {
					t := s.Resolved[wire.FlowHash(inner)%uint64(len(s.Resolved))]
					to, next = netip.AddrPortFrom(t.Addr, t.DataPort), s.VNI
				}
			}
		}
		b[4], b[5], b[6] = byte(next>>16), byte(next>>8), byte(next)
		_, _ = r.conn.WriteToUDPAddrPort(b[:n], to)
	}
}
