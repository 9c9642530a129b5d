//go:build wireinject

package direct

import (
	"github.com/google/wire"

	"github.com/marigoldwood/marigoldwood/internal/settings"
)

func newBalancer(path settingsPath, s *settings.Direct, out logOutput) (*balancer, error) {
	wire.Build(
		provideClock, provideLog, provideRandom, provideTraffic, provideStore, provideReader, provideExchange, newSettingsWatch,
		provideRing, provideOperator,
		NewControl, newMetrics, wire.Struct(new(controlParts), "*"), wire.Struct(new(balancer), "*"),
	)
	return nil, nil
}
