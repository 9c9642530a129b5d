package admission

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
)

// fleet spreads flows over several controllers that share the targets through leases. Messages take messageDelay.
type fleet struct {
	s           *simulation
	controllers []*Controller
	holders     []*limits.Holder
	books       []*limits.Book
	owner       map[flow.Key]int
	messages    int
}

const messageDelay = 500 * time.Microsecond

func newFleet(n int, state *forward.ServiceState) *fleet {
	f := &fleet{owner: make(map[flow.Key]int)}
	l := state.Info.Limits
	settings := limits.LedgerSettings{Limit: uint32(l.SlotsPerTarget), ReservedUrgent: uint32(l.ReservedUrgentSlots), Linger: 2 * time.Second}
	resources := make(map[limits.ResourceID]limits.LedgerSettings)
	var members []membership.HostID
	for i := range n {
		members = append(members, membership.HostID(i+1))
	}
	for _, t := range state.Table.Targets {
		resources[limits.SlotsOf(t.DataCentre, t.Addr)] = settings
	}
	for _, m := range members {
		h, b := limits.NewHolder(m, 1), limits.NewBook(m)
		b.SetMembers(0, members)
		b.SetResources(0, resources)
		for _, t := range state.Table.Targets {
			r := limits.SlotsOf(t.DataCentre, t.Addr)
			h.Set(limits.Resource{ID: r, Group: SlotGroup(state.Table), Limit: settings.Limit, ReservedUrgent: settings.ReservedUrgent, Ledger: limits.LedgerOwner(members, r)})
		}
		f.holders, f.books, f.controllers = append(f.holders, h), append(f.books, b), append(f.controllers, New(h))
	}
	return f
}

// start makes holders and ledgers tick.
func (f *fleet) start(s *simulation) {
	f.s = s
	var tick func()
	tick = func() {
		for i, h := range f.holders {
			f.send(h)
			f.grant(i, f.books[i].Tick(s.now))
		}
		s.at(s.now+10*time.Millisecond, tick)
	}
	s.at(0, tick)
}

func (f *fleet) send(h *limits.Holder) {
	for _, m := range h.Tick(f.s.now) {
		f.messages++
		i := int(m.To - 1)
		f.s.at(f.s.now+messageDelay, func() { f.grant(i, f.books[i].Request(f.s.now, m.Request)) })
	}
}

func (f *fleet) grant(from int, grants []limits.Grant) {
	for _, g := range grants {
		f.messages++
		f.s.at(f.s.now+messageDelay, func() {
			f.holders[g.To-1].Granted(f.s.now, membership.HostID(from+1), g)
			f.s.release()
			f.send(f.holders[g.To-1])
		})
	}
}

func (f *fleet) Admit(now time.Duration, r forward.Request) forward.Verdict {
	i := int(r.Hash>>52) % len(f.controllers)
	v := f.controllers[i].Admit(now, r)
	f.owner[r.Key] = i
	f.send(f.holders[i])
	return v
}

func (f *fleet) Done(now time.Duration, s flow.ServiceID, t flow.TargetID, took time.Duration, refused bool) {
	i := f.owner[f.s.ended]
	delete(f.owner, f.s.ended)
	f.controllers[i].Done(now, s, t, took, refused)
	f.send(f.holders[i])
}
func (f *fleet) Cancel(time.Duration, flow.Key) {}
func (f *fleet) Poll(now time.Duration, dst []forward.Released) []forward.Released {
	for _, c := range f.controllers {
		dst = c.Poll(now, dst)
	}
	return dst
}

// Guards against leases that strand slots, move them too slowly between balancers, or let a target get more work than
// its limit, while demand swings.
func TestCrestWithLeases(t *testing.T) {
	seed := *seed
	for _, n := range []int{8, 1, 2} {
		var f *fleet
		r := offerCrest(seed, 0.15, 1, func(s *simulation, state *forward.ServiceState) forward.Admission {
			f = newFleet(n, state)
			f.start(s)
			return f
		})
		messages := float64(f.messages) / float64(n) / f.s.now.Seconds()
		t.Logf("seed %d, %d balancers: urgent in time %.4f  bulk in time %.3f  goodput %.3f  longest wait %s ms  normal after %s  refused urgent %d bulk %d  messages/s and balancer %.0f  overrun %d",
			seed, n, r.urgentInTime, r.bulkInTime, r.goodput, ms(r.longest), r.normal.Round(time.Millisecond), r.urgentRefused, r.bulkRefused, messages, r.overrun)
		if r.urgentInTime < 0.99 || r.goodput < 0.95 || r.normal > 2*time.Second || r.overrun > 0 {
			t.Errorf("%d balancers: goals missed: urgent in time 0.99, goodput 0.95, normal within 2 s, no overrun", n)
		}
		if !*compare {
			return
		}
	}
}
