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

// settled returns a network with 10% loss in which version 5 is in force everywhere.
func settled(t *testing.T, centres ...int) *network {
	t.Helper()
	n := newNetwork(7, centres...)
	n.loss, n.delay = 0.1, 50*time.Millisecond
	n.publish(envelope(5, "", 3))
	n.within(t, 5, 10*time.Second)
	return n
}

func (n *network) within(t *testing.T, version uint64, limit time.Duration) {
	t.Helper()
	start := n.now
	if !n.run(limit, n.everywhere(version)) || n.fault != "" {
		t.Fatalf("version %d not in force everywhere after %v: %v %s", version, limit, n.versions(), n.fault)
	}
	t.Logf("version %d in force everywhere after %v", version, n.now-start)
}

func (n *network) refusedWith(code resultcode.Code) (count int) {
	for _, h := range n.hosts {
		if slices.ContainsFunc(h.refusals, func(r BundleRefused) bool { return r.Code == code }) {
			count++
		}
	}
	return count
}

// Guards against a second content of a version that replaces the first one, or that only the readers learn of.
func TestConflict(t *testing.T) {
	n := settled(t, 8, 4)
	n.publish(envelope(5, "description: other", 3))
	shown := func() bool { return n.refusedWith(resultcode.BundleVersionConflict) == len(n.hosts) }
	if !n.run(10*time.Second, shown) || n.fault != "" {
		t.Fatalf("shown on %d of %d hosts; %s", n.refusedWith(resultcode.BundleVersionConflict), len(n.hosts), n.fault)
	}
	n.start(3) // a host without a bundle asks its peers before the platform, which has the second content
	n.within(t, 5, 6*time.Second)
	n.publish(envelope(6, "description: other", 3))
	n.within(t, 6, 6*time.Second)
	if s := n.hosts[0].core.Status(n.now); s.Conflict != 0 {
		t.Fatalf("the conflict is still shown: %+v", s)
	}
}

// Guards against a platform that returns to an older bundle, or offers one that is not valid, and has it taken.
func TestBadPlatformContent(t *testing.T) {
	good := envelope(6, "", 3)
	for code, content := range map[resultcode.Code][]byte{
		resultcode.PlatformStale:      envelope(4, "", 3),
		resultcode.BundleBadSignature: bytes.Replace(good, []byte("10.0.0.1"), []byte("10.0.0.2"), 1),
		resultcode.BundleEnvelope:     good[:100],
	} {
		n := settled(t, 8)
		n.publish(content)
		n.run(3*time.Second, nil)
		n.start(2)
		n.within(t, 5, 6*time.Second)
		if n.refusedWith(code) == 0 || n.hosts[2].version != 5 {
			t.Errorf("%v: no reader shows it", code)
		}
		n.publish(good)
		n.within(t, 6, 6*time.Second)
	}
}

// Guards against two versions published within a second of which the first stays in force somewhere.
func TestTwoVersionsWithinASecond(t *testing.T) {
	n := settled(t, 8, 4)
	for v := uint64(6); v < 26; v += 2 {
		n.publish(envelope(v, "", 3))
		n.run(time.Duration(n.rng.Int64N(int64(time.Second))), nil)
		n.publish(envelope(v+1, "", 3))
		n.within(t, v+1, 6*time.Second)
	}
}

// Guards against a paused host that holds up the others, or that acts on a version they have left when it wakes.
func TestPause(t *testing.T) {
	n := settled(t, 8)
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
			t.Fatalf("a paused host holds up version %d: %v", v, n.versions())
		}
		t.Logf("version %d in force on the others after %v", v, n.now-published)
	}
	n.run(time.Minute, nil)
	h.paused = false
	n.within(t, 8, 6*time.Second)
	if at, found := h.inForceAt[7]; found {
		t.Fatalf("version 7 was put in force at %v, after the others had left it", at)
	}
}

// Guards against a data centre that learns nothing when it alone is cut off from the platform, and against hosts that
// stop asking when neither peers nor platform answer.
func TestPlatformOutOfReach(t *testing.T) {
	n := settled(t, 8, 8)
	n.platform(false, n.hosts[8:])
	for v := uint64(6); v < 16; v++ {
		n.publish(envelope(v, "", 3))
		n.within(t, v, 6*time.Second)
	}
	n.platform(false, n.hosts)
	for i := range n.hosts {
		n.start(i)
	}
	n.platform(false, n.hosts)
	n.run(time.Minute, nil)
	n.platform(true, n.hosts[:1])
	n.publish(envelope(16, "", 3))
	n.within(t, 16, 20*time.Second)
}

// Guards against a data centre that is cut off and does not show it, changes its version, or stays behind when the
// first path is back.
func TestCutOffDataCentre(t *testing.T) {
	n := settled(t, 8, 8)
	for v, path := range []string{"peers", "platform"} {
		version := uint64(v + 6)
		for _, h := range n.hosts[8:] {
			h.side = 1
		}
		n.platform(false, n.hosts[8:])
		n.publish(envelope(version, "", 3))
		n.run(20*time.Second, nil)
		here, there := n.hosts[0].core.Status(n.now), n.hosts[8].core.Status(n.now)
		if here.InForce != version || there.InForce != version-1 {
			t.Fatalf("versions %v", n.versions())
		}
		if age := 15 * time.Second; there.SinceRead < age || there.SinceContact["dc0"] < age || here.SinceContact["dc1"] < age {
			t.Errorf("the cut is not shown: %+v, %+v", here, there)
		}
		if path == "peers" {
			for _, h := range n.hosts[8:] {
				h.side = 0
			}
		} else {
			n.platform(true, n.hosts[8:])
		}
		n.within(t, version, 6*time.Second)
		n.heal()
		n.run(5*time.Second, nil)
	}
}

// Guards against a version that nobody reads while both readers are dead and not yet declared gone.
func TestReadersDie(t *testing.T) {
	n := settled(t, 8)
	for _, h := range n.hosts {
		h.down = h.core.isReader()
	}
	n.publish(envelope(6, "", 3))
	n.within(t, 6, 6*time.Second)
}

// Guards against a host without the newest version that does not know it is behind, or names no peer that is current.
func TestBehind(t *testing.T) {
	n := settled(t, 2)
	h, other := n.hosts[0], n.hosts[1].member.ID
	n.handle(0, PeerInForce{From: other, Version: 9})
	if s := h.core.Status(n.now); !s.Behind || s.CurrentPeer != other {
		t.Fatalf("got %+v", s)
	}
	n.handle(0, MemberView{[]membership.Member{h.member}})
	if s := h.core.Status(n.now); s.Behind {
		t.Fatalf("behind a member that is gone: %+v", s)
	}
}

// Guards against a peer that announces what it does not deliver, or delivers something else, and keeps a host from the
// version that the other peers have.
func TestUndeliveredVersion(t *testing.T) {
	for name, data := range map[string]*Data{
		"silent":      nil,
		"bad delta":   {Version: 99, Delta: []byte("x")},
		"bad chunk":   {Version: 99, Sum: 1, Count: 1, Bytes: []byte("x")},
		"older":       {Version: 99, Sum: xxhash.Sum64(envelope(4, "", 3)), Count: 1, Bytes: envelope(4, "", 3)},
		"chunk range": {Version: 99, Index: 7, Count: 3, Bytes: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			n := settled(t, 4)
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
