package steer

import "time"

// spreadAfter is how long the targets of a service must have had a queue before new flows are spread without regard to reported loads.
const spreadAfter = 250 * time.Millisecond

// isSpreading reports whether new flows of the service go to the first target of their ranking, whatever its load. While all targets are
// full, the one that looks least loaded is the one that rejects requests or has lost them, and all balancers would choose it.
func (d *demand) isSpreading() bool { return d.lastUpdate-d.lastNoQueue >= spreadAfter }
