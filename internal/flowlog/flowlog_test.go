package flowlog

import (
	"strings"
	"testing"
)

const sampleLog = `time="2026-10-21T21:50:04.5Z" level=info msg=decision code=ok copy=0 event=flow-placed flow="100.66.0.1:1025>198.18.0.1:443" host=h-1 target=t-1
not a line of a balancer
time="2026-10-21T21:50:03Z" level=info msg=target-listed event=target-listed host=h-2 target=t-1 source=store
time="2026-10-21T21:50:04Z" level=info msg=decision code=ok copy=0 event=flow-placed flow="100.66.0.2:1025>198.18.0.1:443" host=h-1 target=t-2
time="2026-10-21T21:49:50Z" level=info msg=lifecycle event=lifecycle host=h-1 detail="starting to serving: view-complete"
time="2026-10-21T21:49:58Z" level=info msg="balancer started" event=start host=h-1
time="2026-10-21T21:49:59Z" level=info msg="balancer started" event=start host=h-3
time="2026-10-21T21:50:05Z" level=info msg=target-removed event=target-removed host=h-3 target=t-2
time="2026-10-21T21:50:08Z" level=info msg=decision code=target-gone event=flow-break flow="100.66.0.1:1025>198.18.0.1:443" host=h-2 target=t-1
time="2026-10-21T21:50:06Z" level=info msg=target-removed event=target-removed host=h-3 target=t-1 draining=false
event=start host=h-1
`

// Guards against a wrong selection for a failed request: lines about other flows, targets and hosts, or lines in the order of
// the files instead of the order of time.
func TestSelect(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range Select(lines, "100.66.0.1:1025>198.18.0.1:443") {
		got = append(got, l.Host+" "+l.Event+" "+l.Target)
	}
	want := []string{"h-1 start ", "h-2 target-listed t-1", "h-1 flow-placed t-1", "h-3 target-removed t-1", "h-2 flow-break t-1"}
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		t.Errorf("got %q\nwant %q", got, want)
	}
	if got := Select(lines, "100.66.0.9:1>198.18.0.1:443"); got != nil {
		t.Errorf("got lines %v for a flow that is not in the log, want none", got)
	}
}

// Guards against a log that crashes the program: logs contain lines of other programs and truncated lines.
func FuzzRead(f *testing.F) {
	f.Add(sampleLog)
	f.Add(`time="2026-10-21T21:50:04.5Z`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			if l.Host == "" || l.At.IsZero() {
				t.Fatalf("accepted %q, which lacks a host or a time", l.Text)
			}
			Select(lines, l.Flow)
		}
	})
}
