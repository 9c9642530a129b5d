package peer

import (
	"bytes"
	"testing"

	"github.com/marigoldwood/marigoldwood/health"
	"github.com/marigoldwood/marigoldwood/limits"
	"github.com/marigoldwood/marigoldwood/ownership"
)

// FuzzFrame guards against frames that make the decoders of frames, messages or compact lists panic.
func FuzzFrame(f *testing.F) {
	id := NewIdentity("host", "regina", 1)
	for _, m := range []Message{
		&Hello{Host: "host"}, &BucketClaim{Buckets: Buckets{1, 5}}, &HealthReport{Reports: []health.Report{{}}},
		&BucketGrant{Exceptions: Exceptions{Flows: []ownership.Exception{{Target: 4}}}}, &LeaseGrant{Grants: []limits.Grant{{}}},
	} {
		frame, err := id.frame(m)
		if err != nil {
			f.Fatal(err)
		}
		b, err := id.encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := ReadFrame(bytes.NewReader(b), nil)
		if err != nil {
			return
		}
		if m, err := frame.Decode(); err == nil && m.Type() != frame.Type {
			t.Fatalf("frame of type %v decoded to a message of type %v", frame.Type, m.Type())
		}
	})
}
