// Package status defines what the operator port reports about one balancer. The daemon writes it and the command line
// reads it.
package status

import "slices"

// Status is the state of one balancer.
type Status struct {
	Host        string            `json:"host"`
	DataCentre  string            `json:"data_centre"`
	Incarnation uint64            `json:"incarnation"`
	Program     string            `json:"program"` // version of the program
	State       string            `json:"state"`   // member state of this host
	Ready       bool              `json:"ready"`
	Reason      string            `json:"reason,omitempty"` // why it is not ready
	UptimeMS    int64             `json:"uptime_ms"`
	Bundle      Bundle            `json:"bundle"`
	Flows       Flows             `json:"flows"`
	Buckets     Buckets           `json:"buckets"`
	Members     []Member          `json:"members"`
	Services    []Service         `json:"services"`
	Counters    map[string]uint64 `json:"counters"` // packets by action and by result code name
}

// Bundle tells which bundle a balancer runs.
type Bundle struct {
	InForce       uint64 `json:"in_force"` // version, 0 when none
	Staged        uint64 `json:"staged"`   // version, 0 when none
	Digest        string `json:"digest,omitempty"`
	InForceUnixMS int64  `json:"in_force_unix_ms,omitempty"` // when the version came into force, by the host's wall clock
	Behind        bool   `json:"behind"`
	Conflict      bool   `json:"conflict"`               // another content with the same version was offered
	LastRefusal   string `json:"last_refusal,omitempty"` // result code name of the newest refused bundle
	PlatformAgeMS int64  `json:"platform_age_ms"`        // time since the last successful read by this host, -1 when there was none
	PlatformCalls uint64 `json:"platform_calls"`
}

// Flows counts the flows of a balancer.
type Flows struct {
	Open       int    `json:"open"`
	Capacity   int    `json:"capacity"`
	Exceptions int    `json:"exceptions"` // open flows that are not on their default target
	Copies     int    `json:"copies"`     // exceptions held for other balancers
	Silent     uint64 `json:"silent"`     // silent connections ended since the start
}

// Buckets counts the buckets of a balancer by role.
type Buckets struct {
	Owned     int `json:"owned"`
	Acquiring int `json:"acquiring"`
	InSync    int `json:"in_sync"` // owned buckets whose exceptions are all known
}

// Member is another balancer as this one sees it.
type Member struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	InForce     uint64 `json:"in_force"`
	Staged      uint64 `json:"staged"`
}

// Service is a service with its targets in the balancer's data centre.
type Service struct {
	Name    string   `json:"name"`
	Targets []Target `json:"targets"`
}

// Target is a target as this balancer sees it.
type Target struct {
	Address    string  `json:"address"`
	State      string  `json:"state"`
	Eligible   bool    `json:"eligible"`
	Share      float64 `json:"share"`    // part of the full weight, 0 to 1
	Reported   float64 `json:"reported"` // load that the target reports
	Flows      int64   `json:"flows"`    // open flows of this balancer on the target
	Distrusted bool    `json:"distrusted,omitempty"`
}

// Explanation tells where a flow goes and by which rule.
type Explanation struct {
	Host     string   `json:"host"`
	Flow     string   `json:"flow"`
	Service  string   `json:"service,omitempty"`
	Bucket   int      `json:"bucket"`
	Owner    string   `json:"owner"`
	Backup   string   `json:"backup"`
	Role     string   `json:"role"` // role of the answering host for the bucket
	Target   string   `json:"target,omitempty"`
	Default  string   `json:"default,omitempty"`
	Known    bool     `json:"known"` // the answering host has the flow in its table
	Rule     string   `json:"rule"`
	Version  uint64   `json:"version"` // bundle version that the answer is based on
	Warnings []string `json:"warnings,omitempty"`
}

// Member returns the entry of the named member, if there is one.
func (s *Status) Member(name string) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}
