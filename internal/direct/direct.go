// Package direct assembles and runs a balancer whose targets reply to callers directly. Packets carry the token of their
// target, so that balancers share no state about flows.
package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldwood/marigoldwood/internal/buildinfo"
	"github.com/marigoldwood/marigoldwood/internal/logging"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/platform"
)

//go:generate go tool wire

// Error is the class of errors of this package.
var Error = errs.Class("direct")

// balancer holds the components of a balancer that run concurrently.
type balancer struct {
	Settings *settings.Direct
	Log      *logrus.Entry
	Control  *Control
	Traffic  *Traffic
	Store    *platform.Store
	Reader   *storeReader
	Exchange *Exchange
	Watch    *settingsWatch
	Operator *operator.Server
}

// logOutput is the destination of the log.
type logOutput io.Writer

// settingsPath is the path of the settings file.
type settingsPath string

// Run runs the balancer with the settings s, read from path, until ctx is done, and then shuts it down gracefully. It writes
// the log to out.
func Run(ctx context.Context, path string, s *settings.Direct, out io.Writer) error {
	if err := platform.CheckForwarding(s.Platform.Forwarding); err != nil {
		return err
	}
	bounded := logging.NewBoundedWriter(out)
	defer bounded.Close()
	b, err := newBalancer(settingsPath(path), s, bounded)
	if err != nil {
		return err
	}
	return b.run(ctx.Done())
}

// run starts all components and waits for them. When stop is closed the control goroutine returns first, and cancels the
// context of the others.
func (b *balancer) run(stop <-chan struct{}) error {
	defer b.Store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for address, handler := range map[netip.AddrPort]http.Handler{
		b.Settings.Listen.Readiness: b.Operator.ReadinessHandler(),
		b.Settings.Listen.Metrics:   b.Operator.Handler(),
	} {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			return Error.Wrap(err)
		}
		group.Go(func() error { return Error.Wrap(operator.Serve(ctx, listener, handler)) })
	}
	peers, err := net.Listen("tcp", b.Settings.Listen.Peers.String())
	if err != nil {
		return Error.Wrap(err)
	}
	group.Go(func() error { return b.Exchange.Serve(ctx, peers) })
	group.Go(func() error {
		defer cancel()
		return b.Control.Run(ctx, stop)
	})
	group.Go(func() error { return b.Traffic.Run(ctx) })
	group.Go(func() error { return b.Reader.run(ctx) })
	group.Go(func() error { return b.Watch.run(ctx) })
	b.Log.WithFields(logrus.Fields{
		"event": "start", "version": buildinfo.Version(), "packets": b.Settings.Listen.Packets, "store": b.Settings.Platform.Address,
		"data_centre": b.Settings.Host.DataCentre, "seeds": b.Settings.Peers.Seeds,
	}).Info("balancer started")
	err = group.Wait()
	b.Log.WithFields(logrus.Fields{"event": "stop"}).WithError(err).Info("balancer stopped")
	return err
}

func provideClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
