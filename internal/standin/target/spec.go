// Package target is a stand-in for targets: the processes that run the requests of a service.
package target

import (
	"net/netip"

	"github.com/marigoldwood/marigoldwood/internal/standin/process"
)

// Options configure the stand-in. One process runs many targets.
type Options struct {
	Specs      string           `long:"specs" required:"true" description:"JSON file with the list of targets"`
	Control    string           `long:"control" required:"true" description:"address:port of the control port"`
	Fabric     process.AddrPort `long:"fabric" required:"true" description:"Geneve address:port that answers are sent to"`
	DataPort   uint16           `long:"data-port" required:"true" description:"Geneve port of every target"`
	HealthPort uint16           `long:"health-port" required:"true" description:"HTTP port of health and load of every target"`
	Seed       uint64           `long:"seed" default:"1" description:"seed of random choices"`
}

// Spec describes one target.
type Spec struct {
	Address     netip.Addr       `json:"address"`
	Service     string           `json:"service"`
	VNI         uint32           `json:"vni"`
	Endpoints   []netip.AddrPort `json:"endpoints"`   // inner destinations that packets may have; empty allows any
	Slots       int              `json:"slots"`       // requests that run at once; 0 means no limit
	Connections int              `json:"connections"` // 0 means no limit
	Work        Work             `json:"work"`
	Behaviour   Behaviour        `json:"behaviour"`
}

// Work is the distribution of service times for requests that do not set one.
type Work struct {
	ShortMicros  uint32  `json:"short_micros"`
	LongMicros   uint32  `json:"long_micros"`
	LongFraction float64 `json:"long_fraction"` // fraction of the requests that take LongMicros
	Exponential  bool    `json:"exponential"`   // times are exponentially distributed with these means instead of constant
}

// Ways to refuse new flows.
const (
	ShedReset = "reset" // an RST in response to a SYN
	ShedICMP  = "icmp"  // the ICMP error "communication administratively prohibited"
)

// Behaviour is what the control port can change while the target runs.
type Behaviour struct {
	Drain   bool `json:"drain"`   // health reports draining; new flows are counted as late after NewFlowGraceMS
	Leaving bool `json:"leaving"` // as Drain, but health does not report it
	// Shed is the way in which new flows are refused; empty accepts them.
	Shed string `json:"shed"`
	// ColdMS starts a cold phase of this length: work takes ColdFactor times as long at first, falling linearly to 1.
	ColdMS     int     `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
	SlowFactor float64 `json:"slow_factor"` // work takes this many times as long; 0 means 1
	// ReportLagMS is the age of the load and health that the HTTP port reports.
	ReportLagMS int    `json:"report_lag_ms"`
	ReportIdle  bool   `json:"report_idle"`  // load reports an idle target, whatever its load is
	ReportState string `json:"report_state"` // health reports this instead of the true state; empty reports the true state
	HealthDown  bool   `json:"health_down"`  // the HTTP port closes connections without a response
	Silent      bool   `json:"silent"`       // received packets are discarded, and none are sent
	// SilentOld discards the packets received on flows that are open when it is set; later flows work.
	SilentOld bool `json:"silent_old"`
}

// NewFlowGraceMS is how long, in milliseconds, a leaving target may still get new flows.
const NewFlowGraceMS = 3000

// Counters are the counters of one target.
type Counters struct {
	Address       string `json:"address"`
	Service       string `json:"service"`
	Packets       uint64 `json:"packets"`
	Malformed     uint64 `json:"malformed"`
	Foreign       uint64 `json:"foreign"` // packets with another VNI, endpoint or service name
	Connections   int    `json:"connections"`
	NewFlows      uint64 `json:"new_flows"`
	LateFlows     uint64 `json:"late_flows"`    // new flows later than NewFlowGraceMS at a leaving target
	LastNewFlowMS int64  `json:"last_new_flow"` // milliseconds from the start of leaving to the last new flow; 0 when none
	Shed          uint64 `json:"shed"`          // new flows refused because of Behaviour.Shed
	OverLimit     uint64 `json:"over_limit"`    // new flows refused by the connection limit
	Requests      uint64 `json:"requests"`      // received, without duplicates
	Duplicates    uint64 `json:"duplicates"`    // retransmitted UDP requests
	Answered      uint64 `json:"answered"`
	Late          uint64 `json:"late"` // not run because of their deadline
	Canceled      uint64 `json:"canceled"`
	InFlight      int    `json:"in_flight"`
	Queue         int    `json:"queue"`
	MaxInFlight   int    `json:"max_in_flight"` // most requests held at once, running or queued
	MaxConns      int    `json:"max_connections"`
	Overruns      uint64 `json:"overruns"` // requests that arrived when all slots were in use
	Strays        uint64 `json:"strays"`   // TCP segments other than SYN and RST of unknown connections
	Resets        uint64 `json:"resets"`
	Retransmitted uint64 `json:"retransmitted"`
	BusyMicros    uint64 `json:"busy_micros"` // total service time of finished work
}
