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

// relay replaces the daemon in the tests of this package. It chooses targets by flow hash from the bundle that it reads when
// it starts, and answers /readyz and /status on the operator port.
type relay struct {
	settings *settings.Settings
	bundle   *bundle.Bundle
	conn     *net.UDPConn
}

// relayMain is the main function of the relay process.
func relayMain() int {
	// The handler stays installed until the process has ended. A second SIGTERM arrives meanwhile, and would kill the process
	// during the second by which the race detector delays its end.
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
	response, err := http.Get("http://" + r.settings.Platform.Address.String() + "/v1/config/bundle")
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	b, _ := io.ReadAll(response.Body)
	var envelope struct {
		Payload []byte `msgpack:"payload"`
	}
	if err := msgpack.Unmarshal(b, &envelope); err != nil {
		panic(err)
	}
	if r.bundle, err = bundle.Parse(envelope.Payload); err != nil {
		panic(err)
	}
}

func (r *relay) run() {
	packet := make([]byte, wire.MaxPacket)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		vni, inner, err := wire.DecodeGeneve(packet[:n])
		if err != nil {
			continue
		}
		destination, nextVNI := r.settings.Fabric.Address, uint32(wire.CallerVNI)
		if vni == wire.CallerVNI {
			_, dst, _ := wire.Addresses(inner)
			for _, s := range r.bundle.ServiceInfos() {
				if four, six := endpoints(int(s.VNI) - firstVNI + 1); dst == four.Addr() || dst == six.Addr() {
					chosen := s.Resolved[wire.FlowHash(inner)%uint64(len(s.Resolved))]
					destination, nextVNI = netip.AddrPortFrom(chosen.Addr, chosen.DataPort), s.VNI
				}
			}
		}
		packet[4], packet[5], packet[6] = byte(nextVNI>>16), byte(nextVNI>>8), byte(nextVNI)
		_, _ = r.conn.WriteToUDPAddrPort(packet[:n], destination)
	}
}
