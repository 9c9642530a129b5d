package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// rejected is the last envelope that the platform offered and that was refused.
type rejected struct {
	sum   uint64 // xxhash64
	code  resultcode.Code
	until time.Duration
}

// offer judges an envelope, from a peer or with from 0 from the platform, and stages its bundle when it is accepted.
func (c *Core) offer(envelope []byte, from membership.HostID) resultcode.Code {
	sum := xxhash.Sum64(envelope)
	// A platform that names no revision offers the same envelope with every read.
	if r := c.rejected; from == 0 && r.sum == sum && c.now < r.until {
		return r.code
	}
	v := bundle.Evaluate(c.newest().bundle, envelope, c.cfg.Keys, c.wall.Add(c.now-c.wallAt))
	switch v.Outcome {
	case bundle.Accepted:
		c.stage(held{bundle: v.Bundle, state: c.next(bundle.Chart().Initial(), bundle.EventAccept), sum: sum, keyID: v.KeyID})
	case bundle.Refused:
		c.refuse(v, from)
		if from == 0 {
			c.rejected = rejected{sum: sum, code: v.Code, until: c.now + retryRefused}
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
	c.lastCode = r.Code
	c.event("bundle-refused", r.Version, r.Code, r.Err.Error())
	c.emit(r)
}
