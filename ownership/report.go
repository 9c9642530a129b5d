package ownership

import "strconv"

var roleNames = [...]string{"forward", "owner", "acquiring"}

// String returns the lower-case name of the role.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return strconv.Itoa(int(r))
}

// Len returns the number of exceptions in the buckets that this member owns.
func (r *Replicator) Len() int {
	n := 0
	for b := range r.buckets {
		if r.buckets[b].owned {
			n += len(r.buckets[b].flows)
		}
	}
	return n
}
