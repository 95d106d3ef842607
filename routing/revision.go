package routing

import "github.com/pkg/errors"

// Revision orders what the store says: by its era, which rises each time that the store
// comes back from an older copy of itself, and by the revision within that era, which then
// is given out again. Both are one number, so that they can't be compared by half; without
// eras it is the revision itself.
type Revision uint64

// eraBits and numberBits divide the number: ten thousand changes a second take nine
// hundred years to fill an era, and an era a minute takes 45 days.
const (
	numberBits = 48
	eraMost    = 1<<(64-numberBits) - 1
	numberMost = 1<<numberBits - 1
)

// ErrRevisionTooLarge reports an era or a revision beyond what a store can have.
var ErrRevisionTooLarge = errors.New("the store's era or revision is beyond its bound; check what answers at the store's address")

// NewRevision gives a revision of an era.
func NewRevision(era, number uint64) (Revision, error) {
	if era > eraMost || number > numberMost {
		return 0, ErrRevisionTooLarge
	}
	return Revision(era<<numberBits | number), nil
}

// Era gives how often the store came back from an older copy before.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number gives the revision as the store counts it.
func (r Revision) Number() uint64 { return uint64(r) & numberMost }
