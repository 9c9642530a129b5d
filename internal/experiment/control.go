package experiment

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/standin/caller"
	"github.com/marigoldwood/marigoldwood/internal/standin/fabric"
	"github.com/marigoldwood/marigoldwood/internal/standin/platform"
	"github.com/marigoldwood/marigoldwood/internal/standin/target"
)

// Publish applies a change to the bundle, signs it with the next version and sends it to the platform.
func (d *Deployment) Publish(ctx context.Context, change func(*bundle.Document)) (version uint64, err error) {
	d.document.Version++
	change(d.document)
	return d.document.Version, d.publish(ctx)
}

func (d *Deployment) publish(ctx context.Context) error {
	payload, err := yaml.Marshal(d.document)
	if err != nil {
		return err
	}
	if _, err := bundle.Parse(payload); err != nil {
		return fmt.Errorf("invalid bundle of the experiment: %w", err)
	}
	signed, err := d.key.sign(payload)
	if err != nil {
		return err
	}
	d.publishedAt[d.document.Version] = time.Now()
	return put(ctx, d.ports.at(platformAddress, portControl), "/bundle", signed)
}

// WaitInForce waits until every running balancer has the version, or a later one, in force.
func (d *Deployment) WaitInForce(ctx context.Context, version uint64, limit time.Duration) error {
	return waitFor(ctx, limit, func(ctx context.Context) error {
		for _, b := range d.Running() {
			s, err := d.Status(ctx, b)
			if err != nil {
				return err
			}
			if s.Bundle.InForce < version {
				return fmt.Errorf("%s has version %d in force", b.Name, s.Bundle.InForce)
			}
		}
		return nil
	})
}

// DrainMethod is the way in which the load balancer learns that a target is leaving.
type DrainMethod string

// Drain methods.
const (
	DrainByBundle         DrainMethod = "bundle"
	DrainByHostList       DrainMethod = "hosts"
	DrainByHealthEndpoint DrainMethod = "signal" // the answers of the target's health endpoint
)

// Drain announces that a target is leaving.
func (d *Deployment) Drain(ctx context.Context, address netip.Addr, method DrainMethod) error {
	return d.setDrain(ctx, address, method, true)
}

// Undrain announces that a drained target takes new flows again.
func (d *Deployment) Undrain(ctx context.Context, address netip.Addr, method DrainMethod) error {
	return d.setDrain(ctx, address, method, false)
}

func (d *Deployment) setDrain(ctx context.Context, address netip.Addr, method DrainMethod, drain bool) error {
	behaviour := target.Behaviour{Leaving: drain}
	if method == DrainByHealthEndpoint {
		behaviour = target.Behaviour{Drain: drain}
	}
	if err := d.SetBehaviour(ctx, address, behaviour); err != nil {
		return err
	}
	switch method {
	case DrainByBundle:
		_, err := d.Publish(ctx, func(doc *bundle.Document) { setTargetDrain(doc, address, drain) })
		return err
	case DrainByHostList:
		state := "live"
		if drain {
			state = "leaving"
		}
		d.setHost(address.String(), address, state)
		return d.putHosts(ctx)
	}
	return nil
}

func setTargetDrain(doc *bundle.Document, address netip.Addr, drain bool) {
	for i := range doc.Services {
		for j := range doc.Services[i].Targets {
			if t := &doc.Services[i].Targets[j]; t.Address == address.String() {
				t.Drain = drain
			}
		}
	}
}

// SetBehaviour changes the behaviour of a target, or of all targets when the address is not valid.
func (d *Deployment) SetBehaviour(ctx context.Context, address netip.Addr, b target.Behaviour) error {
	path := "/behaviour"
	if address.IsValid() {
		path += query("target", address)
	}
	return put(ctx, d.ports.at(targetsAddress, portControl), path, b)
}

// TargetCounters returns the counters of all targets.
func (d *Deployment) TargetCounters(ctx context.Context) ([]target.Counters, error) {
	return get[[]target.Counters](ctx, d.ports.at(targetsAddress, portControl), "/counters")
}

// TargetSummary returns what the targets recorded about flows and requests.
func (d *Deployment) TargetSummary(ctx context.Context) (target.Summary, error) {
	return get[target.Summary](ctx, d.ports.at(targetsAddress, portControl), "/runs")
}

// FalseRefusals returns the flows that were refused to the caller as not run although a target had received them.
func (d *Deployment) FalseRefusals(ctx context.Context) ([]target.KnownFlow, error) {
	refused, err := get[[]target.FlowID](ctx, d.ports.at(callerAddress, portControl), "/refused")
	if err != nil {
		return nil, err
	}
	return call[[]target.KnownFlow](ctx, http.MethodPost, d.ports.at(targetsAddress, portControl), "/known", refused)
}

// StartCallers starts the sessions and loads of a plan.
func (d *Deployment) StartCallers(ctx context.Context, p caller.Plan) error {
	_, err := call[noResult](ctx, http.MethodPost, d.ports.at(callerAddress, portControl), "/plan", p)
	return err
}

// CallerResult returns the result of the callers up to now.
func (d *Deployment) CallerResult(ctx context.Context) (caller.Result, error) {
	return get[caller.Result](ctx, d.ports.at(callerAddress, portControl), "/result")
}

// FinishCallers ends the callers, waits up to the given time for open requests, and returns the result.
func (d *Deployment) FinishCallers(ctx context.Context, wait time.Duration) (caller.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return callWithoutTimeout[caller.Result](ctx, http.MethodPost, d.ports.at(callerAddress, portControl), "/finish"+query("wait_ms", wait.Milliseconds()), nil)
}

// SetFabricConfig changes how the fabric distributes packets over the balancers, and its faults.
func (d *Deployment) SetFabricConfig(ctx context.Context, c fabric.Config) error {
	return put(ctx, d.ports.at(fabricAddress, portControl), "/config", c)
}

// FabricCounters returns the counters of the fabric.
func (d *Deployment) FabricCounters(ctx context.Context) (fabric.Counters, error) {
	return get[fabric.Counters](ctx, d.ports.at(fabricAddress, portControl), "/counters")
}

// SetPlatformFaults sets the faults that the platform injects.
func (d *Deployment) SetPlatformFaults(ctx context.Context, f platform.Faults) error {
	return put(ctx, d.ports.at(platformAddress, portControl), "/faults", f)
}

// PlatformCounters returns the counters of the platform.
func (d *Deployment) PlatformCounters(ctx context.Context) (platform.Counters, error) {
	return get[platform.Counters](ctx, d.ports.at(platformAddress, portControl), "/counters")
}
