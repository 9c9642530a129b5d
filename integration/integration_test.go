// Package integration runs the real programs against each other on loopback.
package integration

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/experiment"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

const seed = 1

// binDir holds the programs, built once.
var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "integration")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	for _, name := range []string{"marigoldwood", "marigoldwood-standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "github.com/marigoldwood/marigoldwood/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Printf("build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

type progress struct{ t *testing.T }

func (p progress) Step(format string, args ...any) { p.t.Logf(format, args...) }

// services returns a TCP session service, and short requests over TCP and UDP.
func services() []experiment.Service {
	rounds := experiment.Rounds()
	rounds.TargetCount = 5
	claims := experiment.Claims()
	// Enough slots for all requests at once: a machine that stands still for a moment must not turn into a refusal, which
	// these tests count as a fault. Refusals for want of slots are measured by the experiments.
	claims.Limits.SlotsPerTarget = 64
	orders := claims
	orders.Name, orders.Protocol = "orders", "tcp"
	return []experiment.Service{rounds, claims, orders}
}

// deploy starts three balancers. Deployments have ports of their own, and the tests run side by side so that the package
// ends within 60 s.
func deploy(t *testing.T) *experiment.Deployment {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Logf("seed %d", seed)
	d, err := experiment.Start(t.Context(), experiment.Options{
		Bin: binDir, Dir: t.TempDir(), Seed: seed, Balancers: 3, Services: services(), Progress: progress{t},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// sessions and requests over IPv4 and IPv6, for the given time.
func plan(seconds float64) caller.Plan {
	var p caller.Plan
	for _, six := range []bool{false, true} {
		endpoint := func(service int) netip.AddrPort { return experiment.Endpoint(service, six) }
		p.Sessions = append(p.Sessions, caller.Sessions{
			Name: "sessions", Service: "rounds", Endpoint: endpoint(1), Count: 100, IntervalMS: 400, FeedMS: 200, AnswerBytes: 2000,
		})
		for i, protocol := range []string{"udp", "tcp"} {
			name := []string{"claims", "orders"}[i]
			p.Loads = append(p.Loads, caller.Load{
				Name: name, Service: name, Endpoint: endpoint(2 + i), Protocol: protocol, AnswerBytes: 1000,
				Steps: []caller.Step{{Rate: 100, Seconds: seconds}},
			})
		}
	}
	return p
}

func start(t *testing.T, d *experiment.Deployment, seconds float64) {
	t.Helper()
	if err := d.StartCallers(t.Context(), plan(seconds)); err != nil {
		t.Fatal(err)
	}
}

func pause(t *testing.T, length time.Duration) {
	t.Helper()
	select {
	case <-time.After(length):
	case <-t.Context().Done():
		t.Fatal(t.Context().Err())
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// results ends the callers and checks what must hold whatever fails.
func results(t *testing.T, d *experiment.Deployment) caller.Result {
	t.Helper()
	r, err := d.FinishCallers(t.Context(), 15*time.Second)
	must(t, err)
	targets, err := d.TargetCounters(t.Context())
	must(t, err)
	for _, c := range targets {
		if c.Foreign+c.Malformed+c.LateFlows > 0 {
			t.Errorf("target %s of %s: %d foreign, %d malformed, %d late new flows", c.Address, c.Service, c.Foreign, c.Malformed, c.LateFlows)
		}
	}
	for _, l := range r.Loads {
		if l.Foreign+l.Mixed+l.RefusedAfterAnswer > 0 {
			t.Errorf("%s: %+v", l.Name, l.LoadCounts)
		}
	}
	for _, s := range r.Sessions {
		if s.Foreign+s.Mixed > 0 {
			t.Errorf("%s: %+v", s.Name, s.SessionCounts)
		}
	}
	runs, err := d.TargetSummary(t.Context())
	must(t, err)
	if len(runs.Twice) > 0 {
		t.Errorf("%d requests were run twice", len(runs.Twice))
	}
	wrong, err := d.FalseRefusals(t.Context())
	must(t, err)
	if len(wrong) > 0 {
		t.Errorf("%d flows were refused as not run although a target had them", len(wrong))
	}
	must(t, d.Check())
	return r
}

// unbroken checks that every session went on and every request was answered.
func unbroken(t *testing.T, r caller.Result) {
	t.Helper()
	for _, s := range r.Sessions {
		if s.Opened != s.Started || s.Closed != s.Started || s.Answers != s.Requests || s.Pushes == 0 || s.Reordered+s.Truncated > 0 {
			t.Errorf("%s: %+v, reasons %v, samples %+v", s.Name, s.SessionCounts, s.Reasons, s.Samples)
		}
	}
	for _, l := range r.Loads {
		if l.Sent == 0 || l.OK != l.Sent {
			t.Errorf("%s: %+v", l.Name, l.LoadCounts)
		}
	}
}

// Guards against a deployment that does not pass both protocols over both IP versions, in both directions.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	start(t, d, 2)
	pause(t, 2500*time.Millisecond)
	unbroken(t, results(t, d))
}

// Guards against sessions cut off, and new flows placed, at a target that leaves, whichever way the notice comes.
func TestDrainedTarget(t *testing.T) {
	for i, by := range []experiment.DrainMethod{experiment.DrainByBundle, experiment.DrainByHostList, experiment.DrainByHealthEndpoint} {
		t.Run(string(by), func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			start(t, d, 5)
			pause(t, time.Second)
			for service := 1; service <= 3; service++ {
				must(t, d.Drain(t.Context(), experiment.TargetAddress(service, i+1), by))
			}
			pause(t, 4500*time.Millisecond)
			unbroken(t, results(t, d))
		})
	}
}

// Guards against flows cut off by a planned replacement of a balancer.
func TestReplacedBalancer(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	start(t, d, 6)
	pause(t, time.Second)
	must(t, d.Replace(t.Context(), d.Balancer(2)))
	pause(t, 2*time.Second)
	unbroken(t, results(t, d))
}

// Guards against sessions lost with a killed balancer: the goal is at most 0.1% of the open flows, so of 200 sessions
// none.
func TestKilledBalancer(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	start(t, d, 6)
	pause(t, 1500*time.Millisecond)
	must(t, d.Kill(t.Context(), d.Balancer(2), 500*time.Millisecond))
	pause(t, 5*time.Second)
	r := results(t, d)
	for _, s := range r.Sessions {
		if s.Broken+s.Refused+s.OpenTimedOut > 0 {
			t.Errorf("%s: %+v, reasons %v, samples %+v", s.Name, s.SessionCounts, s.Reasons, s.Samples)
		}
	}
}

// Guards against a target's refusal that is reported as something else, or is retried on a target that runs it.
func TestRefusingTargets(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	must(t, d.SetBehaviour(t.Context(), netip.Addr{}, target.Behaviour{Shed: target.ShedICMP}))
	p := plan(1)
	p.Sessions = nil
	must(t, d.StartCallers(t.Context(), p))
	pause(t, 1500*time.Millisecond)
	r := results(t, d)
	for _, l := range r.Loads {
		if l.Sent == 0 || l.OK > 0 || l.Refused+l.Reset+l.TimedOut != l.Sent {
			t.Errorf("%s: %+v", l.Name, l.LoadCounts)
		}
	}
}
