// Package daemon assembles and runs the balancer process.
package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldwood/marigoldwood/internal/control"
	"github.com/marigoldwood/marigoldwood/internal/dataplane"
	"github.com/marigoldwood/marigoldwood/internal/operator"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/internal/platform"
	"github.com/marigoldwood/marigoldwood/internal/prober"
	"github.com/marigoldwood/marigoldwood/internal/settings"
)

//go:generate go tool wire

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

// daemon holds the components of the balancer process.
type daemon struct {
	Settings  *settings.Settings
	Log       *logrus.Entry
	Loop      *control.Loop
	Dataplane *dataplane.Dataplane
	Transport *transport
	Operator  *operator.Server
	Platform  *platform.Client
	Prober    *prober.Prober
}

// Run runs the balancer until ctx ends, and then shuts it down gracefully. The log goes to out.
func Run(ctx context.Context, s *settings.Settings, out io.Writer) error {
	d, err := newDaemon(s, out)
	if err != nil {
		return err
	}
	return d.run(ctx.Done())
}

// run starts the components. When stop is closed, the control loop shuts down gracefully while the others still run, and its
// end stops them.
func (d *daemon) run(stop <-chan struct{}) error {
	listener, err := d.listenOperator()
	if err != nil {
		return err
	}
	defer d.Platform.Close()
	defer d.Prober.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		return d.Loop.Run(ctx, stop)
	})
	group.Go(func() error { return d.Dataplane.Run(ctx) })
	group.Go(func() error { return d.Transport.run(ctx, d.Loop) })
	group.Go(func() error { return d.Operator.Serve(ctx, listener) })
	group.Go(func() error { return d.Loop.ForwardProbeResults(ctx, d.Prober.Results()) })
	d.Log.WithField("address", d.Settings.Listen.Address).Info("daemon started")
	err = group.Wait()
	d.Log.Info("daemon stopped")
	return Error.Wrap(err)
}

// listenOperator opens the listener of the operator interface, with TLS unless the settings say plain.
func (d *daemon) listenOperator() (net.Listener, error) {
	address := netip.AddrPortFrom(d.Settings.Listen.Address, d.Settings.Listen.OperatorPort)
	listener, err := net.Listen("tcp", address.String())
	if err != nil || d.Settings.Operator.Plain {
		return listener, Error.Wrap(err)
	}
	credentials, err := peer.LoadCredentials(d.Settings.Operator.TLS)
	if err != nil {
		return nil, combineErrors(err, listener.Close())
	}
	return tls.NewListener(listener, credentials.ServerTLSConfig()), nil
}

func combineErrors(errors ...error) error { return errs.Combine(errors...) }
