package daemon

import (
	"cmp"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marigoldwood/marigoldwood/admission"
	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/buildinfo"
	"github.com/marigoldwood/marigoldwood/internal/control"
	"github.com/marigoldwood/marigoldwood/internal/dataplane"
	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/platform"
	"github.com/marigoldwood/marigoldwood/internal/prober"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/internal/telemetry"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/timeline"
)

// timelineEvents is the number of events that a process keeps.
const timelineEvents = 8192

// monotonic returns the time since process start.
type monotonic func() time.Duration

// logOutput is where the log goes.
type logOutput io.Writer

func provideMonotonic() monotonic {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// provideSelf describes this host. The wall clock as incarnation makes a restarted process newer than its earlier life.
func provideSelf(s *settings.Settings) membership.Member {
	address := func(port, listen uint16) netip.AddrPort {
		return netip.AddrPortFrom(s.Listen.Address, cmp.Or(port, listen))
	}
	return membership.Member{
		ID: membership.NewHostID(s.Host.Name), Name: s.Host.Name, DataCentre: s.Host.DataCentre,
		Data:        address(s.Advertise.DataPort, s.Listen.DataPort),
		Probe:       address(s.Advertise.ProbePort, s.Listen.ProbePort),
		Peer:        address(s.Advertise.PeerPort, s.Listen.PeerPort),
		Incarnation: uint64(time.Now().UnixNano()),
	}
}

func provideLog(s *settings.Settings, out logOutput) (*logrus.Entry, error) {
	return logging.New(out, s.Log.Level, s.Host.Name)
}

func provideClock() *timeline.Clock { return timeline.NewClock(time.Now) }

func provideRing(s *settings.Settings, clock *timeline.Clock) *timeline.Ring {
	return timeline.NewRing(s.Host.Name, clock, timelineEvents)
}

func provideKeyring(s *settings.Settings) (bundle.Keyring, error) { return s.Bundle.Keyring() }

// provideRandom seeds from the host and the incarnation, so that hosts that start together do not act in step.
func provideRandom(self membership.Member) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, self.Name)
	return rand.New(rand.NewPCG(h.Sum64(), self.Incarnation))
}

func provideExceptions() *control.ExceptionQueue { return &control.ExceptionQueue{} }

func provideHolder(self membership.Member) *limits.Holder {
	return limits.NewHolder(self.ID, self.Incarnation)
}

func provideEngine(s *settings.Settings, sink *control.ExceptionQueue, admission forward.Admission) *forward.Engine {
	return forward.NewEngine(forward.Config{Flows: s.Limits.Flows, Sink: sink, Admission: admission})
}

func providePlatform(s *settings.Settings) *platform.Client {
	return platform.New(s.Platform.Address, s.Platform.Timeout)
}

func provideProber() *prober.Prober { return prober.New(0, 0) }

// provideDataplane opens the data sockets. The control tick is read from the loop, which is made later.
func provideDataplane(s *settings.Settings, engine *forward.Engine, clock monotonic, turn *lastTurn) (*dataplane.Dataplane, error) {
	return dataplane.New(dataplane.Config{
		Listen: netip.AddrPortFrom(s.Listen.Address, s.Listen.DataPort), Workers: s.Traffic.Workers, Fabric: s.Fabric.Address, Engine: engine, Clock: clock, LastHeartbeat: turn.read,
	})
}

// lastTurn gives the data plane the time of the last control turn before the loop exists.
type lastTurn struct{ loop *control.Loop }

func provideLastTurn() *lastTurn { return &lastTurn{} }

func (t *lastTurn) read() time.Duration {
	if t.loop == nil {
		return 0
	}
	return t.loop.LastHeartbeat()
}

func provideControl(s *settings.Settings, self membership.Member, p parts, t *transport, d *dataplane.Dataplane, turn *lastTurn) *control.Loop {
	loop := control.New(control.Config{
		Self: self, Seeds: s.Peers.Seeds, Keys: p.Keys, ShutdownDeadline: s.Limits.ShutdownDeadline, FlowCapacity: s.Limits.Flows,
		ProgramVersion: buildinfo.Version(), Monotonic: p.Clock, Random: p.Random, Log: p.Log, Ring: p.Ring, LogicalClock: p.Logical,
		Engine: p.Engine, Dataplane: d, Transport: t, Platform: p.Platform, Prober: p.Prober, Holder: p.Holder,
		Traffic: p.Traffic, Exceptions: p.Exceptions,
	})
	turn.loop = loop
	return loop
}

// parts groups what the control loop is made of.
type parts struct {
	Keys       bundle.Keyring
	Clock      monotonic
	Random     *rand.Rand
	Log        *logrus.Entry
	Ring       *timeline.Ring
	Logical    *timeline.Clock
	Engine     *forward.Engine
	Platform   *platform.Client
	Prober     *prober.Prober
	Holder     *limits.Holder
	Traffic    control.Traffic
	Exceptions *control.ExceptionQueue
}

func provideMetrics(loop *control.Loop) (http.Handler, error) {
	return telemetry.NewHandler(loop.Status)
}

func provideOperator(loop *control.Loop, ring *timeline.Ring, metrics http.Handler) *operator.Server {
	return operator.NewServer(loop, ring, metrics)
}

func provideAdmission(holder *limits.Holder) *admission.Controller { return admission.New(holder) }
