package steer

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
)

// queueLimit is the number of requests that may wait at a target, besides those in its slots, before it sheds work.
const queueLimit = 12

// maxFlowsPerTarget simulates balancers that place flows and exchange their loads once per interval, as 90 balancers
// with 40 targets do. Flows end after hold. It returns the most flows that one target had at a time.
func maxFlowsPerTarget(balancers, targets, perSecond int, interval, hold time.Duration) int {
	var all []directory.TargetEntry
	for i := range targets {
		all = append(all, knownTarget(i+1, local))
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
	var openFlows []flow
	counts, most, next := map[string]int{}, 0, interval
	step := time.Second / time.Duration(perSecond)
	for n := range 10 * perSecond {
		now := 10*time.Second + time.Duration(n)*step
		for len(openFlows) > 0 && openFlows[0].end <= now {
			f := openFlows[0]
			openFlows = openFlows[1:]
			counts[f.target.Name]--
			engines[f.balancer].Decide(&Packet{Caller: caller(f.n), Endpoint: endpoint, Finish: true, Token: f.target.Token}, now)
		}
		if now-10*time.Second >= next {
			next += interval
			exchangeLoads(engines, now)
		}
		b := n % balancers
		d := engines[b].Decide(openingPacket(n), now)
		counts[d.Target.Name]++
		most = max(most, counts[d.Target.Name])
		openFlows = append(openFlows, flow{n, b, d.Target, now + hold})
	}
	return most
}

// exchangeLoads gives every engine the loads that the others have observed.
func exchangeLoads(engines []*Engine, now time.Duration) {
	for i := range engines {
		updatePeerLoads(engines, i, now)
	}
}

// updatePeerLoads gives engine i the sum of the loads of the others, and whether one of them suspects the target, or finds it silent.
func updatePeerLoads(engines []*Engine, i int, now time.Duration) {
	sums := map[directory.Token]directory.Load{}
	for j, e := range engines {
		if j == i {
			continue
		}
		for _, l := range e.Loads(now) {
			sum := sums[l.Token]
			sums[l.Token] = directory.Load{
				Token: l.Token, Pending: sum.Pending + l.Pending, Open: sum.Open + l.Open, Suspect: sum.Suspect || l.Suspect,
				Silent: sum.Silent || l.Silent, Answers: sum.Answers + l.Answers,
				ExcessShort: sum.ExcessShort + l.ExcessShort, ShortVariance: sum.ShortVariance + l.ShortVariance,
				Times: addTimes(sum.Times, l.Times),
			}
		}
	}
	engines[i].SetPeerLoads(nameBusiest(sums, engines[i].View()))
}

func addTimes(a, b directory.AnswerTimes) directory.AnswerTimes {
	return directory.AnswerTimes{Answers: a.Answers + b.Answers, Excess: a.Excess + b.Excess}
}

// maxNamedTargets is the number of targets that a report to a balancer names, as in package relay.
const maxNamedTargets = 64

// nameBusiest returns the loads as a report holds them: the busiest targets, and the sum of the others by service.
func nameBusiest(sums map[directory.Token]directory.Load, v *View) directory.Loads {
	for token, l := range sums {
		if directory.IsUsual(l.Times.Values()) {
			l.Times = directory.AnswerTimes{}
			sums[token] = l
		}
	}
	loads := slices.SortedFunc(maps.Values(sums), func(a, b directory.Load) int {
		bySlow := cmp.Compare(min(b.Times.Answers, 1), min(a.Times.Answers, 1))
		return cmp.Or(bySlow, cmp.Compare(b.Pending, a.Pending), cmp.Compare(a.Token, b.Token))
	})
	named := min(len(loads), maxNamedTargets)
	rest := map[string]uint32{}
	for _, l := range loads[named:] {
		rest[v.ServiceOf(l.Token)] += uint32(l.Pending)
	}
	out := directory.Loads{Targets: loads[:named]}
	for _, l := range loads[:named] {
		if l.Times.Answers > 0 {
			out.Times = append(out.Times, directory.TargetTimes{Token: l.Token, Times: l.Times})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(rest)) {
		out.Rest = append(out.Rest, directory.ServiceLoad{Service: service, Pending: rest[service]})
	}
	return out
}

// Guards against balancers that all send their new flows to the target that was the least loaded one in the last
// reports. The load is half of 40 targets with 3 slots each.
func TestStaleLoadsDoNotConcentrateFlows(t *testing.T) {
	const hold = 60 * time.Millisecond
	if most := maxFlowsPerTarget(30, 40, 1000, 450*time.Millisecond, hold); most > 3+queueLimit {
		t.Errorf("a target had %d flows at a time, want at most %d, its slots and queue", most, 3+queueLimit)
	}
}

// Guards against a data centre that refuses or queues work while another one has free slots, and against paid traffic
// between data centres while the local targets have room.
func TestSpilloverToOtherDataCentre(t *testing.T) {
	targets := fiveTargets(local)
	for i := range 5 {
		targets = append(targets, knownTarget(i+11, remote))
	}
	for _, tt := range []struct {
		name          string
		waiting       int // requests that wait at each target of the local data centre
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
		e.SetPeerLoads(directory.Loads{Targets: others})
		if got := e.Decide(openingPacket(1), 0).Target.DataCentre == remote; got != tt.spill {
			t.Errorf("%s: flow goes to the other data centre %v, want %v", tt.name, got, tt.spill)
		}
	}
}

// Guards against a cold target that gets as much work as the others, or none at all.
func TestColdTargetGetsLess(t *testing.T) {
	targets := fiveTargets(local)
	targets[0].ColdUntil = time.Hour
	e, counts := engine(targets...), map[string]int{}
	for n := range 5000 {
		d := e.Decide(openingPacket(n), 0)
		counts[d.Target.Name]++
		acknowledge(e, n, d.Target.Token, 0)
		e.Decide(&Packet{Caller: caller(n), Endpoint: endpoint, Finish: true, Token: d.Target.Token}, 0)
	}
	if cold := counts[targets[0].Name]; cold == 0 || cold >= 5000/5 {
		t.Errorf("the cold target got %d of 5000 flows, want more than 0 and less than a fifth", cold)
	}
}

// Replays a release: one target has just started, and the others hold long flows that are idle. Guards against a new
// target that gets most of the new flows while it is slow.
func TestNewTargetGetsFairShare(t *testing.T) {
	targets := fiveTargets(local)
	var others []directory.Load
	for i := range targets[1:] {
		others = append(others, directory.Load{Token: targets[i+1].Token(), Open: 40})
	}
	const rounds, flows = 100, 20
	toNew := 0
	for round := range rounds {
		e := engine(targets...)
		e.SetPeerLoads(directory.Loads{Targets: others})
		for n := round * flows; n < (round+1)*flows; n++ {
			d := e.Decide(openingPacket(n), 0)
			acknowledge(e, n, d.Target.Token, 0)
			if d.Target.Name == targets[0].Name {
				toNew++
			}
		}
	}
	if share := float64(toNew) / (rounds * flows); share < 0.15 || share > 0.25 {
		t.Errorf("the new target got a share of %.2f of the flows, want 0.15 to 0.25", share)
	}
}

// Guards against a placement that ignores the weights of a route.
func TestWeightedServices(t *testing.T) {
	s := snapshot(knownTarget(1, local), knownTarget(2, local))
	s.Targets[1].Service = "archive"
	s.Configuration.Routes[0].Services = []directory.WeightedService{{Name: "ingest", Weight: 90}, {Name: "archive", Weight: 10}}
	e := NewEngine()
	e.SetView(NewView(s, local))
	archive := 0
	for n := range 5000 {
		if e.Decide(openingPacket(n), 0).Target.Service == "archive" {
			archive++
		}
	}
	if archive < 400 || archive > 600 {
		t.Errorf("%d of 5000 flows go to a service with a tenth of the weight, want 400 to 600", archive)
	}
}
