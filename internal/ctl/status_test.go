package ctl

import (
	"strings"
	"testing"

	"github.com/marigoldwood/marigoldwood/internal/status"
)

// Guards against an evacuation that seems to be in force on hosts that do not know of it, and against limited targets without a note.
func TestStatusShowsEvacuationsAndLimits(t *testing.T) {
	cold := []status.Service{{Name: "ingest", Targets: []status.Target{{Address: "127.0.0.2:80", State: "ready", LimitedMS: 2500}}}}
	var out strings.Builder
	err := writeStatus(&out, []status.Status{
		{Host: "h-1", DataCentre: "brandon", Services: cold, Evacuations: []status.Evacuation{{DataCentre: "regina", AgeMS: 3200}}},
		{Host: "h-2", DataCentre: "brandon", Services: cold, Evacuations: []status.Evacuation{{DataCentre: "regina", AgeMS: 3900}}},
		{Host: "h-3", DataCentre: "brandon"},
	})
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"regina 3.9s 2 of 3 hosts", "cold, limited on 2 hosts for 2.5s"} {
		if err != nil || !strings.Contains(text, want) {
			t.Errorf("got %v and\n%s\nwant %q in it", err, out.String(), want)
		}
	}
}
