//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"github.com/marigoldwood/marigoldwood/admission"
	"github.com/marigoldwood/marigoldwood/forward"
	"github.com/marigoldwood/marigoldwood/internal/control"
	"github.com/marigoldwood/marigoldwood/internal/settings"
)

func newDaemon(s *settings.Settings, out logOutput) (*daemon, error) {
	wire.Build(
		provideMonotonicClock, provideSelf, provideLog, provideLogicalClock, provideRing, provideKeyring, provideRandom,
		provideExceptionQueue, provideLeaseHolder, provideEngine, providePlatform, provideProber, provideDataplane,
		provideHeartbeatSource, provideControl, provideMetrics, provideOperator, provideAdmission, newTransport,
		wire.Bind(new(forward.Admission), new(*admission.Controller)), wire.Bind(new(control.Traffic), new(*admission.Controller)),
		wire.Struct(new(controlDependencies), "*"), wire.Struct(new(daemon), "*"),
	)
	return nil, nil
}
