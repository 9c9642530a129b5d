//go:build wireinject

package direct

import (
	"io"

	"github.com/google/wire"

	"github.com/marigoldwood/marigoldwood/internal/settings"
)

func newBalancer(path settingsPath, s *settings.Direct, out io.Writer) (*balancer, error) {
	wire.Build(
		provideClock, provideLog, provideRandom, provideTraffic, provideStore, provideReader, provideExchange, newSettingsWatch,
		provideRing, provideOperator,
		NewControl, newMetrics, wire.Struct(new(controlParts), "*"), wire.Struct(new(balancer), "*"),
	)
	return nil, nil
}
