package target

import (
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// job is a request that waits or runs.
type job struct {
	request  message.Request
	owner    any           // the session or UDP flow that it came from
	deadline time.Duration // 0 means none
	answer   func(*message.Response)
	timer    *minitcp.Timer
	micros   uint64
}

// submit queues a request and runs it as soon as a slot is free. The stack is locked.
func (n *Node) submit(r *message.Request, owner any, answer func(*message.Response)) {
	if r.CancelID != 0 {
		n.cancel(r.CancelID, owner)
		return
	}
	if r.Service != n.spec.Service {
		n.counters.Foreign++
		n.log.WithField("event", "foreign").WithField("service", r.Service).Error("request for another service")
	}
	n.counters.Requests++
	j := &job{request: *r, owner: owner, answer: answer}
	if r.DeadlineMS > 0 {
		j.deadline = n.stack.Now() + time.Duration(r.DeadlineMS)*time.Millisecond
	}
	held := n.running + len(n.queue) + 1
	n.counters.MaxInFlight = max(n.counters.MaxInFlight, held)
	if n.spec.Slots > 0 && held > n.spec.Slots {
		n.counters.Overruns++
	}
	n.queue = append(n.queue, j)
	n.dispatch()
}

func (n *Node) dispatch() {
	for len(n.queue) > 0 && (n.spec.Slots == 0 || n.running < n.spec.Slots) {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if j.deadline > 0 && n.stack.Now() > j.deadline {
			n.counters.Late++
			n.reply(j, message.DeadlineExceeded)
			continue
		}
		n.start(j)
	}
}

func (n *Node) start(j *job) {
	n.running++
	n.registry.RecordRun(j.request.ID, n.spec.Service, n.spec.Address)
	d := n.serviceTime(&j.request)
	j.micros = uint64(d.Microseconds())
	if d == 0 {
		n.finish(j, message.OK)
		return
	}
	j.timer = n.stack.After(d, func() { n.finish(j, message.OK); n.dispatch() })
	n.track(j)
}

func (n *Node) finish(j *job, status message.Status) {
	n.running--
	n.untrack(j)
	n.counters.BusyMicros += j.micros
	n.reply(j, status)
}

func (n *Node) reply(j *job, status message.Status) {
	a := message.Response{
		ID: j.request.ID, Sequence: j.request.Sequence, Status: status,
		Service: n.spec.Service, Target: n.counters.Address,
	}
	if status == message.OK {
		n.counters.Answered++
		a.FillBody(int(min(j.request.ResponseBytes, message.MaxBytes/2)))
	}
	j.answer(&a)
}

// serviceTime draws how long a request runs.
func (n *Node) serviceTime(r *message.Request) time.Duration {
	micros := float64(r.WorkMicros)
	if r.WorkMicros == 0 {
		micros = float64(n.spec.Work.ShortMicros)
		if n.spec.Work.LongFraction > 0 && n.random.Float64() < n.spec.Work.LongFraction {
			micros = float64(n.spec.Work.LongMicros)
		}
		if n.spec.Work.Exponential {
			micros *= n.random.ExpFloat64()
		}
	}
	if n.behaviour.SlowFactor > 0 {
		micros *= n.behaviour.SlowFactor
	}
	return time.Duration(micros * n.coldFactor() * float64(time.Microsecond))
}

// coldFactor falls evenly from ColdFactor to 1 over the cold time.
func (n *Node) coldFactor() float64 {
	cold := time.Duration(n.behaviour.ColdMS) * time.Millisecond
	age := n.stack.Now() - n.coldAt
	if cold == 0 || age >= cold || n.behaviour.ColdFactor <= 1 {
		return 1
	}
	return 1 + (n.behaviour.ColdFactor-1)*(1-float64(age)/float64(cold))
}

// cancel withdraws a request of the owner, whether it waits or runs.
func (n *Node) cancel(id uint64, owner any) {
	for i, j := range n.queue {
		if j.request.ID == id && j.owner == owner {
			n.queue = slices.Delete(n.queue, i, i+1)
			n.counters.Canceled++
			n.reply(j, message.Canceled)
			return
		}
	}
	for _, j := range n.active {
		if j.request.ID == id && j.owner == owner {
			n.stack.Stop(j.timer)
			n.counters.Canceled++
			n.finish(j, message.Canceled)
			n.dispatch()
			return
		}
	}
}

func (n *Node) track(j *job) { n.active = append(n.active, j) }

func (n *Node) untrack(j *job) {
	if i := slices.Index(n.active, j); i >= 0 {
		n.active = slices.Delete(n.active, i, i+1)
	}
}

// cancelQueued withdraws the waiting requests of a connection that ended. Running ones keep their slot until done.
func (n *Node) cancelQueued(owner any) {
	n.queue = slices.DeleteFunc(n.queue, func(j *job) bool {
		if j.owner != owner {
			return false
		}
		n.counters.Canceled++
		return true
	})
}

// udpFlow is the state of one UDP flow.
type udpFlow struct {
	since    time.Duration
	last     time.Duration
	requests map[uint64][]byte // answer of each request; nil while it runs
}

// udpFlowLife is how long a UDP flow is remembered after its last packet.
const udpFlowLife = 30 * time.Second

// inputUDP handles a UDP request. The stack is locked.
func (n *Node) inputUDP(p *wire.Packet, inner []byte) {
	f := n.udp[p.Src]
	if f == nil {
		if !n.admit(p.Src) {
			if n.behaviour.Shed != "" || n.spec.Connections > 0 {
				n.prohibit(inner)
			}
			return
		}
		f = &udpFlow{since: n.stack.Now(), requests: make(map[uint64][]byte)}
		n.udp[p.Src] = f
	}
	f.last = n.stack.Now()
	var r message.Request
	if message.Decode(p.Payload, &r) != nil {
		n.counters.Malformed++
		return
	}
	n.registry.RecordRequest(FlowID{Caller: p.Src, Service: n.spec.Service})
	n.requestUDP(f, &r, p.Src, p.Dst)
}

func (n *Node) requestUDP(f *udpFlow, r *message.Request, caller, endpoint netip.AddrPort) {
	if answer, known := f.requests[r.ID]; known && r.CancelID == 0 {
		n.counters.Duplicates++
		if answer != nil {
			n.send(&wire.Packet{Kind: wire.UDP, Src: endpoint, Dst: caller, Payload: answer})
		}
		return
	}
	if r.CancelID == 0 {
		f.requests[r.ID] = nil
	}
	n.submit(r, f, func(a *message.Response) {
		b, err := message.EncodeDatagram(a)
		if err != nil {
			return
		}
		f.requests[r.ID] = b
		n.send(&wire.Packet{Kind: wire.UDP, Src: endpoint, Dst: caller, Payload: b})
	})
}

// expireUDP forgets old UDP flows.
func (n *Node) expireUDP() {
	for caller, f := range n.udp {
		if n.stack.Now()-f.last > udpFlowLife {
			delete(n.udp, caller)
		}
	}
}
