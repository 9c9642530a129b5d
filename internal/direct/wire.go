//go:build wireinject

package direct

import (
	"github.com/google/wire"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/platform"
)

func newBalancer(path settingsPath, s *settings.Direct, out logOutput) (*balancer, error) {
	wire.Build(
		provideClock, provideLog, provideRandom, provideTraffic, provideStore, newStoreReader, provideExchange, newSettingsWatch,
		provideRing, provideOperator,
		NewControl, newMetrics, wire.Bind(new(directory.Source), new(*platform.Store)), wire.Struct(new(controlDeps), "*"),
		wire.Struct(new(balancer), "*"),
	)
	return nil, nil
}
