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

// timelineCapacity is the number of latest events that the timeline of a process keeps.
const timelineCapacity = 8192

// monotonicClock returns the time since process start.
type monotonicClock func() time.Duration

// logOutput is the writer that the log is written to.
type logOutput io.Writer

func provideMonotonicClock() monotonicClock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// provideSelf returns the member that describes this host. Its incarnation is the wall-clock time, so that a restarted
// process has a higher incarnation than before.
func provideSelf(s *settings.Settings) membership.Member {
	address := func(advertised, listen uint16) netip.AddrPort {
		return netip.AddrPortFrom(s.Listen.Address, cmp.Or(advertised, listen))
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

func provideLogicalClock() *timeline.Clock { return timeline.NewClock(time.Now) }

func provideRing(s *settings.Settings, clock *timeline.Clock) *timeline.Ring {
	return timeline.NewRing(s.Host.Name, clock, timelineCapacity)
}

func provideKeyring(s *settings.Settings) (bundle.Keyring, error) { return s.Bundle.Keyring() }

// provideRandom returns a generator seeded by the host's name and incarnation, so that hosts that start at the same time do
// not act in lockstep.
func provideRandom(self membership.Member) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, self.Name)
	return rand.New(rand.NewPCG(h.Sum64(), self.Incarnation))
}

func provideExceptionQueue() *control.ExceptionQueue { return &control.ExceptionQueue{} }

func provideLeaseHolder(self membership.Member) *limits.Holder {
	return limits.NewHolder(self.ID, self.Incarnation)
}

func provideEngine(s *settings.Settings, sink *control.ExceptionQueue, admission forward.Admission) *forward.Engine {
	return forward.NewEngine(forward.Config{Flows: s.Limits.Flows, Sink: sink, Admission: admission})
}

func providePlatform(s *settings.Settings) *platform.Client {
	return platform.New(s.Platform.Address, s.Platform.Timeout)
}

func provideProber() *prober.Prober { return prober.New(0, 0) }

// provideDataplane opens the data sockets. The data plane reads the heartbeat from the control loop, which is created later.
func provideDataplane(
	s *settings.Settings, engine *forward.Engine, clock monotonicClock, heartbeat *heartbeatSource,
) (*dataplane.Dataplane, error) {
	return dataplane.New(dataplane.Config{
		Listen: netip.AddrPortFrom(s.Listen.Address, s.Listen.DataPort), Workers: s.Traffic.Workers, Fabric: s.Fabric.Address,
		Engine: engine, Clock: clock, LastHeartbeat: heartbeat.read,
	})
}

// heartbeatSource lets the data plane, which is created before the control loop, read the loop's heartbeat.
type heartbeatSource struct{ loop *control.Loop }

func provideHeartbeatSource() *heartbeatSource { return &heartbeatSource{} }

// read returns the time of the last iteration of the control loop, or 0 before the loop is created.
func (h *heartbeatSource) read() time.Duration {
	if h.loop == nil {
		return 0
	}
	return h.loop.LastHeartbeat()
}

func provideControl(
	s *settings.Settings, self membership.Member, deps controlDependencies, t *transport, d *dataplane.Dataplane,
	heartbeat *heartbeatSource,
) *control.Loop {
	loop := control.New(control.Config{
		Self: self, Seeds: s.Peers.Seeds, Keys: deps.Keys,
		ShutdownDeadline: s.Limits.ShutdownDeadline, FlowCapacity: s.Limits.Flows,
		ProgramVersion: buildinfo.Version(), Monotonic: deps.Monotonic, Random: deps.Random, Log: deps.Log, Ring: deps.Ring,
		LogicalClock: deps.LogicalClock, Engine: deps.Engine, Dataplane: d, Transport: t, Platform: deps.Platform,
		Prober: deps.Prober, Holder: deps.Holder, Traffic: deps.Traffic, Exceptions: deps.Exceptions,
	})
	heartbeat.loop = loop
	return loop
}

// controlDependencies groups dependencies of the control loop.
type controlDependencies struct {
	Keys         bundle.Keyring
	Monotonic    monotonicClock
	Random       *rand.Rand
	Log          *logrus.Entry
	Ring         *timeline.Ring
	LogicalClock *timeline.Clock
	Engine       *forward.Engine
	Platform     *platform.Client
	Prober       *prober.Prober
	Holder       *limits.Holder
	Traffic      control.Traffic
	Exceptions   *control.ExceptionQueue
}

func provideMetrics(loop *control.Loop) (http.Handler, error) {
	return telemetry.NewHandler(loop.Status)
}

func provideOperator(loop *control.Loop, ring *timeline.Ring, metrics http.Handler) *operator.Server {
	return operator.NewServer(loop, ring, metrics)
}

func provideAdmission(holder *limits.Holder) *admission.Controller { return admission.New(holder) }
