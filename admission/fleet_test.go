package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
)

// fleet spreads flows over several controllers that share targets through leases. A message takes messageDelay.
type fleet struct {
	sim         *simulation
	controllers []*Controller
	holders     []*limits.Holder
	ledgerSets  []*limits.LedgerSet
	owner       map[flow.Key]int
	messages    int
}

const messageDelay = 500 * time.Microsecond

func newFleet(n int, state *forward.ServiceState) *fleet {
	f := &fleet{owner: make(map[flow.Key]int)}
	l := state.Info.Limits
	settings := limits.LedgerSettings{
		Limit: uint32(l.SlotsPerTarget), ReservedUrgent: uint32(l.ReservedUrgentSlots), Linger: 2 * time.Second,
	}
	resources := make(map[limits.ResourceID]limits.LedgerSettings)
	var members []membership.HostID
	for i := range n {
		members = append(members, membership.HostID(i+1))
	}
	for _, t := range state.Table.Targets {
		resources[limits.SlotResource(t.DataCentre, t.Addr)] = settings
	}
	for _, m := range members {
		h, b := limits.NewHolder(m, 1), limits.NewLedgerSet(m)
		b.SetMembers(0, members)
		b.SetResources(0, resources)
		for _, t := range state.Table.Targets {
			r := limits.SlotResource(t.DataCentre, t.Addr)
			h.Set(limits.Resource{
				ID: r, Group: SlotGroup(state.Table), Limit: settings.Limit, ReservedUrgent: settings.ReservedUrgent,
				Ledger: limits.LedgerOwner(members, r),
			})
		}
		f.holders, f.ledgerSets, f.controllers = append(f.holders, h), append(f.ledgerSets, b), append(f.controllers, New(h))
	}
	return f
}

// start ticks holders and ledgers every 10 ms.
func (f *fleet) start(s *simulation) {
	f.sim = s
	var tickAll func()
	tickAll = func() {
		for i, h := range f.holders {
			f.sendRequests(h)
			f.sendGrants(i, f.ledgerSets[i].Tick(s.now))
		}
		s.at(s.now+10*time.Millisecond, tickAll)
	}
	s.at(0, tickAll)
}

func (f *fleet) sendRequests(h *limits.Holder) {
	for _, m := range h.Tick(f.sim.now) {
		f.messages++
		i := int(m.To - 1)
		f.sim.at(f.sim.now+messageDelay, func() { f.sendGrants(i, f.ledgerSets[i].HandleRequest(f.sim.now, m.Request)) })
	}
}

func (f *fleet) sendGrants(from int, grants []limits.Grant) {
	for _, g := range grants {
		f.messages++
		f.sim.at(f.sim.now+messageDelay, func() {
			f.holders[g.To-1].HandleGrant(f.sim.now, membership.HostID(from+1), g)
			f.sim.deliverVerdicts()
			f.sendRequests(f.holders[g.To-1])
		})
	}
}

func (f *fleet) Admit(now time.Duration, r forward.Request) forward.Verdict {
	i := int(r.Hash>>52) % len(f.controllers)
	v := f.controllers[i].Admit(now, r)
	f.owner[r.Key] = i
	f.sendRequests(f.holders[i])
	return v
}

func (f *fleet) Done(now time.Duration, s flow.ServiceID, t flow.TargetID, took time.Duration, refused bool) {
	i := f.owner[f.sim.lastDone]
	delete(f.owner, f.sim.lastDone)
	f.controllers[i].Done(now, s, t, took, refused)
	f.sendRequests(f.holders[i])
}
func (f *fleet) Cancel(time.Duration, flow.Key) {}
func (f *fleet) Poll(now time.Duration, dst []forward.Released) []forward.Released {
	for _, c := range f.controllers {
		dst = c.Poll(now, dst)
	}
	return dst
}

// Guards against leases that leave slots unused, move them too slowly between balancers, or let a target get more work than
// its limit, while demand rises and falls.
func TestDemandPeakWithLeases(t *testing.T) {
	seed := *seed
	for _, n := range []int{8, 1, 2} {
		var f *fleet
		r := simulateDemandPeak(seed, 0.15, 1, func(s *simulation, state *forward.ServiceState) forward.Admission {
			f = newFleet(n, state)
			f.start(s)
			return f
		})
		messages := float64(f.messages) / float64(n) / f.sim.now.Seconds()
		t.Logf("seed %d, %d balancers: in time: urgent %.4f, bulk %.3f; goodput %.3f; longest wait %s ms; recovery %s; refused: urgent %d, bulk %d; messages/s per balancer %.0f; overruns %d",
			seed, n, r.urgentInTime, r.bulkInTime, r.goodput, ms(r.longestWait), r.recovery.Round(time.Millisecond),
			r.urgentRefused, r.bulkRefused, messages, r.overruns)
		if r.urgentInTime < 0.99 || r.goodput < 0.95 || r.recovery > 2*time.Second || r.overruns > 0 {
			t.Errorf("%d balancers: want urgent in time 0.99, goodput 0.95 or more, recovery within 2 s, no overruns", n)
		}
		if !*compare {
			return
		}
	}
}
