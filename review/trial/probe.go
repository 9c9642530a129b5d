//go:build review

package main

import (
	"errors"
	"net/netip"
	"time"
)

// probe opens flows on a route directly at a machine in touch, and judges CONFIG: later than the bound after the acknowledgement
// of the version, the added route must not be refused and the dropped one must not be run.
func (w *world) probe(c *client, h *host, r route, added bool, acknowledged time.Time) {
	hop := func() netip.AddrPort { return h.data() }
	first := true
	for time.Since(acknowledged) < 7*time.Second {
		sent := time.Now()
		f, err := c.open(w.routeAddr(r.port), hop)
		after := sent.Sub(acknowledged)
		ran := false
		if err == nil {
			_, err = f.request(requestLimit)
			ran = err == nil
			f.close()
		}
		switch {
		case after > applyBound && added && errors.Is(err, errRefused):
			w.record.broken("CONFIG", "%s refuses the added route %.3f s after the acknowledgement", h.name, after.Seconds())
		case after > applyBound && !added && ran:
			w.record.broken("CONFIG", "%s lets the dropped route run %.3f s after the acknowledgement", h.name, after.Seconds())
		case first && ran == added:
			first = false
			w.record.say("%s handles %s by the new version %.3f s after the acknowledgement", h.name, r.name, after.Seconds())
		}
		time.Sleep(50 * time.Millisecond)
	}
}
