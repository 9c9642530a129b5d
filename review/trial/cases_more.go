//go:build review

package main

import (
	"encoding/json"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	idleBase  = 5600 // idle consoles before the burst: 1,400 at each backend of ingest, which hold 2,000 flows each
	idleBurst = 3920 // consoles that come at once: 1.7 times as many in all
)

// fullBackends: many users come at once and open more flows than the backends hold. A full backend leaves new flows without an
// answer. It lives, and so do its open flows, most of which wait unused; a few have a request every few seconds.
func fullBackends(w *world) error {
	w.configure(routeTally, routePull)
	if err := w.startServices(4, 2, 34*time.Millisecond); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	clients, err := w.startClients(4)
	if err != nil {
		return err
	}
	end := time.Now().Add(35 * time.Second)
	w.consoles(clients, idleBase, 14*time.Second, end)
	wg := w.sessions(clients, 4, w.routeAddr(routeTally.port), between(3*time.Second, 9*time.Second), end)
	time.Sleep(20 * time.Second)
	w.sayFlows()
	if w.trouble {
		w.record.say("the burst: %d more consoles in 3 s", idleBurst)
		w.consoles(clients, idleBurst, 3*time.Second, end)
	}
	wg.Wait()
	w.sayFlows()
	w.copyLog(12, "target-suspect", "event=flow-break")
	return nil
}

// consoles opens n flows within d, which stay open unused. A console tries three times.
func (w *world) consoles(clients []*client, n int, d time.Duration, end time.Time) {
	for i := range n {
		c := clients[i%len(clients)]
		time.AfterFunc(time.Duration(i)*d/time.Duration(n), func() {
			for range 3 {
				f, err := c.open(w.routeAddr(routeTally.port), nil)
				if err == nil {
					w.pauseOn(f, time.Until(end))
					return
				}
				w.record.count("flows of consoles that did not open")
			}
		})
	}
}

func (w *world) sayFlows() {
	for _, b := range w.backends {
		b.mu.Lock()
		w.record.say("%s (%s) holds %d flows, left %d opening packets unanswered since it was full", b.name, b.service, len(b.flows), b.full)
		b.mu.Unlock()
	}
}

// noVersion: another writer writes an entry under the id of a archive backend that has no version, and names the service ingest.
func noVersion(w *world) error {
	w.configure(routeTally, routePull)
	if err := w.startServices(6, 3, 34*time.Millisecond); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	clients, err := w.startClients(2)
	if err != nil {
		return err
	}
	end := time.Now().Add(12 * time.Second)
	var wg sync.WaitGroup
	for _, c := range clients {
		for _, r := range []route{routeTally, routePull} {
			wg.Go(func() { w.shortFlows(c, r, end) })
		}
	}
	time.Sleep(6 * time.Second)
	var other *backend // one of the archive backends
	for _, b := range w.backends {
		if b.service == routePull.service {
			other = b
		}
	}
	for range 4 {
		if w.trouble {
			fields := other.entry()
			delete(fields, "version")
			fields["service"] = routeTally.service
			value, _ := json.Marshal(fields)
			w.store.put(other.key(), value, 3*heartbeat)
			w.record.say("another writer writes an entry without version over that of %s (%s): %s", other.name, other.service, value)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	wg.Wait()
	w.copyLog(12, "record-rejected", "event=target-changed")
	return nil
}

// shortFlows opens a flow for each request.
func (w *world) shortFlows(c *client, r route, end time.Time) {
	for time.Now().Before(end) {
		if f, err := c.open(w.routeAddr(r.port), nil); err != nil {
			w.record.line("%s: flow %v", c.name, err)
			w.record.count("flows that did not open")
		} else if _, err := f.request(requestLimit); err != nil {
			w.record.count("requests without an answer")
		} else {
			w.record.count("requests answered")
			f.close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// silentIdle: connections to the store that wait unused go silent. Later the one machine that reads the store for the others is
// partitioned from it, and the operator changes the configuration.
func silentIdle(w *world) error {
	added := route{name: "r-added", port: 9002, service: "ingest", kind: "safe"}
	dropped := route{name: "r-dropped", port: 9001, service: "ingest", kind: "safe"}
	silent, cut := w.trouble && os.Getenv("TROUBLE") != "cut", w.trouble && os.Getenv("TROUBLE") != "silent"
	w.configure(routeTally, routePull, dropped)
	if err := w.startServices(6, 3, 34*time.Millisecond); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	clients, err := w.startClients(2)
	if err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	wg := w.sessions(clients, 4, w.routeAddr(routeTally.port), between(500*time.Millisecond, 2*time.Second), end)
	time.Sleep(2 * time.Second)
	reader := w.reader()
	for _, h := range w.hosts {
		w.record.say("%s: last byte on its link to the store %.2f s ago", h.name, time.Since(h.link.lastByte()).Seconds())
	}
	if silent {
		for _, h := range w.hosts {
			if h != reader {
				w.record.say("%d unused connections of %s to the store go silent", h.link.silence(), h.name)
			}
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	w.reader() // waits for the answer to a watch
	switch {
	case cut && os.Getenv("TROUBLE") == "term":
		reader.signal(syscall.SIGTERM)
		w.record.say("%s gets SIGTERM", reader.name)
	case cut && os.Getenv("TROUBLE") == "freeze":
		reader.signal(syscall.SIGSTOP)
		w.record.say("%s is frozen", reader.name)
	case cut && os.Getenv("TROUBLE") == "kill":
		reader.signal(syscall.SIGKILL)
		w.record.say("%s is killed", reader.name)
	case cut:
		reader.link.setCut(true)
		w.record.say("%s is partitioned from the store", reader.name)
		time.AfterFunc(5500*time.Millisecond, func() { reader.link.setCut(false) })
	}
	time.Sleep(50 * time.Millisecond)
	acknowledged := w.configure(routeTally, routePull, added)
	w.record.say("the operator drops a route and adds one")
	var probes sync.WaitGroup
	for i, h := range w.hosts {
		if cut && h == reader {
			continue
		}
		for _, r := range []route{added, dropped} {
			probes.Go(func() { w.probe(clients[i%len(clients)], h, r, r == added, acknowledged) })
		}
	}
	probes.Wait()
	wg.Wait()
	w.copyLog(30, "store-lost", "store-regained", "event=reader", "configuration-accepted", "event=relay ")
	return nil
}
