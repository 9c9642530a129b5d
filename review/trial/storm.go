//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	grownRoutes   = 420 // routes by which the configuration grows at a time
	growths       = 4
	stormVersions = 25
	stormGap      = 60 * time.Millisecond
)

// configStorm: the configuration has grown by many routes. The one machine that reads the store for the others is partitioned from
// it, and the operator changes a route and then other settings in quick succession.
func configStorm(w *world) error {
	added := route{name: "r-added", port: 9002, service: "ingest", kind: "safe"}
	dropped := route{name: "r-dropped", port: 9001, service: "ingest", kind: "safe"}
	base := []route{routeTally, routePull}
	w.configure(append(base, dropped)...)
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
	end := time.Now().Add(25 * time.Second)
	wg := w.sessions(clients, 4, w.routeAddr(routeTally.port), between(500*time.Millisecond, 2*time.Second), end)
	for range growths {
		for i := range grownRoutes {
			n := len(base) + i
			base = append(base, route{name: fmt.Sprintf("r-%05d", n), port: uint16(20000 + n), service: "ingest", kind: "safe"})
		}
		w.configure(append(base, dropped)...)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(stableWindow)
	reader := w.reader()
	if w.trouble {
		reader.link.setCut(true)
		w.record.say("%s is partitioned from the store", reader.name)
		time.AfterFunc(5500*time.Millisecond, func() { reader.link.setCut(false) })
	}
	time.Sleep(50 * time.Millisecond)
	acknowledged := w.configure(append(base, added)...)
	w.record.say("the operator drops a route and adds one; %d changes of other settings follow", stormVersions)
	go func() {
		for range stormVersions {
			time.Sleep(stormGap)
			w.mu.Lock()
			w.idle -= 10 * time.Millisecond
			w.mu.Unlock()
			w.configure(append(base, added)...)
		}
	}()
	var probes sync.WaitGroup
	for i, h := range w.hosts {
		if w.trouble && h == reader {
			continue
		}
		for _, r := range []route{added, dropped} {
			probes.Go(func() { w.probe(clients[i%len(clients)], h, r, r == added, acknowledged) })
		}
	}
	probes.Wait()
	wg.Wait()
	w.copyLog(30, "store-lost", "store-regained", "event=reader", "event=relay ")
	return nil
}

// reader returns the machine that reads the store for the others, when the store has just answered it.
func (w *world) reader() *host {
	reader := w.hosts[0]
	for _, h := range w.hosts {
		if h.link.lastByte().After(reader.link.lastByte()) {
			reader = h
		}
	}
	for time.Since(reader.link.lastByte()) > 100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	return reader
}
