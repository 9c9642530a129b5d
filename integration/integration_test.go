// Package integration tests the real programs together over the loopback interface.
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

// binDir is the directory of the programs, which are built once for all tests.
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
	// Enough slots for all concurrent requests: a short stall of the machine must not lead to refusals, which these tests
	// count as failures. The experiments measure refusals due to exhausted slots.
	claims.Limits.SlotsPerTarget = 64
	orders := claims
	orders.Name, orders.Protocol = "orders", "tcp"
	return []experiment.Service{rounds, claims, orders}
}

// deploy starts a deployment with three balancers. Each deployment has its own ports, so that tests can run in parallel and
// the package finishes within 60 s.
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

// callPlan returns sessions, and UDP and TCP requests for the given time, over IPv4 and IPv6.
func callPlan(seconds float64) caller.Plan {
	var p caller.Plan
	for _, ipv6 := range []bool{false, true} {
		endpoint := func(service int) netip.AddrPort { return experiment.Endpoint(service, ipv6) }
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

func startCalls(t *testing.T, d *experiment.Deployment, seconds float64) {
	t.Helper()
	if err := d.StartCallers(t.Context(), callPlan(seconds)); err != nil {
		t.Fatal(err)
	}
}

func sleep(t *testing.T, length time.Duration) {
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

// finishCalls ends the callers, checks the invariants that must hold whatever fails, and returns the callers' result.
func finishCalls(t *testing.T, d *experiment.Deployment) caller.Result {
	t.Helper()
	r, err := d.FinishCallers(t.Context(), 15*time.Second)
	must(t, err)
	targets, err := d.TargetCounters(t.Context())
	must(t, err)
	for _, c := range targets {
		if c.Foreign+c.Malformed+c.LateFlows > 0 {
			t.Errorf("target %s of %s: %d foreign, %d malformed, %d late new flows; expected 0 of each",
				c.Address, c.Service, c.Foreign, c.Malformed, c.LateFlows)
		}
	}
	for _, l := range r.Loads {
		if l.Foreign+l.Mixed+l.RefusedAfterAnswer > 0 {
			t.Errorf("%s: expected no foreign, mixed or refused-after-answer requests, got %+v", l.Name, l.LoadCounts)
		}
	}
	for _, s := range r.Sessions {
		if s.Foreign+s.Mixed > 0 {
			t.Errorf("%s: expected no foreign or mixed answers, got %+v", s.Name, s.SessionCounts)
		}
	}
	runs, err := d.TargetSummary(t.Context())
	must(t, err)
	if len(runs.Twice) > 0 {
		t.Errorf("%d requests were executed twice, expected 0", len(runs.Twice))
	}
	falseRefusals, err := d.FalseRefusals(t.Context())
	must(t, err)
	if len(falseRefusals) > 0 {
		t.Errorf("%d flows were refused as not executed although a target had received them, expected 0", len(falseRefusals))
	}
	must(t, d.Check())
	return r
}

// expectUninterrupted fails the test unless every session ran to its end and every request was answered.
func expectUninterrupted(t *testing.T, r caller.Result) {
	t.Helper()
	for _, s := range r.Sessions {
		if s.Opened != s.Started || s.Closed != s.Started || s.Answers != s.Requests || s.Pushes == 0 || s.Reordered+s.Truncated > 0 {
			t.Errorf("%s: expected complete sessions, got %+v, reasons %v, samples %+v", s.Name, s.SessionCounts, s.Reasons, s.Samples)
		}
	}
	for _, l := range r.Loads {
		if l.Sent == 0 || l.OK != l.Sent {
			t.Errorf("%s: expected all requests answered, got %+v", l.Name, l.LoadCounts)
		}
	}
}

// Guards against a deployment that does not forward TCP and UDP over IPv4 and IPv6 in both directions.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	startCalls(t, d, 2)
	sleep(t, 2500*time.Millisecond)
	expectUninterrupted(t, finishCalls(t, d))
}

// Guards against sessions that break at a draining target, and against new flows placed on it, for every kind of drain notice.
func TestDrainedTarget(t *testing.T) {
	for i, by := range []experiment.DrainMethod{experiment.DrainByBundle, experiment.DrainByHostList, experiment.DrainByHealthEndpoint} {
		t.Run(string(by), func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			startCalls(t, d, 5)
			sleep(t, time.Second)
			for service := 1; service <= 3; service++ {
				must(t, d.Drain(t.Context(), experiment.TargetAddress(service, i+1), by))
			}
			sleep(t, 4500*time.Millisecond)
			expectUninterrupted(t, finishCalls(t, d))
		})
	}
}

// Guards against flows that break when a balancer is replaced as planned.
func TestReplacedBalancer(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	startCalls(t, d, 6)
	sleep(t, time.Second)
	must(t, d.Replace(t.Context(), d.Balancer(2)))
	sleep(t, 2*time.Second)
	expectUninterrupted(t, finishCalls(t, d))
}

// Guards against sessions that break when a balancer is killed. The goal is at most 0.1% of the open flows, which means none
// of these 200 sessions.
func TestKilledBalancer(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	startCalls(t, d, 6)
	sleep(t, 1500*time.Millisecond)
	must(t, d.Kill(t.Context(), d.Balancer(2), 500*time.Millisecond))
	sleep(t, 5*time.Second)
	r := finishCalls(t, d)
	for _, s := range r.Sessions {
		if s.Broken+s.Refused+s.OpenTimedOut > 0 {
			t.Errorf("%s: expected no lost sessions, got %+v, reasons %v, samples %+v", s.Name, s.SessionCounts, s.Reasons, s.Samples)
		}
	}
}

// Guards against a refusal by a target that is reported to the caller as another result, or that is retried on a target that
// executes the request.
func TestRefusingTargets(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	must(t, d.SetBehaviour(t.Context(), netip.Addr{}, target.Behaviour{Shed: target.ShedICMP}))
	p := callPlan(1)
	p.Sessions = nil
	must(t, d.StartCallers(t.Context(), p))
	sleep(t, 1500*time.Millisecond)
	r := finishCalls(t, d)
	for _, l := range r.Loads {
		if l.Sent == 0 || l.OK > 0 || l.Refused+l.Reset+l.TimedOut != l.Sent {
			t.Errorf("%s: expected all requests refused, reset or timed out, got %+v", l.Name, l.LoadCounts)
		}
	}
}
