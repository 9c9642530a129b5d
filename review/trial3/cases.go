package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

var cases = map[string]func(*deployment, bool) error{"long-requests": longRequests, "unreadable-entries": unreadableEntries}

const (
	flowsPerZone = 14                      // each with a request a second
	usualWork    = 20                      // ms of every confirmation
	pullEvery    = 1500 * time.Millisecond // mean time between two pulls of a zone
	longPull     = 2500                    // ms of a pull that runs many times longer than the rest
	shortPull    = 20                      // ms of a pull without the disruption
	runFor       = 70 * time.Second
)

// longRequests: a few requests, the pulls, run many times longer than the rest, so that now and then they have all slots of a backend.
func longRequests(d *deployment, trouble bool) error {
	if err := d.start(2, 2); err != nil {
		return err
	}
	end := time.Now().Add(runFor)
	pull := shortPull
	if trouble {
		pull = longPull
	}
	confirm := func() int { return usualWork }
	pause := func() time.Duration { return 500*time.Millisecond + time.Duration(rand.IntN(1000))*time.Millisecond }
	var wg sync.WaitGroup
	for z, zone := range zones {
		c, err := startClient(d.at(2, z+1, dataPort), d.router(zone), d.record)
		if err != nil {
			return err
		}
		for n := range flowsPerZone {
			wg.Go(func() { c.use(n, d.at(9, 1, confirmPort), end, confirm, pause, 3*time.Second) })
		}
		wg.Go(func() { c.pull(&wg, d.at(9, 1, pullPort), end, pull) })
	}
	wg.Wait()
	return nil
}

// pull sends pulls until end, each on a flow of its own.
func (c *client) pull(wg *sync.WaitGroup, endpoint netip.AddrPort, end time.Time, work int) {
	for n := 0; time.Now().Before(end.Add(-4 * time.Second)); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(pullEvery)))
		wg.Go(func() {
			s, err := c.open(endpoint)
			if err != nil {
				c.record.note("pull %s %d not opened: %v", c.address, n, err)
				return
			}
			id := fmt.Sprintf("pull-%s-%d", c.address, n)
			c.record.sent(id, s.key, work)
			line, err := s.request(fmt.Sprintf("%s %d", id, work), time.Now().Add(8*time.Second))
			c.record.answered(id, s.key, line, err)
			if err == nil {
				s.close()
			}
		})
	}
}

const (
	heartbeat     = 770 * time.Millisecond
	foreignWrites = 4
	foreignGap    = 1300 * time.Millisecond
)

// unreadableEntries: another writer puts entries with a byte that is no UTF-8 over that of a living backend of the service claims.
func unreadableEntries(d *deployment, trouble bool) error {
	if err := d.start(2, 2); err != nil {
		return err
	}
	number := len(d.backends) + 1
	b, err := startBackend(number, claimsService, zones[0], d.at(3, number, backendPort), dataPort, d.record)
	if err != nil {
		return err
	}
	own, key := b.entry(), "servers/"+b.name
	d.store.Put(key, own)
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for z, zone := range zones {
		c, err := startClient(d.at(2, z+1, dataPort), d.router(zone), d.record)
		if err != nil {
			return err
		}
		for n := range 10 {
			wg.Go(func() { c.freshFlows(n, d.at(9, 1, confirmPort), end, 400*time.Millisecond) })
		}
		wg.Go(func() { c.freshFlows(10, d.at(9, 1, photoPort), end, 400*time.Millisecond) })
	}
	time.Sleep(8 * time.Second)
	for range foreignWrites {
		if trouble {
			bytes := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1%s","capacity":2,"state":"ready","cold_remaining_ms":0,`+
				`"sequence_number":%d,"born":%d}`, roundsService, b.address, b.zone, "\xff", b.sequence+1, b.born)
			d.record.note("another writer writes %s = %q", key, bytes)
			d.store.PutRaw(key, []byte(bytes))
			time.Sleep(heartbeat)
			d.store.Put(key, b.entry())
			d.record.note("the backend writes %s again", key)
		}
		time.Sleep(foreignGap)
	}
	wg.Wait()
	return nil
}

// freshFlows sends requests until end, each on a flow of its own.
func (c *client) freshFlows(number int, endpoint netip.AddrPort, end time.Time, mean time.Duration) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(mean)))
		s, err := c.open(endpoint)
		if err != nil {
			c.record.note("flow %s %d-%d not opened: %v", c.address, number, n, err)
			continue
		}
		id := fmt.Sprintf("f-%s-%d-%d", c.address, number, n)
		c.record.sent(id, s.key, usualWork)
		line, err := s.request(fmt.Sprintf("%s %d", id, usualWork), time.Now().Add(3*time.Second))
		c.record.answered(id, s.key, line, err)
		if err == nil {
			s.close()
		}
	}
}
