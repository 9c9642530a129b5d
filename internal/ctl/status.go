package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/marigoldwood/marigoldwood/internal/status"
)

type statusCommand struct {
	command
}

// Execute prints the status of every host.
func (c *statusCommand) Execute([]string) error {
	cl, err := newClient(c.options)
	if err != nil {
		return err
	}
	responses := queryAll[status.Status](cl, "/status")
	var all []status.Status
	for _, r := range responses {
		if r.Err == nil {
			all = append(all, r.Value)
		}
	}
	if c.options.Output == "json" {
		err = writeJSON(c.streams.Out, all)
	} else {
		err = writeStatus(c.streams.Out, all)
	}
	if err != nil {
		return err
	}
	return reportErrors(c.streams.Err, responses)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func writeStatus(out io.Writer, all []status.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tDATA CENTRE\tSTATE\tREADY\tBUNDLE\tSTAGED\tBUCKETS\tFLOWS\tEXCEPTIONS\tCOPIES\tPLATFORM AGE\tNOTES")
	for i := range all {
		s := &all[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d/%d\t%d\t%d\t%s\t%s\n", s.Host, s.DataCentre, s.State, s.Ready,
			s.Bundle.InForce, s.Bundle.Staged, s.Buckets.Owned, s.Flows.Open, s.Flows.Capacity, s.Flows.Exceptions,
			s.Flows.Copies, formatAge(s.Bundle.PlatformAgeMS), notes(s))
	}
	fmt.Fprintln(w)
	writeEvacuations(w, all)
	writeTargets(w, all)
	return w.Flush()
}

// formatAge returns a time in milliseconds as seconds, or "never" if it is negative.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", float64(ms)/1000)
}

// notes returns what an operator should know about the balancer: why it is not ready, and problems with bundles.
func notes(s *status.Status) string {
	text := s.Reason
	add := func(condition bool, note string) {
		if !condition {
			return
		}
		if text != "" {
			text += "; "
		}
		text += note
	}
	add(s.Bundle.Behind, "behind a newer bundle")
	add(s.Bundle.Conflict, "bundle version conflict")
	add(s.Bundle.StoreEra > 0, fmt.Sprintf("store era %d", s.Bundle.StoreEra))
	add(s.Bundle.KeepsLost, "keeps what the restored store has lost")
	add(s.Bundle.LastRefusal != "", "refused a bundle: "+s.Bundle.LastRefusal)
	return text
}

// writeEvacuations writes a table of the evacuated data centres, if there are any, with the hosts that know of them among those that
// answered.
func writeEvacuations(w io.Writer, all []status.Status) {
	hosts, ages := map[string]int{}, map[string]int64{}
	for i := range all {
		for _, e := range all[i].Evacuations {
			hosts[e.DataCentre]++
			ages[e.DataCentre] = max(ages[e.DataCentre], e.AgeMS)
		}
	}
	if len(hosts) == 0 {
		return
	}
	fmt.Fprintln(w, "EVACUATED DATA CENTRE\tIN FORCE FOR\tIN FORCE ON")
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		fmt.Fprintf(w, "%s\t%s\t%d of %d hosts\n", name, formatAge(ages[name]), hosts[name], len(all))
	}
	fmt.Fprintln(w)
}

// targetRow aggregates the states of one target that the hosts report.
type targetRow struct {
	states     map[string]int // number of hosts by reported state
	eligible   int            // hosts for which the target is eligible
	flows      int64
	reported   float64 // highest reported load
	distrusted bool
	evacuated  int     // hosts for which its data centre is evacuated
	limited    int     // hosts for which it is limited because it is cold
	limitedMS  int64   // longest remaining time of these limits
	slowdown   float64 // highest factor by which it is slower, 0 for none
}

// writeTargets writes a table of the targets of all services, aggregated over the hosts of a data centre.
func writeTargets(w io.Writer, all []status.Status) {
	rows := make(map[[3]string]*targetRow)
	for i := range all {
		for _, service := range all[i].Services {
			for _, t := range service.Targets {
				key := [3]string{service.Name, all[i].DataCentre, t.Address}
				if rows[key] == nil {
					rows[key] = &targetRow{states: make(map[string]int)}
				}
				rows[key].add(t)
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b [3]string) int { return slices.Compare(a[:], b[:]) })
	fmt.Fprintln(w, "SERVICE\tDATA CENTRE\tTARGET\tSTATE (HOSTS)\tELIGIBLE ON\tFLOWS\tREPORTED LOAD\tNOTES")
	for _, k := range keys {
		r := rows[k]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.1f\t%s\n", k[0], k[1], k[2], r.formatStates(), r.eligible, r.flows, r.reported, r.notes())
	}
}

// notes returns what an operator should know about the target.
func (r *targetRow) notes() string {
	var notes []string
	if r.distrusted {
		notes = append(notes, "its reports are distrusted")
	}
	if r.slowdown > 0 {
		notes = append(notes, fmt.Sprintf("%.1f times slower", r.slowdown))
	}
	if r.evacuated > 0 {
		notes = append(notes, fmt.Sprintf("evacuated on %d hosts", r.evacuated))
	}
	if r.limited > 0 {
		notes = append(notes, fmt.Sprintf("cold, limited on %d hosts for %s", r.limited, formatAge(r.limitedMS)))
	}
	return strings.Join(notes, "; ")
}

func (r *targetRow) add(t status.Target) {
	r.states[t.State]++
	r.flows += t.Flows
	r.reported = max(r.reported, t.Reported)
	r.distrusted = r.distrusted || t.Distrusted
	if t.Evacuated {
		r.evacuated++
	}
	if t.LimitedMS > 0 {
		r.limited++
		r.limitedMS = max(r.limitedMS, t.LimitedMS)
	}
	r.slowdown = max(r.slowdown, t.Slowdown)
	if t.Eligible {
		r.eligible++
	}
}

// formatStates returns the states with the number of hosts that report each.
func (r *targetRow) formatStates() string {
	text := ""
	for _, state := range slices.Sorted(maps.Keys(r.states)) {
		if text != "" {
			text += " "
		}
		text += fmt.Sprintf("%s(%d)", state, r.states[state])
	}
	return text
}
