package rollout

import (
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/membership"
)

// newCoreWithStagedVersion returns a core with version 5 in force and version 6 staged at time 0. It waits for a member that
// never stages version 6.
func newCoreWithStagedVersion(t *testing.T) (c *Core, member Announcement) {
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
		t.Fatalf("status %+v, want version 5 in force and version 6 staged", c.Status(0))
	}
	return c, member
}

// tickUntilActivated advances time in steps of 100 ms and returns the time at which another version than the given one is in
// force, or end.
func tickUntilActivated(c *Core, start, end time.Duration, version uint64) time.Duration {
	for now := start; now < end; now += 100 * time.Millisecond {
		if c.Handle(now, Tick{}); c.InForce().Version != version {
			return now
		}
	}
	return end
}

// Guards against a balancer that, directly after a pause, activates a version that its peers may have replaced meanwhile.
func TestResumeWaitsForPeers(t *testing.T) {
	c, _ := newCoreWithStagedVersion(t)
	if at := tickUntilActivated(c, time.Minute, 2*time.Minute, 5) - time.Minute; at < refreshTimeout || at > 2*time.Second {
		t.Fatalf("activated %v after the pause, want 1 to 2 s", at)
	}
}

// Guards against early activation of a staged version although a peer already has a later version in force.
func TestSkipsVersionOlderThanPeer(t *testing.T) {
	c, member := newCoreWithStagedVersion(t)
	member.InForce, member.InForceDigest = 7, DigestPrefix{7}
	c.Handle(0, PeerAnnounced{member})
	if at := tickUntilActivated(c, 0, time.Minute, 5); at < 1500*time.Millisecond || at > 2*time.Second {
		t.Fatalf("activated after %v, want at the deadline (1.5 to 2 s) because version 7 cannot be fetched", at)
	}
}

// Guards against frequent publications, each of which restarts the activation deadline so that none takes effect.
func TestFrequentPublicationsStillActivate(t *testing.T) {
	c, _ := newCoreWithStagedVersion(t)
	for v := uint64(7); v < 20; v++ {
		start := time.Duration(v-6) * time.Second
		c.Handle(start, PlatformBundle{"", envelope(v, "", 3)})
		if at := tickUntilActivated(c, start, start+time.Second, 5); at < start+time.Second {
			if at > maxActivationDelay {
				t.Fatalf("activated after %v, want at most 3 s", at)
			}
			return
		}
	}
	t.Fatal("no version was activated during 13 publications at intervals of 1 s")
}
