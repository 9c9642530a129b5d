package steer

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// queue is the number of requests that may wait at a target before it sheds work, besides those in its slots.
const queue = 12

// fleetLoad plays balancers that place flows and hear of each other's load once in an interval, as at 90 balancers before
// 40 targets. Flows end after hold. It returns the most flows that one target had at a time.
func fleetLoad(balancers, targets, perSecond int, interval, hold time.Duration) int {
	var all []directory.TargetEntry
	for i := range targets {
		all = append(all, known(i+1, local))
	}
	var engines []*Engine
	for range balancers {
		engines = append(engines, engine(all...))
	}
	type flow struct {
		n, balancer int
		target      *Target
		end         time.Duration
	}
	var open []flow
	counts, most, next := map[string]int{}, 0, interval
	step := time.Second / time.Duration(perSecond)
	for n := range 10 * perSecond {
		now := 10*time.Second + time.Duration(n)*step
		for len(open) > 0 && open[0].end <= now {
			f := open[0]
			open = open[1:]
			counts[f.target.Name]--
			engines[f.balancer].Decide(&Packet{Caller: caller(f.n), Endpoint: endpoint, Finish: true, Token: f.target.Token}, now)
		}
		if now-10*time.Second >= next {
			next += interval
			shareLoads(engines, now)
		}
		b := n % balancers
		d := engines[b].Decide(opening(n), now)
		counts[d.Target.Name]++
		most = max(most, counts[d.Target.Name])
		open = append(open, flow{n, b, d.Target, now + hold})
	}
	return most
}

// shareLoads tells every engine what the others have seen.
func shareLoads(engines []*Engine, now time.Duration) {
	for i := range engines {
		shareLoad(engines, i, now)
	}
}

// shareLoad tells one engine what the others have seen: the sum of their loads, and whether one of them suspects the target.
func shareLoad(engines []*Engine, i int, now time.Duration) {
	sums := map[directory.Token]directory.Load{}
	for j, e := range engines {
		if j == i {
			continue
		}
		for _, l := range e.Loads(now) {
			sum := sums[l.Token]
			sums[l.Token] = directory.Load{Token: l.Token, Pending: sum.Pending + l.Pending, Open: sum.Open + l.Open, Suspect: sum.Suspect || l.Suspect}
		}
	}
	engines[i].SetOthers(slices.Collect(maps.Values(sums)))
}

// Guards against balancers that all send their new flows to the target that was the least loaded one at the last report.
// 40 targets of 3 slots are half used.
func TestOldLoadsDoNotHerd(t *testing.T) {
	const hold = 60 * time.Millisecond
	if most := fleetLoad(30, 40, 1000, 450*time.Millisecond, hold); most > 3+queue {
		t.Errorf("a target had %d flows at a time, it holds %d", most, 3+queue)
	}
}

// Guards against a data centre that refuses work or lets it wait while another one has free slots, and against bytes
// between data centres while the own targets have room.
func TestSpillOver(t *testing.T) {
	targets := five(local)
	for i := range 5 {
		targets = append(targets, known(i+11, remote))
	}
	for _, tt := range []struct {
		name          string
		waiting       int // flows that wait at each target of the own data centre
		remoteWaiting int
		spill         bool
	}{
		{"idle", 0, 0, false},
		{"slots in use", 3, 0, false},
		{"twice the slots wait", 8, 0, true},
		{"both busy", 8, 8, false},
	} {
		e := engine(targets...)
		var others []directory.Load
		for i := range targets {
			waiting := tt.waiting
			if targets[i].DataCentre == remote {
				waiting = tt.remoteWaiting
			}
			others = append(others, directory.Load{Token: targets[i].Token(), Pending: uint16(waiting)})
		}
		e.SetOthers(others)
		if got := e.Decide(opening(1), 0).Target.DataCentre == remote; got != tt.spill {
			t.Errorf("%s: to the other data centre %v, want %v", tt.name, got, tt.spill)
		}
	}
}

// Guards against a cold target that gets as much work as the others, and against one that gets none.
func TestColdTargetGetsLess(t *testing.T) {
	targets := five(local)
	targets[0].ColdUntil = time.Hour
	e, counts := engine(targets...), map[string]int{}
	for n := range 5000 {
		d := e.Decide(opening(n), 0)
		counts[d.Target.Name]++
		answered(e, n, d.Target.Token, 0)
		e.Decide(&Packet{Caller: caller(n), Endpoint: endpoint, Finish: true, Token: d.Target.Token}, 0)
	}
	if cold := counts[targets[0].Name]; cold == 0 || cold >= 5000/5 {
		t.Errorf("cold target got %d of 5000 flows", cold)
	}
}

// Replays a release: a target has just started, and the others hold long flows that wait for nothing. Guards against a new target that is
// given most of the new flows while it is slow.
func TestNewTargetIsNotFlooded(t *testing.T) {
	targets := five(local)
	var others []directory.Load
	for i := range targets[1:] {
		others = append(others, directory.Load{Token: targets[i+1].Token(), Open: 40})
	}
	const rounds, flows = 100, 20
	fresh := 0
	for round := range rounds {
		e := engine(targets...)
		e.SetOthers(others)
		for n := round * flows; n < (round+1)*flows; n++ {
			d := e.Decide(opening(n), 0)
			answered(e, n, d.Target.Token, 0)
			if d.Target.Name == targets[0].Name {
				fresh++
			}
		}
	}
	if share := float64(fresh) / (rounds * flows); share < 0.15 || share > 0.25 {
		t.Errorf("the new target got %.2f of the flows, a fifth is due", share)
	}
}

// Guards against a route's weights that are ignored.
func TestWeightedServices(t *testing.T) {
	s := snapshot(known(1, local), known(2, local))
	s.Targets[1].Service = "archive"
	s.Configuration.Routes[0].Services = []directory.WeightedService{{Name: "ingest", Weight: 90}, {Name: "archive", Weight: 10}}
	e := NewEngine()
	e.SetView(NewView(s, local))
	archive := 0
	for n := range 5000 {
		if e.Decide(opening(n), 0).Target.Service == "archive" {
			archive++
		}
	}
	if archive < 400 || archive > 600 {
		t.Errorf("%d of 5000 flows to a service with a tenth of the weight", archive)
	}
}
