package direct

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/marigoldwood/marigoldwood/directory"
	"github.com/marigoldwood/marigoldwood/internal/peer"
	"github.com/marigoldwood/marigoldwood/platform"
	"github.com/marigoldwood/marigoldwood/platform/standin"
	"github.com/marigoldwood/marigoldwood/relay"
	"github.com/marigoldwood/marigoldwood/resultcode"
	"github.com/marigoldwood/marigoldwood/steer"
)

// recordField is a field of a target's record, with its value as JSON.
type recordField struct{ name, value string }

func soundRecord() []recordField {
	return []recordField{
		{"service", `"ingest"`},
		{"address", `"127.0.0.9:80"`},
		{"zone", `"a"`},
		{"version", `"v1"`},
		{"capacity", "2"},
		{"state", `"ready"`},
		{"cold_remaining_ms", "0"},
		{"sequence_number", "4"},
		{"born", "1700000000000"},
	}
}

func encodeRecord(fields []recordField) []byte {
	var b bytes.Buffer
	for i, f := range fields {
		b.WriteString([]string{"{", ","}[min(i, 1)])
		fmt.Fprintf(&b, "%q:%s", f.name, f.value)
	}
	return append(b.Bytes(), '}')
}

// oddValues are values that a field of a sound record does not have.
var oddValues = []string{
	"null", "true", `""`, `"x"`, "-1", "0", "1.5", "1e3", "1e400", "65536", "9223372036854775807", "9223372036854775808", "-9223372036854775808",
	"[]", "{}", `{"a":{"a":1}}`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000), strings.Repeat("[", 50000) + strings.Repeat("]", 50000),
	`"` + strings.Repeat("x", 300) + `"`, `"` + strings.Repeat("y", 1<<18) + `"`, "\"\xff\"", `"\u0000"`, `"127.0.0.9:0"`, `"127.0.0.9:65536"`,
	`"127.0.0.9:99999999999999999999"`, `"[::1]:80"`, `"0.0.0.0:80"`, `"255.255.255.255:80"`, `"draining"`, `"leaving"`, "", "]",
}

// drawOddRecord draws a record of another program: a sound one with some odd fields, or none at all.
func drawOddRecord(t *rapid.T) []byte {
	fields := soundRecord()
	for range rapid.IntRange(0, 3).Draw(t, "odd fields") {
		i := rapid.IntRange(0, len(fields)-1).Draw(t, "field")
		value := rapid.SampledFrom(oddValues).Draw(t, "value")
		switch rapid.SampledFrom([]string{"replace", "replace", "replace", "remove", "repeat", "other case", "add"}).Draw(t, "change") {
		case "replace":
			fields[i].value = value
		case "remove":
			fields = append(fields[:i], fields[i+1:]...)
		case "repeat":
			fields = append(fields, recordField{fields[i].name, value})
		case "other case":
			fields = append(fields, recordField{strings.ToUpper(fields[i].name), value})
		case "add":
			fields = append(fields, recordField{"new", value})
		}
		if len(fields) == 0 {
			return []byte(value)
		}
	}
	record := encodeRecord(fields)
	return record[:rapid.SampledFrom([]int{len(record), len(record), len(record), len(record) / 2, 0}).Draw(t, "length")]
}

// recordPath passes records from a store through a host that reads it to a host that only has contact with the first one.
type recordPath struct {
	store          *standin.Store
	source         *platform.Store
	reader, behind *Control
	server         netip.AddrPort
	exchange       *Exchange
	client         *peer.Client
}

func newRecordPath(t *testing.T) *recordPath {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(free.Addr().String())
	_ = free.Close()
	p := &recordPath{}
	if p.store, err = standin.NewStore(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.store.Close)
	p.source = platform.NewStore(address, time.Second, func(error) {})
	t.Cleanup(p.source.Close)
	clock := func() time.Duration { return time.Minute }
	log := logrus.New()
	p.reader, p.behind = newTestControl(t, clock, log), newTestControl(t, clock, log)
	p.exchange = NewExchange("behind", "a", clock, logrus.NewEntry(log))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &peer.Server{
		Identity: peer.NewIdentity("reader", "a", exchangeIncarnation), Refused: func(r peer.Refusal) { t.Error(r.Err) },
		Handler: func(_ context.Context, m peer.Message) (peer.Message, error) {
			return &peer.RelayReply{Reply: *p.reader.handleReport(&m.(*peer.RelayReport).Report)}, nil
		},
	}
	go func() { _ = server.Serve(t.Context(), listener) }() // returns when the test ends
	p.server = netip.MustParseAddrPort(listener.Addr().String())
	p.client = peer.NewClient(p.exchange.identity, p.server, time.Second)
	t.Cleanup(p.client.Close)
	p.store.Put("op/config", map[string]any{
		"version": 7, "services": []any{}, "routes": []any{
			map[string]any{"name": "r", "host": "127.9.0.1", "prefix": "/443/", "route_type": "safe", "service": "ingest"},
		},
	})
	p.store.PutRaw("servers/i-1", encodeRecord(soundRecord()))
	if err := p.read(t.Context(), directory.Read{Kind: directory.ReadList}); err != nil {
		t.Fatal(err)
	}
	if result := p.pull(t.Context()); result.err != nil {
		t.Fatal(result.err)
	}
	return p
}

// read passes the result of a read of the store to the reader.
func (p *recordPath) read(ctx context.Context, r directory.Read) error {
	result := newStoreReader(p.source, p.reader.clock).read(ctx, r)
	p.reader.handleRead(result)
	return result.err
}

// pull passes the changes that the second host lacks from the reader to it.
func (p *recordPath) pull(ctx context.Context) replyResult {
	report := &relay.Report{
		Host:      relay.Host{Name: "behind", DataCentre: "a", Address: netip.MustParseAddrPort("127.0.0.3:1"), Weight: 1},
		Freshness: p.behind.freshness(time.Minute), WantsChanges: true,
	}
	result := p.exchange.roundTrip(ctx, p.client, p.server, report)
	p.behind.handleReply(result)
	return result
}

// Other programs write records of any content, under new names and over those of targets. Guards against a record that ends a
// process, that the reader accepts and another host refuses, that keeps the sound records beside it from being in force, or that
// brings packets to a target that it does not describe completely.
func TestOddRecordsOfOtherPrograms(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newRecordPath(t)
		for i := range rapid.IntRange(1, 5).Draw(rt, "records") {
			name := rapid.SampledFrom([]string{"i-1", "i-2", fmt.Sprint("i-a", i), "other", ""}).Draw(rt, "name")
			p.store.PutRaw("servers/"+name, drawOddRecord(rt))
		}
		p.expectSoundRecordInForce(t.Context(), rt)
	})
}

// Guards against what TestOddRecordsOfOtherPrograms describes, for each field of a record with each odd value in its place.
func TestEachFieldWithEachOddValue(t *testing.T) {
	p := newRecordPath(t)
	for i, f := range soundRecord() {
		for j, value := range oddValues {
			fields := soundRecord()
			fields[i] = recordField{f.name, value}
			p.store.PutRaw(fmt.Sprintf("servers/i-a%d-%x", i, j), encodeRecord(fields))
			if !p.expectSoundRecordInForce(t.Context(), t) {
				t.Fatalf("after a record with the %s %.60s", f.name, value)
			}
		}
	}
}

// expectSoundRecordInForce writes a sound record, and fails the test and returns false if one of the hosts does not use it.
func (p *recordPath) expectSoundRecordInForce(ctx context.Context, t testingT) bool {
	p.store.PutRaw("servers/i-3", encodeRecord(soundRecord()))
	if err := p.read(ctx, directory.Read{Kind: directory.ReadWatch, After: p.reader.directory.Revision()}); err != nil {
		t.Errorf("the reader cannot read on: %v", err)
		return false
	}
	if result := p.pull(ctx); result.err != nil || len(result.rejected) > 0 {
		t.Errorf("another host refuses the reply (%v) or a part of it (%v)", result.err, result.rejected)
		return false
	}
	for name, c := range map[string]*Control{"reader": p.reader, "other host": p.behind} {
		if c.directory.Revision() != p.reader.directory.Revision() || presence(c, "i-3") != directory.Ready {
			t.Errorf("%s: revision %d, the sound record beside the odd ones is not in force", name, c.directory.Revision())
			return false
		}
		if d, ok := placesUsably(c); !ok {
			t.Errorf("%s: new flow got %+v, want it forwarded to a usable target", name, d)
			return false
		}
	}
	return true
}

// testingT is the part of testing.T that rapid.T has too.
type testingT interface {
	Errorf(format string, args ...any)
}

// presence returns the presence of a target in the view of a host, Gone if the view does not contain it.
func presence(c *Control, name string) directory.Presence {
	for _, entry := range c.traffic.View().Snapshot().Targets {
		if entry.Name == name {
			return entry.Presence
		}
	}
	return directory.Gone
}

// placesUsably opens flows. It returns false, with the decision, if one is not forwarded to a target that can be used.
func placesUsably(c *Control) (steer.Decision, bool) {
	e := steer.NewEngine()
	e.SetView(c.traffic.View())
	for i := range 50 {
		d := e.Decide(&steer.Packet{
			Open: true, Endpoint: directory.Endpoint{Address: [4]byte{127, 9, 0, 1}, Port: 443},
			Caller: directory.Endpoint{Address: [4]byte{100, 64, 0, byte(i)}, Port: 5000},
		}, time.Minute)
		if d.Action != steer.Forward || d.Code != resultcode.OK || d.Target.Service != "ingest" || d.Target.Validate() != nil {
			return d, false
		}
	}
	return steer.Decision{}, true
}
