package explore

import "fmt"

// Op is the kind of a step.
type Op uint8

// Kinds of steps.
const (
	Deliver     Op = iota // the oldest message of a link is delivered
	Lose                  // the oldest message of a link is lost
	Duplicate             // the oldest message of a link is delivered and remains queued, to be delivered again
	Activate              // a host puts version 2 in force
	Pause                 // a host stops running; messages to it are delayed
	Resume                // a paused host runs again
	Restart               // a host restarts and loses all state; Join makes it serve again
	Join                  // a restarted host serves
	Leave                 // a host announces that it is leaving
	DeclareGone           // the other hosts declare a paused host gone
	Packet                // a host receives a packet of a flow from the caller
	Wait                  // 100 ms pass in which no message is delivered
	Settle                // 1.1 s pass in which all messages are delivered in order; probes spread version 2, and hosts activate it
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
	case w.status[i] == serving && w.otherServing(i) > 0:
		out = append(out, Step{Op: Pause, Host: i}, Step{Op: Restart, Host: i}, Step{Op: Leave, Host: i})
	}
	return out
}

// otherServing returns the number of running hosts other than i that serve.
func (w *world) otherServing(i int) (n int) {
	for j, b := range w.hosts {
		if j != i && w.status[j] == serving && !b.paused {
			n++
		}
	}
	return n
}

// run executes a step and checks the rules.
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
		w.sendViews()
	case Leave:
		w.status[s.Host] = leaving
		w.sendViews()
	case DeclareGone:
		w.exemptLostOwner(b, b.pausedAt)
		w.advance(tickTime, detectTime)
		w.status[s.Host] = gone
		w.sendViews()
	case Packet:
		w.sendPacket(s.Flow, s.Host)
	case Wait:
		w.advance(tickTime, waitTime)
	case Settle:
		w.settle(tickTime, settleTime)
		w.activateKnownVersion()
		w.batchLost = [hostCount]bool{} // lost batches are resent and delivered by now, unless a host is paused
	}
	w.checkRules()
}

// activateKnownVersion puts version 2 in force at running hosts that know of it from their peers.
func (w *world) activateKnownVersion() {
	for _, b := range w.hosts {
		if !b.paused && b.inForce.Version == 1 && (b.engine.NewestVersion() == 2 || w.newestVersion() == 2) {
			b.activate()
		}
	}
}

// newestVersion returns the highest version in force at a running host.
func (w *world) newestVersion() uint64 {
	v := uint64(1)
	for _, b := range w.hosts {
		if !b.paused {
			v = max(v, b.inForce.Version)
		}
	}
	return v
}

// resume lets a paused host run again. After a pause longer than fenceTime it is fenced until its next tick, which stands for
// the answer of a peer. If it was declared gone, it gives up its buckets and rejoins with a higher incarnation.
func (w *world) resume(b *balancer) {
	b.paused = false
	if w.now-b.pausedAt > fenceTime {
		b.fenced = true
		b.publish()
	}
	if w.status[b.index] == gone {
		b.incarnation++
		b.handle(evicted)
		w.status[b.index] = serving
		w.sendViews()
	}
}

// restart ends the process of a host and starts it again. Its connections are closed, so control and internal messages to it
// are lost; messages that it has sent remain in transit.
func (w *world) restart(b *balancer) {
	if w.status[b.index] == serving {
		lostAt := w.now
		if b.paused {
			lostAt = b.pausedAt
		}
		w.exemptLostOwner(b, lostAt)
	}
	for l := range w.links {
		if l.to == b.index && l.channel != data {
			delete(w.links, l)
		}
	}
	b.paused = true // newestVersion must not count the version of this host
	b.start(w.newestVersion())
	b.joinAt = w.now + serveTime
	w.status[b.index] = starting
	w.sendViews()
}

// describe returns the text of a step for the trace. It must be called before the step is run.
func (w *world) describe(s Step) string {
	host := hostName(s.Host)
	switch s.Op {
	case Deliver, Lose, Duplicate:
		verb := [...]string{"deliver", "lose", "duplicate"}[s.Op]
		return fmt.Sprintf("%s %s to %s: %s", verb, hostName(s.Link.from), hostName(s.Link.to), w.links[s.Link][0].text)
	case Activate:
		return "activate version 2 at " + host
	case Pause, Resume, Restart:
		return [...]string{"pause ", "resume ", "restart "}[s.Op-Pause] + host
	case Join:
		return host + " joins and serves"
	case Leave:
		return host + " announces that it is leaving"
	case DeclareGone:
		return "the other hosts declare " + host + " gone"
	case Packet:
		return fmt.Sprintf("packet of %s arrives at %s", flowNames[s.Flow], host)
	case Wait:
		return "wait 100 ms"
	}
	return "settle for 1.1 s"
}
