package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// ingestSlots is the number of requests that an ingest target works on at once.
const ingestSlots = 3

// Ingest is a service of short urgent UDP requests of today's size: 15 targets with 3 slots.
func Ingest(work time.Duration) Service {
	return Service{
		Service: bundle.Service{
			Name: "ingest", Protocol: "udp", Class: bundle.ClassUrgent, Kind: bundle.KindShort,
			Limits: bundle.Limits{SlotsPerTarget: ingestSlots, ConnectionsPerTarget: connectionLimit},
		},
		Count: 15, Work: target.Work{ShortMicros: uint32(work.Microseconds())},
	}
}

// Archive is a service of short bulk UDP requests of today's size: 4 targets with 3 slots.
func Archive(work time.Duration) Service {
	s := Ingest(work)
	s.Name, s.Class, s.Count = "archive", bundle.ClassBulk, 4
	return s
}

// capacity returns the requests a second that the targets of a service can answer.
func capacityOf(s *Service) float64 {
	return float64(s.Count*s.Limits.SlotsPerTarget) * 1e6 / float64(s.Work.ShortMicros)
}

// request returns a stream of requests to the service at position i of the deployment, from 1.
func request(name string, s *Service, i int, steps ...caller.Step) caller.Load {
	four, _ := endpoints(i)
	return caller.Load{
		Name: name, Service: s.Name, Endpoint: four, Protocol: s.Protocol, AnswerBytes: 100,
		DeadlineMS: uint32(s.DeadlineMS), RepeatMS: -1, Steps: steps,
	}
}

// runLoad sends a load, waits until it has been sent and its requests have ended, and returns its result.
func (r *Run) runLoad(ctx context.Context, l caller.Load) (caller.LoadResult, error) {
	const settle = 1500 * time.Millisecond
	r.Progress.Step("%s", l.Name)
	if err := r.deployment.Call(ctx, caller.Plan{Loads: []caller.Load{l}}); err != nil {
		return caller.LoadResult{}, err
	}
	if err := sleep(ctx, loadDuration(&l)+settle); err != nil {
		return caller.LoadResult{}, err
	}
	all, err := r.deployment.Calls(ctx)
	if err != nil {
		return caller.LoadResult{}, err
	}
	for i := range all.Loads {
		if all.Loads[i].Name == l.Name {
			return all.Loads[i], nil
		}
	}
	return caller.LoadResult{}, fmt.Errorf("no result for load %q", l.Name)
}

// headOfLine compares short work with and without long work beside it.
func headOfLine(ctx context.Context, r *Run) error {
	const (
		work    = 5 * time.Millisecond
		rate    = 500.0
		seconds = 15
		rounds  = 2
	)
	s := Ingest(work)
	if _, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{s}}); err != nil {
		return err
	}
	var alone, mixed []caller.LoadResult
	for i := range rounds {
		l, err := r.runLoad(ctx, request(fmt.Sprintf("short work alone, %d", i+1), &s, 1, caller.Step{Rate: rate, Seconds: seconds}))
		if err != nil {
			return err
		}
		alone = append(alone, l)
		both := request(fmt.Sprintf("short and long work, %d", i+1), &s, 1, caller.Step{Rate: rate, Seconds: seconds})
		both.LongFraction, both.LongMicros = longWorkShare, uint32((longWorkFactor * work).Microseconds())
		if l, err = r.runLoad(ctx, both); err != nil {
			return err
		}
		mixed = append(mixed, l)
	}
	for i := range rounds {
		a, m := float64(alone[i].Short.P99)/1000, float64(mixed[i].Short.P99)/1000
		r.Report.Show(fmt.Sprintf("p99 of short work alone, %d", i+1), a, "ms")
		r.Report.Show(fmt.Sprintf("p99 of short work beside long work, %d", i+1), m, "ms")
		r.Report.AtMost(fmt.Sprintf("ratio of p99, %d", i+1), ratio(m, a), 1.3, "")
	}
	return r.conclude(ctx)
}

// conclude ends a run without planned changes and adds the goals that always hold.
func (r *Run) conclude(ctx context.Context) error {
	o, err := r.finish(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	r.addPlannedGoals(&o)
	return nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Figures of the crest: the demand rises by crestFactor within crestRise and stays for crestLength.
const (
	// A slot is idle from the end of one request until the next has come through the balancers, about 5 ms on a busy
	// test machine. With work of 15 ms this alone took a quarter of the capacity.
	crestWork     = 100 * time.Millisecond
	crestFactor   = 6
	crestBefore   = 5.0 // seconds
	crestRise     = 3.0
	crestLength   = 20.0
	crestAfter    = 6.0
	crestRecovery = 2.0 // seconds after which service is normal again
	crestDeadline = 500 // ms
)

// crest measures a peak of demand within the capacity, and one beyond it, beside bulk work of another service.
func crest(ctx context.Context, r *Run) error {
	ingest, archive := Ingest(crestWork), Archive(crestWork)
	ingest.DeadlineMS, archive.DeadlineMS = crestDeadline, crestDeadline
	if _, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{ingest, archive}}); err != nil {
		return err
	}
	capacity := capacityOf(&ingest)
	within, err := r.runLoad(ctx, request("crest within capacity", &ingest, 1, crestSteps(0.9*capacity)...))
	if err != nil {
		return err
	}
	r.Report.AtLeast("crest within capacity: in time", 100*ratio(float64(within.InTime), float64(within.Sent)), 99, "% of requests")
	bulk := request("bulk work", &archive, 2, crestSteps(2*capacityOf(&archive))...)
	if err := r.deployment.Call(ctx, caller.Plan{Loads: []caller.Load{bulk}}); err != nil {
		return err
	}
	beyond, err := r.runLoad(ctx, request("crest beyond capacity", &ingest, 1, crestSteps(1.5*capacity)...))
	if err != nil {
		return err
	}
	from, to := crestBefore+crestRise+1, crestBefore+crestRise+crestLength
	goodput := goodput(&beyond, from, to)
	r.Report.Show("capacity of ingest", capacity, "requests/s")
	r.Report.AtLeast("crest beyond capacity: goodput", 100*goodput/capacity, 95, "% of capacity")
	r.Report.Show("crest beyond capacity: refused as not run", 100*ratio(float64(beyond.Refused), float64(beyond.Sent)), "% of requests")
	r.Report.Show("crest beyond capacity: not run by the target, deadline passed", 100*ratio(float64(beyond.Late), float64(beyond.Sent)), "% of requests")
	r.Report.AtLeast("in time from 2 s after the crest", 100*inTime(&beyond, to+crestRecovery, to+crestAfter), 99, "% of requests")
	r.Report.plotLoad("within", &within)
	r.Report.plotLoad("beyond", &beyond)
	return r.conclude(ctx)
}

func crestSteps(peak float64) []caller.Step {
	base := peak / crestFactor
	return []caller.Step{
		{Rate: base, Seconds: crestBefore},
		{RampFrom: &base, Rate: peak, Seconds: crestRise},
		{Rate: peak, Seconds: crestLength},
		{Rate: base, Seconds: crestAfter},
	}
}

// slots returns the part of a load's time series between two times in seconds.
func slots(l *caller.LoadResult, from, to float64) []caller.Slot {
	at := func(s float64) int { return min(int(s*1000/float64(l.SlotMS)), len(l.Slots)) }
	return l.Slots[at(from):at(to)]
}

// goodput returns the requests a second that were answered in time, by the time of the answer.
func goodput(l *caller.LoadResult, from, to float64) float64 {
	sum := 0.0
	for _, s := range slots(l, from, to) {
		sum += float64(s.Goodput)
	}
	return sum / (to - from)
}

// inTime returns the part of the requests that were answered in time, by the time when they were due.
func inTime(l *caller.LoadResult, from, to float64) float64 {
	var offered, ok float64
	for _, s := range slots(l, from, to) {
		offered += float64(s.Offered)
		ok += float64(s.InTime)
	}
	return ratio(ok, offered)
}
