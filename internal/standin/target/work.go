package target

import (
	"net/netip"
	"slices"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/message"
	"github.com/marigoldwood/marigoldwood/internal/standin/minitcp"
	"github.com/marigoldwood/marigoldwood/internal/standin/wire"
)

// job is a queued or running request.
type job struct {
	request       message.Request
	owner         any           // the session or UDP flow that it came from
	deadline      time.Duration // 0 means none
	respond       func(*message.Response)
	timer         *minitcp.Timer
	serviceMicros uint64
}

// submit queues a request, which starts as soon as a slot is free, or handles a cancellation. The stack must be locked.
func (n *Node) submit(r *message.Request, owner any, respond func(*message.Response)) {
	if r.CancelID != 0 {
		n.cancel(r.CancelID, owner)
		return
	}
	if r.Service != n.spec.Service {
		n.counters.Foreign++
		n.log.WithField("event", "foreign").WithField("service", r.Service).Error("request for another service")
	}
	n.counters.Requests++
	j := &job{request: *r, owner: owner, respond: respond}
	if r.DeadlineMS > 0 {
		j.deadline = n.stack.Now() + time.Duration(r.DeadlineMS)*time.Millisecond
	}
	pending := n.running + len(n.queue) + 1
	n.counters.MaxInFlight = max(n.counters.MaxInFlight, pending)
	if n.spec.Slots > 0 && pending > n.spec.Slots {
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
	j.serviceMicros = uint64(d.Microseconds())
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
	n.counters.BusyMicros += j.serviceMicros
	n.reply(j, status)
}

func (n *Node) reply(j *job, status message.Status) {
	response := message.Response{
		ID: j.request.ID, Sequence: j.request.Sequence, Status: status,
		Service: n.spec.Service, Target: n.counters.Address,
	}
	if status == message.OK {
		n.counters.Answered++
		response.FillBody(int(min(j.request.ResponseBytes, message.MaxBytes/2)))
	}
	j.respond(&response)
}

// serviceTime returns how long a request runs: as long as it asks for, or a random time, times the slow and cold factors.
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
	return time.Duration(micros * n.coldStartFactor() * float64(time.Microsecond))
}

// coldStartFactor returns the factor of the cold phase, which falls linearly from ColdFactor to 1.
func (n *Node) coldStartFactor() float64 {
	duration := time.Duration(n.behaviour.ColdMS) * time.Millisecond
	age := n.stack.Now() - n.coldSince
	if duration == 0 || age >= duration || n.behaviour.ColdFactor <= 1 {
		return 1
	}
	return 1 + (n.behaviour.ColdFactor-1)*(1-float64(age)/float64(duration))
}

// cancel cancels a queued or running request of the owner.
func (n *Node) cancel(id uint64, owner any) {
	for i, j := range n.queue {
		if j.request.ID == id && j.owner == owner {
			n.queue = slices.Delete(n.queue, i, i+1)
			n.counters.Canceled++
			n.reply(j, message.Canceled)
			return
		}
	}
	for _, j := range n.runningJobs {
		if j.request.ID == id && j.owner == owner {
			n.stack.Stop(j.timer)
			n.counters.Canceled++
			n.finish(j, message.Canceled)
			n.dispatch()
			return
		}
	}
}

func (n *Node) track(j *job) { n.runningJobs = append(n.runningJobs, j) }

func (n *Node) untrack(j *job) {
	if i := slices.Index(n.runningJobs, j); i >= 0 {
		n.runningJobs = slices.Delete(n.runningJobs, i, i+1)
	}
}

// cancelQueued cancels the queued requests of a closed connection. Running requests keep their slot until they finish.
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
	openedAt     time.Duration
	lastPacketAt time.Duration
	responses    map[uint64][]byte // encoded response to each request; nil until it is sent
}

// udpFlowTimeout is how long a UDP flow is kept after its last packet.
const udpFlowTimeout = 30 * time.Second

// handleUDP processes a UDP request. The stack must be locked.
func (n *Node) handleUDP(p *wire.Packet, inner []byte) {
	f := n.udpFlows[p.Src]
	if f == nil {
		if !n.admit(p.Src) {
			if n.behaviour.Shed != "" || n.spec.Connections > 0 {
				n.sendProhibited(inner)
			}
			return
		}
		f = &udpFlow{openedAt: n.stack.Now(), responses: make(map[uint64][]byte)}
		n.udpFlows[p.Src] = f
	}
	f.lastPacketAt = n.stack.Now()
	var r message.Request
	if message.Decode(p.Payload, &r) != nil {
		n.counters.Malformed++
		return
	}
	n.registry.RecordRequest(FlowID{Caller: p.Src, Service: n.spec.Service})
	n.handleUDPRequest(f, &r, p.Src, p.Dst)
}

func (n *Node) handleUDPRequest(f *udpFlow, r *message.Request, caller, endpoint netip.AddrPort) {
	if cached, known := f.responses[r.ID]; known && r.CancelID == 0 {
		n.counters.Duplicates++
		if cached != nil {
			n.send(&wire.Packet{Kind: wire.UDP, Src: endpoint, Dst: caller, Payload: cached})
		}
		return
	}
	if r.CancelID == 0 {
		f.responses[r.ID] = nil
	}
	n.submit(r, f, func(response *message.Response) {
		b, err := message.EncodeDatagram(response)
		if err != nil {
			return
		}
		f.responses[r.ID] = b
		n.send(&wire.Packet{Kind: wire.UDP, Src: endpoint, Dst: caller, Payload: b})
	})
}

// expireUDPFlows removes idle UDP flows.
func (n *Node) expireUDPFlows() {
	for caller, f := range n.udpFlows {
		if n.stack.Now()-f.lastPacketAt > udpFlowTimeout {
			delete(n.udpFlows, caller)
		}
	}
}
