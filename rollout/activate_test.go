package rollout

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

// waiting returns a core with version 5 in force and 6 staged at 0, which waits for a member that never stages 6.
func waiting(t *testing.T) (c *Core, member Announcement) {
	t.Helper()
	n := newNetwork(1, 2)
	c = n.hosts[0].core
	member = Announcement{Host: n.hosts[1].member.ID, DataCentre: "dc0"}
	c.Handle(0, MemberView{[]membership.Member{n.hosts[1].member}})
	c.Handle(0, PlatformBundle{"5", envelope(5, "", 3)})
	member.InForce, member.InForceDigest = 5, PrefixOf(c.Staged())
	c.Handle(0, PeerAnnounced{member})
	c.Handle(0, PlatformBundle{"6", envelope(6, "", 3)})
	if c.InForce().Version != 5 || c.Staged().Version != 6 {
		t.Fatalf("%+v", c.Status(0))
	}
	return c, member
}

// tickUntil passes time in steps of 100 ms and returns when the version changes from the one given, or end.
func tickUntil(c *Core, start, end time.Duration, version uint64) time.Duration {
	for now := start; now < end; now += 100 * time.Millisecond {
		if c.Handle(now, Tick{}); c.InForce().Version != version {
			return now
		}
	}
	return end
}

// Guards against a paused balancer that activates, as soon as it wakes, what its peers may have left long ago.
func TestWakingWaitsForPeers(t *testing.T) {
	c, _ := waiting(t)
	if at := tickUntil(c, time.Minute, 2*time.Minute, 5) - time.Minute; at < refreshTime || at > 2*time.Second {
		t.Fatalf("activated %v after waking", at)
	}
}

// Guards against a version that is put in force although a peer shows that the data centre has left it.
func TestPassedVersionIsSkipped(t *testing.T) {
	c, member := waiting(t)
	member.InForce, member.InForceDigest = 7, DigestPrefix{7}
	c.Handle(0, PeerAnnounced{member})
	if at := tickUntil(c, 0, time.Minute, 5); at < 1500*time.Millisecond || at > 2*time.Second {
		t.Fatalf("activated after %v, want at the deadline because version 7 cannot be had", at)
	}
}

// Guards against a series of publications that keeps every one of them from taking effect.
func TestSeriesOfVersions(t *testing.T) {
	c, _ := waiting(t)
	for v := uint64(7); v < 20; v++ {
		start := time.Duration(v-6) * time.Second
		c.Handle(start, PlatformBundle{"", envelope(v, "", 3)})
		if at := tickUntil(c, start, start+time.Second, 5); at < start+time.Second {
			if at > maxWait {
				t.Fatalf("activated after %v", at)
			}
			return
		}
	}
	t.Fatal("never activated")
}
