package forward

import (
	"net/netip"
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// Rule is the name of the rule that determines the target of a flow.
type Rule string

// Rules.
const (
	RuleEntry     Rule = "entry"      // the flow table holds the flow, on its default target
	RuleException Rule = "exception"  // the flow table holds the flow, off its default target
	RuleWaiting   Rule = "waiting"    // the flow waits for admission
	RuleDefault   Rule = "default"    // no entry: a running flow would be adopted on its default target
	RuleBaseline  Rule = "base"       // no entry: a running flow would be adopted on its default by an earlier bundle
	RulePlacement Rule = "placement"  // no entry: a new flow would be placed by the service's strategy
	RuleReset     Rule = "reset"      // no entry: a running connection would be reset
	RulePeer      Rule = "peer"       // another balancer decides about the flow
	RuleNoService Rule = "no-service" // no bundle, or the endpoint belongs to no service
)

// Explanation describes the target of a flow and the rule that determines it.
type Explanation struct {
	Rule     Rule
	Service  string
	Bucket   ownership.Bucket
	Role     Role
	Owner    membership.HostID
	Backup   membership.HostID
	Peer     membership.HostID
	InSync   bool
	State    flow.State
	Idle     time.Duration
	TargetID flow.TargetID
	Target   netip.AddrPort // not valid when no target is known
	Default  netip.AddrPort // not valid when there is no default target
	Version  uint64         // of the bundle
}

// Explain returns the target that the flow has or would get, and the rule that determines it.
func (e *Engine) Explain(now time.Duration, k flow.Key) Explanation {
	st := e.state.Load()
	if st == nil || st.byID[k.Endpoint] == nil || st.Buckets == nil {
		return Explanation{Rule: RuleNoService}
	}
	sv, hash := st.byID[k.Endpoint].service, k.Hash()
	b := ownership.BucketOf(hash)
	state := st.Buckets[b]
	x := Explanation{
		Service: sv.Info.Name, Bucket: b, Role: state.Role, Peer: state.Peer, InSync: state.InSync, Version: st.version,
	}
	if st.Map != nil {
		x.Owner, x.Backup = st.Map.Owner(b), st.Map.Backup(b)
	}
	d := sv.defaultTarget(hash)
	if d != nil {
		x.Default = d.addr
	}
	if state.Role != RoleOwner {
		x.Rule = RulePeer
		return x
	}
	if e.explainEntry(st, now, k, hash, &x) {
		return x
	}
	t, fromBaseline := st.baselineTarget(sv, b, hash)
	switch {
	case sv.Info.Proto == flow.UDP:
		x.Rule = RulePlacement
	case t == nil || !state.InSync && !sv.Info.Idempotent:
		x.Rule = RuleReset
	default:
		x.Rule, x.TargetID, x.Target = RuleDefault, t.id, t.addr
		if fromBaseline {
			x.Rule = RuleBaseline
		}
	}
	return x
}

// explainEntry fills in x from the entry of the flow, and reports whether there is a valid one.
func (e *Engine) explainEntry(st *lookupState, now time.Duration, k flow.Key, hash uint64, x *Explanation) (found bool) {
	nowMS := uint32(now.Milliseconds())
	e.table.Visit(&k, hash, nowMS, func(en *flow.Entry, result flow.LookupResult) bool {
		if result != flow.Found {
			return false
		}
		if en.Epoch != st.epochs[x.Bucket] || en.Expired(nowMS) {
			return true
		}
		found = true
		x.State, x.TargetID, x.Idle = en.State(), en.Target, time.Duration(en.IdleMS(nowMS))*time.Millisecond
		if t := st.target(en.Target); t != nil {
			x.Target = t.addr
		}
		switch {
		case en.State() == flow.Waiting:
			x.Rule = RuleWaiting
		case x.Target != x.Default:
			x.Rule = RuleException
		default:
			x.Rule = RuleEntry
		}
		return true
	})
	return found
}
