package ownership

import (
	"testing"

	"github.com/marigoldwood/marigoldwood/membership"
	"pgregory.net/rapid"
)

// Guards against a takeover by a member that holds no copies: when a member is removed, the backups of its buckets must
// become their owners, and the buckets of other owners must not move.
func TestBackupFollowsOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.Uint64Min(1), 3, 20, rapid.ID).Draw(t, "ids")
		members := make([]membership.HostID, len(ids))
		for i, id := range ids {
			members[i] = membership.HostID(id)
		}
		before := Build(members)
		after := Build(members[1:])
		for b := Bucket(0); b < BucketCount; b++ {
			want := before.Owner(b)
			if want == members[0] {
				want = before.Backup(b)
			}
			if got := after.Owner(b); got != want {
				t.Fatalf("bucket %d: owner is %d after the removal of a member, want %d", b, got, want)
			}
		}
	})
}
