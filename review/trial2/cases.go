//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
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

// unnamedService: another writer writes an entry over that of a living backend of ingest. Its service isn't named in the configuration, and
// its address is that of a backend of archive. The writer puts it back whenever the backend has written its own entry, for 4 s.
func unnamedService(w *world) error {
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
	go w.judgeStrays(end)
	wg := w.sessions(clients, 30, w.routeAddr(routeTally.port), between(time.Second, 4*time.Second), end)
	time.Sleep(8 * time.Second)
	own, other := w.backends[0], w.backends[6]
	w.record.say("%s (%s) holds %d flows", own.name, own.service, own.openFlows())
	if w.trouble {
		w.overwrite(own, map[string]any{
			"service": "strikes-old", "address": other.address.String(), "zone": other.zone, "version": "v1", "capacity": 3, "state": "ready",
			"cold_remaining_ms": 0, "sequence_number": 1, "born": other.born,
		}, 4*time.Second)
	}
	wg.Wait()
	w.copyLog(6, own.name)
	return nil
}

// overwrite writes an entry over that of a backend and writes it again after each heartbeat of the backend, until the time is over.
func (w *world) overwrite(b *backend, entry map[string]any, d time.Duration) {
	value, _ := json.Marshal(entry)
	writes := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !bytes.Equal(w.store.value(b.key()), value) {
			w.store.put(b.key(), value, 3*heartbeat)
			writes++
			w.record.line("another writer writes an entry of a service that isn't named over that of %s: %s", b.name, value)
		}
	}
	w.record.say("another writer has written %d times over the entry of %s", writes, b.name)
}

// entryWithoutStart: another writer writes an entry in which born is missing over that of a living backend of archive. Its service is ingest. It
// stands until the backend's next heartbeat; there are four of them, 1.3 s apart.
func entryWithoutStart(w *world) error {
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
	end := time.Now().Add(18 * time.Second)
	tally := w.sessions(clients, 20, w.routeAddr(routeTally.port), between(300*time.Millisecond, 900*time.Millisecond), end)
	pull := w.sessions(clients, 4, w.routeAddr(routePull.port), between(300*time.Millisecond, 900*time.Millisecond), end)
	fresh := w.freshFlows(clients, w.routeAddr(routeTally.port), between(100*time.Millisecond, 200*time.Millisecond), end)
	time.Sleep(8 * time.Second)
	own := w.backends[6]
	for range 4 {
		if w.trouble {
			value, _ := json.Marshal(map[string]any{
				"service": "ingest", "address": own.address.String(), "zone": own.zone, "version": "v1", "capacity": 3, "state": "ready",
				"cold_remaining_ms": 0, "sequence_number": 1,
			})
			w.store.put(own.key(), value, 3*heartbeat)
			w.record.say("another writer writes an entry without born over that of %s (%s): %s", own.name, own.service, value)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	tally.Wait()
	pull.Wait()
	fresh.Wait()
	w.copyLog(8, "record-rejected", own.name)
	return nil
}

// freshFlows starts one client loop on each client that opens a flow for each request.
func (w *world) freshFlows(clients []*client, route netip.AddrPort, pause func() time.Duration, end time.Time) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() {
			for ; time.Now().Before(end); time.Sleep(pause()) {
				f, err := c.open(route, nil)
				if err != nil {
					w.record.count("flows that did not open")
					continue
				}
				if _, err := f.request(requestLimit); err != nil {
					w.record.count("requests without an answer")
				} else {
					w.record.count("requests answered")
				}
				f.close()
			}
		})
	}
	return &wg
}

// cutTargets: two backends at a time are cut off from all machines for 1.5 s, four times, 9 s apart.
func cutTargets(w *world) error {
	w.requestEndsHandshake = os.Getenv("TROUBLE") != "bare" // with "bare" a packet without data comes first
	w.configure(routeTally, routePull)
	if err := w.startServices(9, 3, 10*time.Millisecond); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	clients, err := w.startClients(4)
	if err != nil {
		return err
	}
	end := time.Now().Add(52 * time.Second)
	busy := w.sessions(clients, 15, w.routeAddr(routeTally.port), between(300*time.Millisecond, 900*time.Millisecond), end)
	idle := w.sessions(clients, 45, w.routeAddr(routeTally.port), between(5*time.Second, 9*time.Second), end)
	time.Sleep(8 * time.Second)
	for i := range 4 {
		w.cutFor(1500*time.Millisecond, w.backends[2*i], w.backends[2*i+1])
		time.Sleep(7500 * time.Millisecond)
	}
	busy.Wait()
	idle.Wait()
	w.copyLog(40, "event=target-dark", "event=target-alive")
	return nil
}

// cutFor cuts backends off from all machines for some time.
func (w *world) cutFor(d time.Duration, backends ...*backend) {
	if w.trouble {
		for _, b := range backends {
			b.setCut(true)
		}
	}
	time.Sleep(d)
	if w.trouble {
		for _, b := range backends {
			b.setCut(false)
		}
	}
}
