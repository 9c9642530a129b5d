package experiment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// binDir is the directory of the stand-in program and of a link to this test binary, which runs the relay as the daemon.
var binDir string

func TestMain(m *testing.M) {
	if filepath.Base(os.Args[0]) == "marigoldwood" {
		os.Exit(relayMain())
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/marigoldwood/marigoldwood/cmd/marigoldwood-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	executable, err := os.Executable()
	if err != nil {
		panic(err)
	}
	if err := os.Symlink(executable, filepath.Join(dir, "marigoldwood")); err != nil {
		panic(err)
	}
	return m.Run()
}

type testProgress struct{ t *testing.T }

func (p testProgress) Step(format string, args ...any) { p.t.Logf(format, args...) }

// Guards against an experiment that attributes faults of the deployment itself to the load balancer: with a relay that
// loses nothing, the demo must meet its goals.
func TestDemoWithRelay(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 15 s")
	}
	out := t.TempDir()
	report, err := Do(t.Context(), "demo", Config{Bin: binDir, Out: out, Seed: 1, Scale: 0.2, Progress: testProgress{t}})
	var table strings.Builder
	_ = report.Print(&table)
	if err != nil {
		t.Fatalf("demo failed: %v\n%s", err, table.String())
	}
	for _, g := range report.Goals {
		// The relay ignores draining, so this goal is not checked here.
		if !g.Met && !strings.HasPrefix(g.Measure, "new flows at leaving targets") {
			t.Errorf("goal not met: %+v\n%s", g, table.String())
		}
	}
	if _, err := os.Stat(filepath.Join(out, "demo.json")); err != nil {
		t.Error(err)
	}
}

// Guards against processes that keep running after the start of a deployment has failed: the daemon executable is missing.
func TestFailedStartEndsProcesses(t *testing.T) {
	dir := t.TempDir()
	if err := os.Symlink(filepath.Join(binDir, "marigoldwood-standin"), filepath.Join(dir, "marigoldwood-standin")); err != nil {
		t.Fatal(err)
	}
	d := &Deployment{options: Options{Bin: dir, Dir: filepath.Join(dir, "run"), Balancers: 1, Services: []Service{Rounds()}, Progress: testProgress{t}}}
	p, err := reservePorts()
	if err != nil {
		t.Fatal(err)
	}
	d.init(p)
	if err := d.start(t.Context()); err == nil {
		t.Fatal("start succeeded without the daemon executable, want an error")
	}
	d.Stop()
	for _, p := range d.standIns {
		if err := syscall.Kill(p.cmd.Process.Pid, 0); err == nil {
			t.Errorf("%s still runs after Stop", p.name)
		}
	}
}

// Guards against a process that ignores SIGTERM and keeps running after stop.
func TestStopKillsAfterLimit(t *testing.T) {
	logPath := filepath.Join(t.TempDir(), "log")
	p, err := startProcess("ignores-sigterm", logPath, "sh", "-c", "trap '' TERM; while :; do sleep 0.1; done")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if err := p.stop(t.Context(), 300*time.Millisecond); err == nil || p.running() {
		t.Fatalf("stop returned %v and the process runs: %v, want an error and no running process", err, p.running())
	}
}
