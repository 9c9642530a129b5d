//go:build review

package main

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// startServices starts backends of the two services, spread over the zones.
func (w *world) startServices(ingest, archive int, work time.Duration) error {
	for i := range ingest + archive {
		service := "ingest"
		if i >= ingest {
			service = "archive"
		}
		if _, err := w.startBackend(i+1, service, zones[i%zoneCount], fixed(work)); err != nil {
			return err
		}
	}
	return nil
}

// startClients starts clients in each zone.
func (w *world) startClients(perZone int) ([]*client, error) {
	var out []*client
	for i := range perZone * zoneCount {
		c, err := w.startClient(i+1, zones[i%zoneCount])
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// session keeps a flow open for many requests with pauses between them, and opens a new one when it has ended.
func (w *world) session(c *client, route netip.AddrPort, pause func() time.Duration, end time.Time) {
	for time.Now().Before(end) {
		f, err := c.open(route, nil)
		if err != nil {
			w.record.line("%s: flow %v", c.name, err)
			w.record.count("flows that did not open")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for time.Now().Before(end) && !f.closed {
			if _, err := f.request(requestLimit); err != nil {
				w.record.count("requests without an answer")
				break
			}
			w.record.count("requests answered")
			if !f.closed {
				w.pauseOn(f, pause())
			}
		}
		f.close()
	}
}

// pauseOn waits between two requests of a flow, and ends the flow when it is reset meanwhile.
func (w *world) pauseOn(f *flow, d time.Duration) {
	if p, ok := f.await(d, func(p *packet) bool { return p.flags&(flagRST|flagFIN) != 0 }); ok {
		if p.flags&flagFIN != 0 {
			f.ack = p.seq + 1
			f.send(flagACK|flagFIN, f.ack, nil)
		}
		f.forget()
	}
}

// sessions starts n sessions of each client and waits for their end.
func (w *world) sessions(clients []*client, n int, route netip.AddrPort, pause func() time.Duration, end time.Time) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, c := range clients {
		for range n {
			wg.Go(func() { w.session(c, route, pause, end) })
		}
	}
	return &wg
}

func between(a, b time.Duration) func() time.Duration {
	return func() time.Duration { return a + time.Duration(rand.Int64N(int64(b-a))) }
}

var (
	routeTally = route{name: "r-tally", port: 8443, service: "ingest", kind: "safe"}
	routePull  = route{name: "r-pull", port: 8080, service: "archive", kind: "download"}
)

// drainingEntry: another writer writes bytes that can't be read over the entry of a backend that drains. The backend lives and
// holds its flows, and writes its entry again at its next heartbeat.
func drainingEntry(w *world) error {
	w.configure(routeTally, routePull)
	if err := w.startServices(6, 3, 34*time.Millisecond); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	clients, err := w.startClients(3)
	if err != nil {
		return err
	}
	end := time.Now().Add(22 * time.Second)
	wg := w.sessions(clients, 60, w.routeAddr(routeTally.port), between(3*time.Second, 8*time.Second), end)
	time.Sleep(8 * time.Second)
	leaving := w.backends[0]
	w.record.say("%s holds %d flows", leaving.name, leaving.openFlows())
	leaving.drain()
	for range 3 {
		time.Sleep(1100 * time.Millisecond)
		w.record.say("%s holds %d flows", leaving.name, leaving.openFlows())
		if w.trouble {
			w.store.put(leaving.key(), []byte("\x00\xff not an entry"), 3*heartbeat)
			w.record.say("another writer writes bytes that can't be read over the entry of %s", leaving.name)
		}
	}
	time.Sleep(2 * time.Second)
	leaving.leave()
	wg.Wait()
	w.copyLog(12, "record-rejected", "event=target-removed", "event=flow-break")
	return nil
}
