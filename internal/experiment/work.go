package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// ingestSlots is the number of requests that a target of Ingest works on concurrently.
const ingestSlots = 3

// Ingest is a service of short urgent UDP requests at its present size: 15 targets with 3 slots.
func Ingest(work time.Duration) Service {
	return Service{
		Service: bundle.Service{
			Name: "ingest", Protocol: "udp", Class: bundle.ClassUrgent, Kind: bundle.KindShort,
			Limits: bundle.Limits{SlotsPerTarget: ingestSlots, ConnectionsPerTarget: connectionsPerTarget},
		},
		TargetCount: 15, Work: target.Work{ShortMicros: uint32(work.Microseconds())},
	}
}

// Archive is a service of short bulk UDP requests at its present size: 4 targets with 3 slots.
func Archive(work time.Duration) Service {
	s := Ingest(work)
	s.Name, s.Class, s.TargetCount = "archive", bundle.ClassBulk, 4
	return s
}

// serviceCapacity returns the requests a second that the targets of a service can answer.
func serviceCapacity(s *Service) float64 {
	return float64(s.TargetCount*s.Limits.SlotsPerTarget) * 1e6 / float64(s.Work.ShortMicros)
}

// requestLoad returns a load of requests to the service at position i of the deployment, counted from 1.
func requestLoad(name string, s *Service, position int, steps ...caller.Step) caller.Load {
	endpoint, _ := endpoints(position)
	return caller.Load{
		Name: name, Service: s.Name, Endpoint: endpoint, Protocol: s.Protocol, AnswerBytes: 100,
		DeadlineMS: uint32(s.DeadlineMS), RepeatMS: -1, Steps: steps,
	}
}

// runLoad sends a load, waits until it has been sent and its requests have ended, and returns its result.
func (r *Run) runLoad(ctx context.Context, l caller.Load) (caller.LoadResult, error) {
	const settleDelay = 1500 * time.Millisecond
	r.Progress.Step("%s", l.Name)
	if err := r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{l}}); err != nil {
		return caller.LoadResult{}, err
	}
	if err := sleep(ctx, loadDuration(&l)+settleDelay); err != nil {
		return caller.LoadResult{}, err
	}
	results, err := r.deployment.CallerResult(ctx)
	if err != nil {
		return caller.LoadResult{}, err
	}
	for i := range results.Loads {
		if results.Loads[i].Name == l.Name {
			return results.Loads[i], nil
		}
	}
	return caller.LoadResult{}, fmt.Errorf("no result for load %q", l.Name)
}

// headOfLine measures head-of-line blocking: the latency of short requests alone, and mixed with long ones.
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
		l, err := r.runLoad(ctx, requestLoad(fmt.Sprintf("short work alone, %d", i+1), &s, 1,
			caller.Step{Rate: rate, Seconds: seconds}))
		if err != nil {
			return err
		}
		alone = append(alone, l)
		mixedLoad := requestLoad(fmt.Sprintf("short and long work, %d", i+1), &s, 1, caller.Step{Rate: rate, Seconds: seconds})
		mixedLoad.LongFraction, mixedLoad.LongMicros = longWorkShare, uint32((longWorkFactor * work).Microseconds())
		if l, err = r.runLoad(ctx, mixedLoad); err != nil {
			return err
		}
		mixed = append(mixed, l)
	}
	for i := range rounds {
		aloneMS, mixedMS := float64(alone[i].Short.P99)/1000, float64(mixed[i].Short.P99)/1000
		r.Report.Show(fmt.Sprintf("p99 of short work alone, %d", i+1), aloneMS, "ms")
		r.Report.Show(fmt.Sprintf("p99 of short work beside long work, %d", i+1), mixedMS, "ms")
		r.Report.AtMost(fmt.Sprintf("ratio of p99, %d", i+1), ratio(mixedMS, aloneMS), 1.3, "")
	}
	return r.conclude(ctx)
}

// conclude ends a run in which every change is planned, and adds the goals of such runs.
func (r *Run) conclude(ctx context.Context) error {
	result, err := r.finish(ctx, 15*time.Second)
	if err != nil {
		return err
	}
	r.addPlannedGoals(&result)
	return nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Parameters of the demand peak: the demand rises by peakFactor within peakRise and stays for peakLength.
const (
	// A slot is idle from the end of one request until the next has passed the balancers, about 5 ms on a busy test
	// machine. With requests of 15 ms this idle time alone cost a quarter of the capacity.
	peakWork     = 100 * time.Millisecond
	peakFactor   = 6
	peakBefore   = 5.0 // seconds
	peakRise     = 3.0
	peakLength   = 20.0
	peakAfter    = 6.0
	peakRecovery = 2.0 // seconds from the end of the peak until service must be normal again
	peakDeadline = 500 // ms
)

// demandPeak measures a peak of demand within the capacity, and one beyond it together with bulk requests to another
// service.
func demandPeak(ctx context.Context, r *Run) error {
	ingest, archive := Ingest(peakWork), Archive(peakWork)
	ingest.DeadlineMS, archive.DeadlineMS = peakDeadline, peakDeadline
	if _, err := r.deploy(ctx, Options{Balancers: 3, Services: []Service{ingest, archive}}); err != nil {
		return err
	}
	capacity := serviceCapacity(&ingest)
	within, err := r.runLoad(ctx, requestLoad("crest within capacity", &ingest, 1, peakSteps(0.9*capacity)...))
	if err != nil {
		return err
	}
	r.Report.AtLeast("crest within capacity: in time", 100*ratio(float64(within.InTime), float64(within.Sent)), 99, "% of requests")
	bulkLoad := requestLoad("bulk work", &archive, 2, peakSteps(2*serviceCapacity(&archive))...)
	if err := r.deployment.StartCallers(ctx, caller.Plan{Loads: []caller.Load{bulkLoad}}); err != nil {
		return err
	}
	beyond, err := r.runLoad(ctx, requestLoad("crest beyond capacity", &ingest, 1, peakSteps(1.5*capacity)...))
	if err != nil {
		return err
	}
	from, to := peakBefore+peakRise+1, peakBefore+peakRise+peakLength
	beyondGoodput := goodput(&beyond, from, to)
	r.Report.Show("capacity of ingest", capacity, "requests/s")
	r.Report.AtLeast("crest beyond capacity: goodput", 100*beyondGoodput/capacity, 95, "% of capacity")
	r.Report.Show("crest beyond capacity: refused as not run", 100*ratio(float64(beyond.Refused), float64(beyond.Sent)), "% of requests")
	r.Report.Show("crest beyond capacity: not run by the target, deadline passed", 100*ratio(float64(beyond.Late), float64(beyond.Sent)), "% of requests")
	r.Report.AtLeast("in time from 2 s after the crest", 100*inTimeFraction(&beyond, to+peakRecovery, to+peakAfter),
		99, "% of requests")
	r.Report.plotLoad("within", &within)
	r.Report.plotLoad("beyond", &beyond)
	return r.conclude(ctx)
}

func peakSteps(peak float64) []caller.Step {
	base := peak / peakFactor
	return []caller.Step{
		{Rate: base, Seconds: peakBefore},
		{RampFrom: &base, Rate: peak, Seconds: peakRise},
		{Rate: peak, Seconds: peakLength},
		{Rate: base, Seconds: peakAfter},
	}
}

// slotsBetween returns the time slots of a load's results between two times in seconds.
func slotsBetween(l *caller.LoadResult, from, to float64) []caller.Slot {
	index := func(s float64) int { return min(int(s*1000/float64(l.SlotMS)), len(l.Slots)) }
	return l.Slots[index(from):index(to)]
}

// goodput returns the requests answered in time per second, counted at the time of the answer.
func goodput(l *caller.LoadResult, from, to float64) float64 {
	answered := 0.0
	for _, s := range slotsBetween(l, from, to) {
		answered += float64(s.Goodput)
	}
	return answered / (to - from)
}

// inTimeFraction returns the fraction of the requests answered in time, counted at the time when they were due.
func inTimeFraction(l *caller.LoadResult, from, to float64) float64 {
	var offered, answered float64
	for _, s := range slotsBetween(l, from, to) {
		offered += float64(s.Offered)
		answered += float64(s.InTime)
	}
	return ratio(answered, offered)
}
