package fabric

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Control returns the handler of the control port: PUT /live with a list of addresses, PUT /config and GET /counters.
func (f *Fabric) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /live", func(w http.ResponseWriter, r *http.Request) {
		var live []netip.Addr
		if process.ReadJSON(w, r, &live) {
			f.SetLive(live)
			process.WriteNoContent(w)
		}
	})
	mux.HandleFunc("PUT /config", func(w http.ResponseWriter, r *http.Request) {
		var c Config
		if !process.ReadJSON(w, r, &c) {
			return
		}
		if c.Mode != PerPacket && c.Mode != PerFlow {
			http.Error(w, "mode must be packet or flow", http.StatusBadRequest)
			return
		}
		f.SetConfig(c)
		process.WriteNoContent(w)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, f.Counters())
	})
	return mux
}

// SetConfig replaces the configuration.
func (f *Fabric) SetConfig(c Config) {
	f.config.Store(&c)
	f.log.WithFields(logrus.Fields{
		"event": "config", "mode": c.Mode, "loss": c.Loss, "duplicate": c.Duplicate, "reorder": c.Reorder,
	}).Info("configuration replaced")
}

// Counters returns a copy of the counters.
func (f *Fabric) Counters() Counters {
	c := &f.counters
	return Counters{
		FromCallers: c.fromCallers.Load(), FromBalancers: c.fromBalancers.Load(), FromTargets: c.fromTargets.Load(),
		NoBalancer: c.noBalancer.Load(), NoCaller: c.noCaller.Load(), Malformed: c.malformed.Load(), Lost: c.lost.Load(),
		Duplicated: c.duplicated.Load(), Reordered: c.reordered.Load(), SendFailed: c.sendFailed.Load(),
	}
}

// hostListInterval is how often the host list is read. Real fabrics detect a dead balancer in about this time.
const hostListInterval = 100 * time.Millisecond

// followHostList updates the list of live balancers from the platform's host list, with a lag.
func (f *Fabric) followHostList(ctx context.Context) {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	var last []netip.Addr
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		live, err := f.readLiveBalancers(ctx)
		if err != nil || slices.Equal(live, last) {
			continue
		}
		last = live
		time.AfterFunc(time.Duration(f.options.LagMS)*time.Millisecond, func() { f.SetLive(live) })
	}
}

func (f *Fabric) readLiveBalancers(ctx context.Context) ([]netip.Addr, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.options.Platform+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var hosts []platform.Host
	if err := json.NewDecoder(response.Body).Decode(&hosts); err != nil {
		return nil, err
	}
	var live []netip.Addr
	for _, h := range hosts {
		address, err := netip.ParseAddr(h.Address)
		if err == nil && h.State == "live" && f.options.Balancers.Contains(address) {
			live = append(live, address)
		}
	}
	return live, nil
}
