// Package caller is a stand-in for callers: it opens sessions and sends requests through the fabric, and detects
// responses that are lost, from another service, truncated, duplicated or mixed up.
package caller

import (
	"errors"
	"net/netip"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Options configure the stand-in.
type Options struct {
	Address process.Addr     `long:"address" required:"true" description:"outer address of this process"`
	Fabric  process.AddrPort `long:"fabric" required:"true" description:"Geneve address:port of the fabric"`
	Control string           `long:"control" required:"true" description:"address:port of the control port"`
	Lanes   int              `long:"lanes" default:"4" description:"sockets, each with its own goroutine"`
	Seed    uint64           `long:"seed" default:"1" description:"seed of random choices"`
	Plan    string           `long:"plan" description:"JSON file with a plan that is started at once"`
	Result  string           `long:"result" description:"file that the result is written to when the process ends"`
}

// Plan describes the traffic that a caller process generates.
type Plan struct {
	Sessions []Sessions `json:"sessions"`
	Loads    []Load     `json:"loads"`
}

// Sessions describes a group of long-lived TCP connections.
type Sessions struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Endpoint    netip.AddrPort `json:"endpoint"`
	Count       int            `json:"count"`
	OpenPerS    float64        `json:"open_per_s"`  // 0 opens all at once
	IntervalMS  int            `json:"interval_ms"` // between the requests of one session; 0 sends only the first
	FeedMS      uint32         `json:"feed_ms"`     // asks the target to push data at this interval; 0 for none
	AnswerBytes uint32         `json:"answer_bytes"`
	WorkMicros  uint32         `json:"work_micros"`
	LifeMS      int            `json:"life_ms"` // mean lifetime of a session, which is then closed and replaced by a new one; 0 means the whole run
	Tenant      uint8          `json:"tenant"`  // second byte of the caller addresses
	Spread      int            `json:"spread"`  // number of caller prefixes, at most 250; 0 means 250
}

// Load describes an open-loop stream of requests, each on its own flow.
type Load struct {
	Name         string         `json:"name"`
	Service      string         `json:"service"`
	Endpoint     netip.AddrPort `json:"endpoint"`
	Protocol     string         `json:"protocol"` // tcp or udp
	Steps        []Step         `json:"steps"`
	WorkMicros   uint32         `json:"work_micros"`
	LongFraction float64        `json:"long_fraction"` // fraction of the requests that ask for LongMicros
	LongMicros   uint32         `json:"long_micros"`
	DeadlineMS   uint32         `json:"deadline_ms"` // 0 means none
	TimeoutMS    int            `json:"timeout_ms"`  // time after which a request fails; 0 means 10 s
	RepeatMS     int            `json:"repeat_ms"`   // UDP: first retransmission interval; 0 means 500 ms, below 0 never
	AnswerBytes  uint32         `json:"answer_bytes"`
	CancelMS     int            `json:"cancel_ms"` // time after which an unanswered request is canceled; 0 means never
	Tenant       uint8          `json:"tenant"`
	Spread       int            `json:"spread"`
}

// Step is a period of a load. Arrivals are a Poisson process with a constant or linearly changing mean rate.
type Step struct {
	Rate    float64 `json:"rate"` // requests a second
	Seconds float64 `json:"seconds"`
	// RampFrom, if set, is the rate at the start of the step, which then changes linearly to Rate.
	RampFrom *float64 `json:"ramp_from,omitempty"`
}

// maxPrefixes is the largest number of caller prefixes (/24 or /48) that flows are spread over.
const maxPrefixes = 250

func (p *Plan) check() error {
	for i := range p.Sessions {
		s := &p.Sessions[i]
		if !s.Endpoint.IsValid() || s.Count <= 0 || s.Spread < 0 || s.Spread > maxPrefixes {
			return errors.New("sessions need an endpoint, a count above 0 and a spread of at most 250")
		}
	}
	for i := range p.Loads {
		l := &p.Loads[i]
		if !l.Endpoint.IsValid() || (l.Protocol != "tcp" && l.Protocol != "udp") || l.Spread < 0 || l.Spread > maxPrefixes {
			return errors.New("loads need an endpoint, protocol tcp or udp, and a spread of at most 250")
		}
	}
	return nil
}
