package forward

import (
	"time"

	"github.com/marigoldwood/marigoldwood/flow"
	"github.com/marigoldwood/marigoldwood/placement"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// Request is a request to admit a new flow.
type Request struct {
	Key     flow.Key
	Hash    uint64
	Service *ServiceState
	View    placement.View
}

// Verdict is the answer to a Request.
type Verdict struct {
	Outcome Outcome
	Target  int             // position in the service's table; valid for Admitted
	ID      flow.TargetID   // if not 0, takes precedence over Target, whose position may be out of date after a wait
	Code    resultcode.Code // reason; valid for Refused
}

// Outcome is what to do with a new flow.
type Outcome uint8

// Outcomes of a request.
const (
	Admitted Outcome = iota
	Refused          // answer with a refusal; no packet was sent to a target
	Waiting          // hold the first packet; Poll returns the verdict later
)

// Released is the verdict on a request whose wait has ended.
type Released struct {
	Key     flow.Key
	Verdict Verdict
}

// Admission decides about new flows. Implementations must be safe for concurrent use.
type Admission interface {
	// Admit decides about a new flow at time now on the monotonic clock.
	Admit(now time.Duration, r Request) Verdict
	// Done reports that an admitted flow ended after the duration took. If refused is true, the target itself refused it.
	Done(now time.Duration, service flow.ServiceID, target flow.TargetID, took time.Duration, refused bool)
	// Cancel withdraws a waiting request.
	Cancel(now time.Duration, k flow.Key)
	// Poll appends to dst the verdicts on the requests whose wait has ended.
	Poll(now time.Duration, dst []Released) []Released
}
