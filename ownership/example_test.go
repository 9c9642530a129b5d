package ownership_test

import (
	"fmt"

	"github.com/marigoldwood/marigoldwood/membership"
	"github.com/marigoldwood/marigoldwood/ownership"
)

func Example() {
	members := []membership.HostID{membership.NewHostID("a"), membership.NewHostID("b"), membership.NewHostID("c")}
	m := ownership.Build(members)
	b := ownership.Bucket(7)
	var left []membership.HostID
	for _, id := range members {
		if id != m.Owner(b) {
			left = append(left, id)
		}
	}
	fmt.Println("the backup becomes the owner:", ownership.Build(left).Owner(b) == m.Backup(b))
	// Output: the backup becomes the owner: true
}
