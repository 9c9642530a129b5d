//go:build review

package main

import "time"

// The bounds of FLOW (b): flow_reorder_ms, and the packets within it.
const (
	flowReorder  = 2 * time.Second
	strayPackets = 3
)

// stray is the run of packets of a flow that reached other backends since the last one that reached the flow's own.
type stray struct {
	since time.Time
	count int
	at    string // the backend that the last one reached
	told  bool
}

// strayed records that a packet of a flow reached another backend than the intended one.
func (w *world) strayed(k flowKey, b *backend) {
	if w.holder(k) == b {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.strays[k]
	if s == nil {
		s = &stray{since: time.Now()}
		w.strays[k] = s
	}
	s.count++
	s.at = b.name
}

// arrived records that a packet of a flow reached the backend that it was meant for.
func (w *world) arrived(k flowKey, b *backend) {
	if w.holder(k) != b {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.strays, k)
}

// holder returns the living backend at which the flow is open, or nil.
func (w *world) holder(k flowKey) *backend {
	w.mu.Lock()
	backends := append([]*backend(nil), w.backends...)
	w.mu.Unlock()
	for _, b := range backends {
		if _, holds := b.holds(k); holds {
			return b
		}
	}
	return nil
}

// judgeStrays judges FLOW (b) until the end: for flow_reorder_ms three or more packets of an open flow reach other backends and none its own.
func (w *world) judgeStrays(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		due := map[flowKey]stray{}
		for k, s := range w.strays {
			if !s.told && s.count >= strayPackets && time.Since(s.since) >= flowReorder {
				s.told = true
				due[k] = *s
			}
		}
		w.mu.Unlock()
		for k, s := range due {
			b := w.holder(k)
			if b == nil {
				w.record.line("packets of flow %v>%v at other backends are not counted: no living backend holds it", k.client, k.route)
				continue
			}
			f, _ := b.holds(k)
			if time.Since(f.opened) > flowLifetime {
				continue
			}
			w.record.broken("FLOW (b)", "%d packets of flow %v>%v, open at the living backend %s for %.1f s, reached %s within %.1f s and none its own",
				s.count, k.client, k.route, b.name, time.Since(f.opened).Seconds(), s.at, time.Since(s.since).Seconds())
		}
	}
}
