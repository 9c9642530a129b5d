package steer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	// permitLifetime is how long a permit may be used. With a shorter one, hosts with few new flows use few of their permits; with a longer
	// one, fewer can be issued per second.
	permitLifetime = 250 * time.Millisecond
	// deliveryJitter is how much the delay of two opening packets on their way to a target may differ.
	deliveryJitter = 50 * time.Millisecond
	// permitWindow is the time within which the permits of all opening packets that a target receives in one second were issued.
	permitWindow = time.Second + permitLifetime + deliveryJitter
	// maxExceedance is the accepted probability that hosts issue more permits in a permitWindow than a target may receive opening packets
	// in a second: that of more than five standard deviations above the mean of a normal distribution.
	maxExceedance = 2.87e-7
	// coldAfterEvacuation is added to the cold time after an evacuation has ended: within it the records of the targets, which are written
	// every 770 ms, arrive with their own cold time.
	coldAfterEvacuation = 2 * time.Second
)

// ColdLimits limits the opening packets to targets that are still slow, summed over all hosts. While a target is limited, only hosts of
// its own data centre send it opening packets, each packet with a permit. A host issues itself permits at regular intervals with a random
// phase, so that the number of permits that all hosts issue in a time varies less than that of independent random times. Hosts exchange
// no messages for this; they only have to know about how many they are. It is not safe for concurrent use.
type ColdLimits struct {
	overshoot, slack float64
	random           *rand.Rand
	hosts            int                       // that share the limits, 0 if this host gets no permits
	permits          map[string]*permits       // by target name
	intervals        map[float64]time.Duration // between two permits, by the requests per second that a cold target can handle
	usable           pool                      // reused by placeable
}

// NewColdLimits returns limits of overshoot times the requests that a cold target can handle, plus slack, in any second. There are no
// permits before SetHosts.
func NewColdLimits(overshoot, slack float64, random *rand.Rand) *ColdLimits {
	return &ColdLimits{
		overshoot: overshoot, slack: slack, random: random, permits: map[string]*permits{}, intervals: map[float64]time.Duration{},
	}
}

// SetHosts sets the number of hosts of this data centre that share the limits, or 0 if this host gets no permits.
func (c *ColdLimits) SetHosts(hosts int, now time.Duration) {
	if hosts == c.hosts {
		return
	}
	c.hosts = hosts
	clear(c.intervals)
	for _, p := range c.permits {
		p.setInterval(c.interval(p.perSecond), now)
	}
}

// attach makes the view use the limits. Targets that remain limited keep their permits.
func (c *ColdLimits) attach(v *View) {
	v.cold = c
	if len(v.limited) == 0 && len(c.permits) == 0 {
		return
	}
	now, known := v.snapshot.TakenAt, c.permits
	c.permits = make(map[string]*permits, len(v.limited))
	for _, t := range v.limited {
		if t.DataCentre != v.dataCentre || now >= t.limitedUntil {
			continue
		}
		p := known[t.Name]
		if p == nil {
			p = &permits{phase: c.random.Float64(), updated: now}
		}
		p.perSecond = t.coldPerSecond
		p.setInterval(c.interval(p.perSecond), now)
		c.permits[t.Name], t.permits = p, p
	}
}

// interval returns the time between two permits of this host, or 0 if it gets none.
func (c *ColdLimits) interval(perSecond float64) time.Duration {
	if c.hosts == 0 {
		return 0
	}
	d, known := c.intervals[perSecond]
	if !known {
		d = permitInterval(perSecond, perSecond*c.overshoot+c.slack, c.hosts)
		c.intervals[perSecond] = d
	}
	return d
}

// permitInterval returns the shortest time between two permits of each host with which all hosts issue at most limit permits in a
// permitWindow, but not more than the target can handle per second. It returns 0 if no permit is possible.
//
// A host issues n or n+1 permits in a window, where n is the whole part of their mean number, and n+1 with the probability of the rest.
// The phases of the hosts are independent, so the sum has a binomial distribution.
func permitInterval(perSecond, limit float64, hosts int) time.Duration {
	limit = math.Floor(limit)
	whole := math.Floor(limit / float64(hosts))
	mean := whole + maxProbability(hosts, int(limit-whole*float64(hosts)))
	mean = min(mean, perSecond*permitWindow.Seconds()/float64(hosts))
	interval := float64(permitWindow) / mean
	if interval > float64(math.MaxInt64/2) { // also if mean is 0
		return 0
	}
	return time.Duration(interval)
}

// probabilitySteps is the number of bisections, which gives a probability with an error below 1e-9.
const probabilitySteps = 30

// maxProbability returns the highest probability with which more than k of n independent events occur with at most maxExceedance.
func maxProbability(n, k int) float64 {
	if k <= 0 {
		return 0
	}
	low, high := 0.0, 1.0
	for range probabilitySteps {
		if middle := (low + high) / 2; exceedance(n, k, middle) <= maxExceedance {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// exceedance returns the probability that more than k of n independent events of probability p occur, or part of it if that is more
// than maxExceedance.
func exceedance(n, k int, p float64) float64 {
	sum := 0.0
	for i := k + 1; i <= n && sum <= maxExceedance; i++ {
		sum += math.Exp(logFactorial(n) - logFactorial(i) - logFactorial(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}

func logFactorial(n int) float64 {
	l, _ := math.Lgamma(float64(n) + 1)
	return l
}

// permits are the permits of this host for opening packets to a target.
type permits struct {
	perSecond float64 // requests that the target can handle per second while it is cold
	interval  time.Duration
	phase     float64 // of the current interval, from 0 to 1
	updated   time.Duration
	issuedAt  time.Duration
	unused    bool // the last permit that was issued has not been used
}

// setInterval changes the time between two permits. The phase continues: a new random one could follow a permit with another one.
func (p *permits) setInterval(interval, now time.Duration) {
	p.advance(now)
	p.interval = interval
}

// advance issues the permits that are due. A later permit replaces an unused one.
func (p *permits) advance(now time.Duration) {
	if now <= p.updated {
		return
	}
	if p.interval > 0 {
		p.phase += float64(now-p.updated) / float64(p.interval)
		if p.phase >= 1 {
			p.phase -= math.Floor(p.phase)
			p.issuedAt, p.unused = now-time.Duration(p.phase*float64(p.interval)), true
		}
	}
	p.updated = now
}

// available reports whether an opening packet may be sent now. p may be nil, for a target of another data centre.
func (p *permits) available(now time.Duration) bool {
	if p == nil {
		return false
	}
	p.advance(now)
	return p.interval > 0 && p.unused && now-p.issuedAt < permitLifetime
}

// usePermit records that an opening packet is sent to the target.
func (t *Target) usePermit() {
	if t.permits != nil {
		t.permits.unused = false
	}
}

// isLimited reports whether opening packets to the target need a permit.
func (t *Target) isLimited(now time.Duration) bool { return now < t.limitedUntil }

// placeable returns the targets of a service that may get an opening packet now, or nil. Those that are limited need a permit, except
// tried, which has received an earlier copy of the packet; it may be nil. The result is valid until the next call.
func (v *View) placeable(service string, now time.Duration, tried *Target) *pool {
	p := v.pools[service]
	if p == nil || v.cold == nil || now >= p.limitedUntil {
		return p
	}
	usable := &v.cold.usable
	usable.handedOn = p.handedOn
	for _, list := range [...]struct{ from, to *[]*Target }{{&p.local, &usable.local}, {&p.remote, &usable.remote}} {
		*list.to = (*list.to)[:0]
		for _, t := range *list.from {
			if !t.isLimited(now) || t == tried || t.permits.available(now) {
				*list.to = append(*list.to, t)
			}
		}
	}
	return usable
}

// hasLimited reports whether a service has targets that are limited.
func (v *View) hasLimited(service string, now time.Duration) bool {
	p := v.pools[service]
	return p != nil && v.cold != nil && now < p.limitedUntil
}

// addColdServices records the services that limit opening packets to cold targets.
func (v *View) addColdServices(c *directory.Configuration) {
	for i := range c.Services {
		if s := &c.Services[i]; s.ColdPerSecond > 0 {
			if v.coldServices == nil {
				v.coldServices = map[string]*directory.Service{}
			}
			v.coldServices[s.Name] = s
		}
	}
}

// withoutPermit returns the decision about an opening packet for which only limited targets without a permit are left. A copy is dropped:
// another balancer may have sent an earlier one to a target, so that it must not be refused as not run.
func withoutPermit(p *Packet, suspected *Target) Decision {
	d := Decision{Action: Refuse, Code: resultcode.RefusedCold, Suspected: suspected}
	if p.Acknowledgement > 0 {
		d.Action = Drop
	}
	return d
}

// limit sets until when opening packets to the target need a permit: while its record says that it is cold, and for the cold time of its
// service after an evacuation of its data centre has ended.
func (v *View) limit(t *Target) {
	service, found := v.coldServices[t.Service]
	if !found {
		return
	}
	t.limitedUntil, t.coldPerSecond = t.ColdUntil, service.ColdPerSecond
	if e, known := v.snapshot.Evacuations[t.DataCentre]; known && !e.Active {
		t.limitedUntil = max(t.limitedUntil, e.Since+service.ColdStart+coldAfterEvacuation)
	}
	if t.isLimited(v.snapshot.TakenAt) {
		v.limited = append(v.limited, t)
	}
}

// Limited returns the targets to which opening packets are limited because they are cold.
func (v *View) Limited(now time.Duration) []*Target {
	var out []*Target
	for _, t := range v.limited {
		if t.isLimited(now) {
			out = append(out, t)
		}
	}
	return out
}

// LimitedUntil returns until when opening packets to the target are limited, on the clock of the snapshot.
func (t *Target) LimitedUntil() time.Duration { return t.limitedUntil }
