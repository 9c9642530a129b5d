package integration

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/standin/proxy"
)

// Guards against a host that starts while the store is down and serves nothing although its peers have the records and the
// configuration, and against a running host that discards them when the store fails.
func TestDirectStartWithoutStore(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	d.store.SetFailing(true)
	h := d.hosts[2]
	h.signal(syscall.SIGKILL)
	<-h.done
	d.eventually("the host is out of rotation", 5*time.Second, func() bool { return d.hostsInRotation() == len(d.hosts)-1 })
	d.startHost(h)
	d.eventually("the host is back", 5*time.Second, func() bool { return d.hostsInRotation() == len(d.hosts) })
	tr := d.startTraffic(10, 2)
	time.Sleep(4 * time.Second)
	tr.finish()
	tr.expectUninterrupted()
}

// Guards against a host whose connections to the store are reset and that does not learn of a change from its peers.
func TestDirectStoreRefusesOneHost(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	d.proxy.SetFaults("store-1", netip.Addr{}, proxy.LinkFaults{Forward: proxy.Faults{ResetConns: true}})
	time.Sleep(time.Second)
	d.setPorts(443, 8443, 9443)
	d.eventually("a new route is served everywhere", propagationLimit, func() bool { return d.hostsServing(9443) == len(d.hosts) })
	d.expectNoViolations()
}

// readers returns the hosts that call the store within the given time.
func (d *directDeployment) readers(within time.Duration) []*directHost {
	before := map[*directHost]uint64{}
	for _, h := range d.hosts {
		if s := d.status(h); s != nil {
			before[h] = s.Bundle.PlatformCalls
		}
	}
	time.Sleep(within)
	var readers []*directHost
	for _, h := range d.hosts {
		if s := d.status(h); s != nil && s.Bundle.PlatformCalls > before[h] {
			readers = append(readers, h)
		}
	}
	return readers
}

// soleReader waits until the hosts have discovered each other, and returns the only one that reads the store.
func (d *directDeployment) soleReader() *directHost {
	d.t.Helper()
	time.Sleep(2 * time.Second)
	readers := d.readers(2 * time.Second)
	if len(readers) != 1 {
		d.t.Fatalf("%d hosts read the store, expected 1", len(readers))
	}
	return readers[0]
}

// cutFromStore makes the connections of a host to the store carry nothing in either direction.
func (d *directDeployment) cutFromStore(h *directHost) {
	cut := proxy.LinkFaults{Forward: proxy.Faults{Cut: true}, Back: proxy.Faults{Cut: true}}
	d.proxy.SetFaults(fmt.Sprint("store-", h.number), netip.Addr{}, cut)
}

// inForce reports whether all hosts, except one that may be nil, have the version of the configuration or a later one.
func (d *directDeployment) inForce(version uint64, except *directHost) bool {
	for _, h := range d.hosts {
		if s := d.status(h); h != except && (s == nil || s.Bundle.InForce < version) {
			return false
		}
	}
	return true
}

// Changes the configuration right after the one host that reads the store was killed or suspended. Guards against several
// hosts that read the store, and against hosts that keep waiting for a failed reader.
func TestDirectReaderIsLost(t *testing.T) {
	t.Parallel()
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			d := startDirect(t, 4, 6)
			reader := d.soleReader()
			reader.signal(signal)
			d.setPorts(443, 8443, 9443)
			d.eventually("the new version is in force on the other hosts", propagationLimit, func() bool {
				return d.inForce(d.version, reader)
			})
			d.expectNoViolations()
		})
	}
}

// Changes the configuration right after the host that reads the store was cut off from it, while the other hosts' connections
// to the store, unused since the start, have gone silent. Guards against hosts that take over the reading on such a connection.
func TestDirectReaderIsCutOffWhileUnusedConnectionsAreSilent(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 4, 6)
	reader := d.soleReader()
	for _, h := range d.hosts {
		if h != reader {
			d.proxy.Silence(fmt.Sprint("store-", h.number))
		}
	}
	time.Sleep(5 * time.Second)
	d.cutFromStore(reader)
	d.setPorts(443, 8443, 9443)
	d.eventually("the new version is in force on all hosts", propagationLimit, func() bool { return d.inForce(d.version, nil) })
	d.expectNoViolations()
}

// Another program writes odd records, under new names and over that of a target that drains, while one host only learns from its
// peers. Guards against records that end a process or keep it from following changes, and against resets of the target's sessions.
func TestDirectOddRecords(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 3, 6)
	tr := d.startTraffic(20, 3)
	tr.recorder = d.recorder
	reader := d.soleReader()
	for _, h := range d.hosts {
		if h != reader {
			d.proxy.SetFaults(fmt.Sprint("store-", h.number), netip.Addr{}, proxy.LinkFaults{Forward: proxy.Faults{ResetConns: true}})
		}
	}
	d.putTargetRecord(1, "draining")
	sound, err := json.Marshal(d.targets[targetName(2)].Record("ready", d.address(targetLinkSubnet, 2, targetPort)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		for j, odd := range [][2]string{
			{`"cold_remaining_ms":0`, `"cold_remaining_ms":9223372036854775807`},
			{`"capacity":2`, `"capacity":9223372036854775807`},
			{`"capacity":2`, `"capacity":1e999`},
			{`"service":"ingest"`, `"service":"` + strings.Repeat("s", 1<<19) + `"`},
			{fmt.Sprint(":", targetPort), ":99999"},
			{`"version"`, `"nested":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `,"version"`},
			{`"version"`, `"Version"`},
			{string(sound), "{"},
		} {
			record := strings.Replace(string(sound), odd[0], odd[1], 1)
			if record == string(sound) {
				t.Fatalf("%s is not in %s", odd[0], sound)
			}
			d.store.PutRaw(fmt.Sprintf("servers/i-0dd%x%x", i, j), []byte(record))
		}
		d.store.PutRaw("servers/"+targetName(1), []byte("\xff{"))
		d.setPorts(443, 8443, uint16(9443+i))
		d.eventually("a new route is served everywhere", propagationLimit, func() bool { return d.hostsServing(uint16(9443+i)) == len(d.hosts) })
	}
	tr.finish()
	for _, h := range d.hosts {
		select {
		case <-h.done:
			t.Errorf("the process of host %d has ended", h.number)
		default:
		}
	}
	tr.expectUninterrupted()
}

// Cuts the host that reads the store off from it while large configurations follow each other. Guards against hosts that take over the
// reading with a watch whose response is larger than they read, and repeat it.
func TestDirectReaderIsCutOffDuringLargeConfigurations(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 4, 6)
	reader := d.soleReader()
	d.cutFromStore(reader)
	d.unused = 1700 // about 0.3 MB
	d.setPorts(443, 8443, 9443)
	first, changed := d.version, time.Now()
	for range 29 {
		d.publish()
	}
	d.eventually("the new route is in force on all hosts", propagationLimit-time.Since(changed), func() bool { return d.inForce(first, nil) })
	d.expectNoViolations()
}

// Guards against changes that are lost when the store drops its history and watches from earlier revisions fail.
func TestDirectHistoryDropped(t *testing.T) {
	t.Parallel()
	d := startDirect(t, 2, 4)
	for round := range 3 {
		d.setPorts(443, 8443, uint16(9000+round))
		d.store.DropHistory()
		d.eventually("a new route is served everywhere", propagationLimit,
			func() bool { return d.hostsServing(uint16(9000+round)) == len(d.hosts) })
	}
	d.expectNoViolations()
}
