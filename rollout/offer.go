package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// rejectedEnvelope identifies the last envelope from the platform that was refused.
type rejectedEnvelope struct {
	sum   uint64 // xxhash64 of the envelope
	code  resultcode.Code
	until time.Duration
}

// evaluate verifies an envelope and stages its bundle when it is accepted. from is the peer that sent it, or 0 for the
// platform.
func (c *Core) evaluate(envelope []byte, from membership.HostID) resultcode.Code {
	sum := xxhash.Sum64(envelope)
	// A platform that returns no revision returns the same envelope with every read.
	if r := c.rejected; from == 0 && r.sum == sum && c.now < r.until {
		return r.code
	}
	v := bundle.Evaluate(c.newest().bundle, envelope, c.cfg.Keys, c.wallClock.Add(c.now-c.wallClockAt))
	switch v.Outcome {
	case bundle.Accepted:
		c.stage(heldBundle{
			bundle: v.Bundle, state: c.nextState(bundle.Chart().Initial(), bundle.EventAccept), sum: sum, keyID: v.KeyID,
		})
	case bundle.Refused:
		c.refuse(v, from)
		if from == 0 {
			c.rejected = rejectedEnvelope{sum: sum, code: v.Code, until: c.now + refusedRetryDelay}
		}
	}
	return v.Code
}

func (c *Core) refuse(v bundle.Decision, from membership.HostID) {
	code := v.Code
	if code == resultcode.BundleStaleVersion && from == 0 {
		code = resultcode.PlatformStale
	}
	if code == resultcode.BundleVersionConflict {
		c.reportConflict(v.Version, from)
		return
	}
	c.reportRefusal(BundleRefused{Version: v.Version, Code: code, Err: v.Err, From: from})
}

func (c *Core) reportRefusal(r BundleRefused) {
	c.lastRefusal = r.Code
	c.addTimelineEvent("bundle-refused", r.Version, r.Code, r.Err.Error())
	c.emit(r)
}
