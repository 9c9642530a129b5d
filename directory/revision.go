package directory

import "fmt"

// Revision orders all changes of the store. The store's own revision takes the lower 48 bits. The upper 16 bits are the store's era,
// which is incremented each time the store is restored from a copy, because it then assigns revisions again.
type Revision uint64

const (
	eraShift = 48
	// maxRevisionNumber is the highest revision that a store can have within an era.
	maxRevisionNumber = 1<<eraShift - 1
)

// NewRevision returns the revision with the number that the store assigned to it in the era.
func NewRevision(era uint16, number uint64) (Revision, error) {
	if number > maxRevisionNumber {
		return 0, Error.New("revision %d has more than %d bits", number, eraShift)
	}
	return Revision(era)<<eraShift | Revision(number), nil
}

// Era returns the number of times that the store had been restored from a copy.
func (r Revision) Era() uint16 { return uint16(r >> eraShift) }

// Number returns the revision as the store numbers it within the era.
func (r Revision) Number() uint64 { return uint64(r & maxRevisionNumber) }

// String returns the number, after the era if that is not 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
