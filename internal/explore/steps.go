package explore

import "fmt"

// Op is the kind of a step.
type Op uint8

// Kinds of steps.
const (
	Deliver     Op = iota // the oldest message of a link arrives
	Lose                  // the oldest message of a link is lost
	Duplicate             // the oldest message of a link arrives and stays to arrive again
	Activate              // version 2 comes into force at a host
	Pause                 // a host stops deciding; its messages are late
	Resume                // a paused host goes on
	Restart               // a host loses everything; it serves again by Join
	Join                  // a restarted host serves
	Leave                 // a host announces that it is leaving
	DeclareGone           // the others declare a paused host gone
	Packet                // a packet of a flow comes to a host
	Wait                  // 100 ms pass without deliveries
	Settle                // 1.1 s pass with a network that delivers everything in order, and probes spread version 2
)

// Step is one step of a run.
type Step struct {
	Op   Op
	Host int
	Flow int  // of Packet
	Link link // of Deliver, Lose and Duplicate
}

// enabled returns the steps that are possible now.
func (w *world) enabled() []Step {
	out := []Step{{Op: Wait}, {Op: Settle}}
	for _, l := range w.sortedLinks() {
		if !w.hosts[l.to].paused {
			out = append(out, Step{Op: Deliver, Link: l})
		}
		if l.channel != internal {
			out = append(out, Step{Op: Lose, Link: l})
			if !w.hosts[l.to].paused {
				out = append(out, Step{Op: Duplicate, Link: l})
			}
		}
	}
	for i, b := range w.hosts {
		out = append(out, w.enabledAt(i, b)...)
	}
	return out
}

func (w *world) enabledAt(i int, b *balancer) (out []Step) {
	if b.paused {
		out = append(out, Step{Op: Resume, Host: i})
		if w.status[i] == serving {
			out = append(out, Step{Op: DeclareGone, Host: i})
		}
		return append(out, Step{Op: Restart, Host: i})
	}
	for f := range w.sc.flows {
		if !w.closed[f] {
			out = append(out, Step{Op: Packet, Host: i, Flow: f})
		}
	}
	if b.inForce.Version == 1 {
		out = append(out, Step{Op: Activate, Host: i})
	}
	switch {
	case w.status[i] == starting && w.now >= b.joinAt:
		out = append(out, Step{Op: Join, Host: i})
	case w.status[i] == serving && w.others(i) > 0:
		out = append(out, Step{Op: Pause, Host: i}, Step{Op: Restart, Host: i}, Step{Op: Leave, Host: i})
	}
	return out
}

// others returns the number of serving hosts that run, but for host i.
func (w *world) others(i int) (n int) {
	for j, b := range w.hosts {
		if j != i && w.status[j] == serving && !b.paused {
			n++
		}
	}
	return n
}

// run carries out a step and checks the rules.
func (w *world) run(s Step) {
	w.notes = nil
	w.now += stepTime
	b := w.hosts[s.Host]
	switch s.Op {
	case Deliver, Lose, Duplicate:
		if s.Op == Lose {
			w.batchLost[s.Link.from] = w.batchLost[s.Link.from] || isBatch(w.links[s.Link][0])
			w.links[s.Link] = w.links[s.Link][1:]
		} else {
			w.deliver(s.Link, s.Op == Deliver)
		}
	case Activate:
		b.activate()
	case Pause:
		b.paused, b.pausedAt = true, w.now
	case Resume:
		w.resume(b)
	case Restart:
		w.restart(b)
	case Join:
		w.status[s.Host] = serving
		w.spreadView()
	case Leave:
		w.status[s.Host] = leaving
		w.spreadView()
	case DeclareGone:
		w.lostOwner(b, b.pausedAt)
		w.pass(tickTime, detectTime)
		w.status[s.Host] = gone
		w.spreadView()
	case Packet:
		w.packet(s.Flow, s.Host)
	case Wait:
		w.pass(tickTime, waitTime)
	case Settle:
		w.settle(tickTime, settledTime)
		w.catchUp()
		w.batchLost = [hostCount]bool{} // sent again and delivered, unless a host is paused
	}
	w.check()
}

// catchUp puts version 2 in force at hosts that run and know of it.
func (w *world) catchUp() {
	for _, b := range w.hosts {
		if !b.paused && b.inForce.Version == 1 && (b.engine.NewestVersion() == 2 || w.newest() == 2) {
			b.activate()
		}
	}
}

// newest returns the highest version in force at a host that runs.
func (w *world) newest() uint64 {
	v := uint64(1)
	for _, b := range w.hosts {
		if !b.paused {
			v = max(v, b.inForce.Version)
		}
	}
	return v
}

// resume wakes a host. After a long pause it is fenced until a peer has answered, at its next tick; when it was declared
// gone, it first gives up its buckets and then rejoins with a higher incarnation.
func (w *world) resume(b *balancer) {
	b.paused = false
	if w.now-b.pausedAt > fenceTime {
		b.fenced = true
		b.publish()
	}
	if w.status[b.i] == gone {
		b.incarnation++
		b.handle(lapsed)
		w.status[b.i] = serving
		w.spreadView()
	}
}

// restart ends the process of a host and starts it again. Its connections end with it; what it has sent is on its way.
func (w *world) restart(b *balancer) {
	if w.status[b.i] == serving {
		lostAt := w.now
		if b.paused {
			lostAt = b.pausedAt
		}
		w.lostOwner(b, lostAt)
	}
	for l := range w.links {
		if l.to == b.i && l.channel != data {
			delete(w.links, l)
		}
	}
	b.paused = true // its version does not count
	b.start(w.newest())
	b.joinAt = w.now + serveTime
	w.status[b.i] = starting
	w.spreadView()
}

// text describes the step before it is run.
func (w *world) text(s Step) string {
	host := hostName(s.Host)
	switch s.Op {
	case Deliver, Lose, Duplicate:
		verb := [...]string{"deliver", "lose", "duplicate"}[s.Op]
		return fmt.Sprintf("%s %s to %s: %s", verb, hostName(s.Link.from), hostName(s.Link.to), w.links[s.Link][0].text)
	case Activate:
		return "version 2 comes into force at " + host
	case Pause, Resume, Restart:
		return [...]string{"pause ", "resume ", "restart "}[s.Op-Pause] + host
	case Join:
		return host + " serves again"
	case Leave:
		return host + " is leaving"
	case DeclareGone:
		return "the others declare " + host + " gone"
	case Packet:
		return fmt.Sprintf("packet of %s comes to %s", flowNames[s.Flow], host)
	case Wait:
		return "wait 100 ms"
	}
	return "settle for 1.1 s"
}
