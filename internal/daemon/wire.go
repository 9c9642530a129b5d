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
		provideMonotonic, provideSelf, provideLog, provideClock, provideRing, provideKeyring, provideRandom, provideExceptions,
		provideHolder, provideEngine, providePlatform, provideProber, provideDataplane, provideLastTurn, provideControl,
		provideMetrics, provideOperator, provideAdmission, newTransport,
		wire.Bind(new(forward.Admission), new(*admission.Controller)), wire.Bind(new(control.Traffic), new(*admission.Controller)),
		wire.Struct(new(parts), "*"), wire.Struct(new(daemon), "*"),
	)
	return nil, nil
}
