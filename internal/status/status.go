// Package status defines the JSON documents in which the operator port reports the state of a balancer. The daemon writes
// them and the command-line tool reads them.
package status

import "slices"

// Status is the state of one balancer.
type Status struct {
	Host        string            `json:"host"`
	DataCentre  string            `json:"data_centre"`
	Incarnation uint64            `json:"incarnation"`
	Program     string            `json:"program"` // version of the program
	State       string            `json:"state"`   // membership state of this host
	Ready       bool              `json:"ready"`
	Reason      string            `json:"reason,omitempty"` // why the balancer is not ready
	UptimeMS    int64             `json:"uptime_ms"`
	Bundle      Bundle            `json:"bundle"`
	Flows       Flows             `json:"flows"`
	Buckets     Buckets           `json:"buckets"`
	Members     []Member          `json:"members"`
	Services    []Service         `json:"services"`
	Evacuations []Evacuation      `json:"evacuations,omitempty"`
	Counters    map[string]uint64 `json:"counters"` // packets by action and by result code name
}

// Bundle describes the bundles of a balancer.
type Bundle struct {
	InForce       uint64 `json:"in_force"` // version, 0 when none
	Staged        uint64 `json:"staged"`   // version, 0 when none
	Digest        string `json:"digest,omitempty"`
	InForceUnixMS int64  `json:"in_force_unix_ms,omitempty"` // when the version came into force, by the wall clock of the host
	Behind        bool   `json:"behind"`                     // a newer version is in force elsewhere
	Conflict      bool   `json:"conflict"`                   // a bundle with the same version but other content was offered
	LastRefusal   string `json:"last_refusal,omitempty"`     // name of the result code of the last refused bundle
	PlatformAgeMS int64  `json:"platform_age_ms"`            // time since the last successful read by this host, -1 if none
	PlatformCalls uint64 `json:"platform_calls"`             // since the start of the process
	StoreEra      uint16 `json:"store_era,omitempty"`        // number of restores of the store from a copy
	KeepsLost     bool   `json:"keeps_lost,omitempty"`       // some of what a restored store has lost is still in force
}

// Flows counts the flows of a balancer.
type Flows struct {
	Open       int    `json:"open"`
	Capacity   int    `json:"capacity"`
	Exceptions int    `json:"exceptions"` // open flows that are not on their default target
	Copies     int    `json:"copies"`     // copies of the exceptions of other balancers
	Silent     uint64 `json:"silent"`     // silent connections ended since the start of the process
}

// Buckets counts the buckets of a balancer by ownership state.
type Buckets struct {
	Owned     int `json:"owned"`
	Acquiring int `json:"acquiring"`
	InSync    int `json:"in_sync"` // owned buckets whose exceptions are all known
}

// Member is the state of a balancer, possibly this one, as known to this balancer.
type Member struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	InForce     uint64 `json:"in_force"`
	Staged      uint64 `json:"staged"`
}

// Evacuation is an evacuated data centre, whose targets get no new flows from the balancer.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	AgeMS      int64  `json:"age_ms"` // time since the balancer learned of it
}

// Service lists the targets of a service in the data centre of the balancer.
type Service struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is the state of a target as known to this balancer.
type Target struct {
	Address    string  `json:"address"`
	State      string  `json:"state"`
	Eligible   bool    `json:"eligible"`
	Share      float64 `json:"share"`                // fraction of its full weight, 0 to 1
	Reported   float64 `json:"reported"`             // load that the target reported
	Flows      int64   `json:"flows"`                // open flows of this balancer to the target
	Distrusted bool    `json:"distrusted,omitempty"` // it is suspect or fails requests, and gets no new flows
	Evacuated  bool    `json:"evacuated,omitempty"`  // its data centre is evacuated
	LimitedMS  int64   `json:"limited_ms,omitempty"` // how much longer opening packets to it are limited because it is cold
	Slowdown   float64 `json:"slowdown,omitempty"`   // factor by which it answers slower than the others, 0 if it does not
}

// Explanation describes the target of a flow and the rule that selects it.
type Explanation struct {
	Host     string   `json:"host"`
	Flow     string   `json:"flow"`
	Service  string   `json:"service,omitempty"`
	Bucket   int      `json:"bucket"`
	Owner    string   `json:"owner"`
	Backup   string   `json:"backup"`
	Role     string   `json:"role"` // role of the responding host for the bucket
	Target   string   `json:"target,omitempty"`
	Default  string   `json:"default,omitempty"`
	Known    bool     `json:"known"` // the responding host has the flow in its flow table
	Rule     string   `json:"rule"`
	Version  uint64   `json:"version"` // bundle version on which the explanation is based
	Warnings []string `json:"warnings,omitempty"`
}

// Member returns the member of the given name, and whether there is one.
func (s *Status) Member(name string) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}
