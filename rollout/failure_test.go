package rollout

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// newNetworkWithVersion5 returns a network with 10% message loss in which version 5 is in force on all hosts.
func newNetworkWithVersion5(t *testing.T, centres ...int) *network {
	t.Helper()
	n := newNetwork(7, centres...)
	n.loss, n.delay = 0.1, 50*time.Millisecond
	n.publish(envelope(5, "", 3))
	n.requireInForce(t, 5, 10*time.Second)
	return n
}

func (n *network) requireInForce(t *testing.T, version uint64, limit time.Duration) {
	t.Helper()
	start := n.now
	if !n.run(limit, n.inForceEverywhere(version)) || n.violation != "" {
		t.Fatalf("version %d not in force everywhere after %v: %v %s", version, limit, n.versions(), n.violation)
	}
	t.Logf("version %d in force everywhere after %v", version, n.now-start)
}

func (n *network) hostsRefusingWith(code resultcode.Code) (count int) {
	for _, h := range n.hosts {
		if slices.ContainsFunc(h.refusals, func(r BundleRefused) bool { return r.Code == code }) {
			count++
		}
	}
	return count
}

// Guards against a version published again with different content that replaces the first content, or is reported only by
// the readers.
func TestConflict(t *testing.T) {
	n := newNetworkWithVersion5(t, 8, 4)
	n.publish(envelope(5, "description: other", 3))
	reported := func() bool { return n.hostsRefusingWith(resultcode.BundleVersionConflict) == len(n.hosts) }
	if !n.run(10*time.Second, reported) || n.violation != "" {
		t.Fatalf("conflict reported by %d of %d hosts, want all; %s",
			n.hostsRefusingWith(resultcode.BundleVersionConflict), len(n.hosts), n.violation)
	}
	n.start(3) // a host without a bundle queries its peers before the platform, which has the second content
	n.requireInForce(t, 5, 6*time.Second)
	n.publish(envelope(6, "description: other", 3))
	n.requireInForce(t, 6, 6*time.Second)
	if s := n.hosts[0].core.Status(n.now); s.Conflict != 0 {
		t.Fatalf("status %+v after a later version, want no conflict", s)
	}
}

// Guards against acceptance of an older or an invalid bundle from the platform.
func TestBadPlatformContent(t *testing.T) {
	good := envelope(6, "", 3)
	for code, content := range map[resultcode.Code][]byte{
		resultcode.PlatformStale:      envelope(4, "", 3),
		resultcode.BundleBadSignature: bytes.Replace(good, []byte("10.0.0.1"), []byte("10.0.0.2"), 1),
		resultcode.BundleEnvelope:     good[:100],
	} {
		n := newNetworkWithVersion5(t, 8)
		n.publish(content)
		n.run(3*time.Second, nil)
		n.start(2)
		n.requireInForce(t, 5, 6*time.Second)
		if n.hostsRefusingWith(code) == 0 || n.hosts[2].version != 5 {
			t.Errorf("%v: want a refusal with this code, and version 5 in force on the restarted host", code)
		}
		n.publish(good)
		n.requireInForce(t, 6, 6*time.Second)
	}
}

// Guards against the first of two versions published within a second staying in force on some host.
func TestTwoVersionsWithinASecond(t *testing.T) {
	n := newNetworkWithVersion5(t, 8, 4)
	for v := uint64(6); v < 26; v += 2 {
		n.publish(envelope(v, "", 3))
		n.run(time.Duration(n.rng.Int64N(int64(time.Second))), nil)
		n.publish(envelope(v+1, "", 3))
		n.requireInForce(t, v+1, 6*time.Second)
	}
}

// Guards against a paused host that delays activation on the others, or that after the pause activates a version that they
// have already replaced.
func TestPause(t *testing.T) {
	n := newNetworkWithVersion5(t, 8)
	h := n.hosts[4]
	n.publish(envelope(6, "", 3))
	n.run(20*time.Millisecond, nil)
	h.paused = true
	others := func() bool {
		return !slices.ContainsFunc(n.hosts, func(o *host) bool { return o != h && o.version != n.hosts[0].version })
	}
	for v := uint64(6); v < 9; v++ {
		published := n.now
		n.publish(envelope(v, "", 3))
		if !n.run(6*time.Second, func() bool { return n.hosts[0].version == v && others() }) {
			t.Fatalf("version %d not in force on the running hosts after 6 s while one host is paused: %v", v, n.versions())
		}
		t.Logf("version %d in force on the running hosts after %v", v, n.now-published)
	}
	n.run(time.Minute, nil)
	h.paused = false
	n.requireInForce(t, 8, 6*time.Second)
	if at, found := h.inForceAt[7]; found {
		t.Fatalf("the paused host activated version 7 at %v, want it skipped because the others had replaced it", at)
	}
}

// Guards against a data centre that gets no new versions when it alone cannot reach the platform, and against hosts that
// stop querying when neither peers nor platform respond.
func TestPlatformOutOfReach(t *testing.T) {
	n := newNetworkWithVersion5(t, 8, 8)
	n.setPlatformUp(false, n.hosts[8:])
	for v := uint64(6); v < 16; v++ {
		n.publish(envelope(v, "", 3))
		n.requireInForce(t, v, 6*time.Second)
	}
	n.setPlatformUp(false, n.hosts)
	for i := range n.hosts {
		n.start(i)
	}
	n.setPlatformUp(false, n.hosts)
	n.run(time.Minute, nil)
	n.setPlatformUp(true, n.hosts[:1])
	n.publish(envelope(16, "", 3))
	n.requireInForce(t, 16, 20*time.Second)
}

// Guards against a data centre that loses both platform and peers and does not report it, changes its version, or stays
// behind after the first of the two is reachable again.
func TestCutOffDataCentre(t *testing.T) {
	n := newNetworkWithVersion5(t, 8, 8)
	for v, path := range []string{"peers", "platform"} {
		version := uint64(v + 6)
		for _, h := range n.hosts[8:] {
			h.partition = 1
		}
		n.setPlatformUp(false, n.hosts[8:])
		n.publish(envelope(version, "", 3))
		n.run(20*time.Second, nil)
		here, there := n.hosts[0].core.Status(n.now), n.hosts[8].core.Status(n.now)
		if here.InForce != version || there.InForce != version-1 {
			t.Fatalf("versions in force %v, want the new one only in the first data centre", n.versions())
		}
		if age := 15 * time.Second; there.SinceRead < age || there.SinceContact["dc0"] < age || here.SinceContact["dc1"] < age {
			t.Errorf("status %+v and %+v, want times of at least 15 s since the last platform read and contact", here, there)
		}
		if path == "peers" {
			for _, h := range n.hosts[8:] {
				h.partition = 0
			}
		} else {
			n.setPlatformUp(true, n.hosts[8:])
		}
		n.requireInForce(t, version, 6*time.Second)
		n.heal()
		n.run(5*time.Second, nil)
	}
}

// Guards against a version that no balancer reads while both readers have failed and are not yet declared gone.
func TestReadersDie(t *testing.T) {
	n := newNetworkWithVersion5(t, 8)
	for _, h := range n.hosts {
		h.down = h.core.isReader()
	}
	n.publish(envelope(6, "", 3))
	n.requireInForce(t, 6, 6*time.Second)
}

// Guards against a host without the newest version that does not report that it is behind, or does not name a peer with that
// version.
func TestBehind(t *testing.T) {
	n := newNetworkWithVersion5(t, 2)
	h, other := n.hosts[0], n.hosts[1].member.ID
	n.handle(0, PeerInForce{From: other, Version: 9})
	if s := h.core.Status(n.now); !s.Behind || s.CurrentPeer != other {
		t.Fatalf("status %+v, want it behind the peer with version 9", s)
	}
	n.handle(0, MemberView{[]membership.Member{h.member}})
	if s := h.core.Status(n.now); s.Behind {
		t.Fatalf("status %+v, want it not behind, because the peer with version 9 is gone", s)
	}
}

// Guards against a peer that announces a version and does not deliver it, or delivers other data, and thereby keeps a host
// from fetching the version that the other peers have.
func TestUndeliveredVersion(t *testing.T) {
	for name, data := range map[string]*Data{
		"silent":      nil,
		"bad delta":   {Version: 99, Delta: []byte("x")},
		"bad chunk":   {Version: 99, Sum: 1, Count: 1, Bytes: []byte("x")},
		"older":       {Version: 99, Sum: xxhash.Sum64(envelope(4, "", 3)), Count: 1, Bytes: envelope(4, "", 3)},
		"chunk range": {Version: 99, Index: 7, Count: 3, Bytes: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetworkWithVersion5(t, 4)
			faulty := n.hosts[1]
			faulty.down = true
			for i := range 100 {
				n.run(100*time.Millisecond, nil)
				n.handle(0, MemberView{[]membership.Member{faulty.member, n.hosts[2].member}})
				n.handle(0, PeerAnnounced{Announcement{Host: faulty.member.ID, DataCentre: "dc0", Staged: 99}})
				if data != nil {
					n.handle(0, PeerData{faulty.member.ID, *data})
				}
				if i == 30 {
					n.hosts[0].noPlatform = true
					n.publish(envelope(6, "", 3))
				}
			}
			if n.hosts[0].version != 6 {
				t.Fatalf("version %d in force, want 6", n.hosts[0].version)
			}
		})
	}
}
