package routing

import "github.com/pkg/errors"

// Revision orders the states of the store. It combines the store's era, which rises each
// time the store is restored from an older backup, with the revision number within the era;
// numbers are reused after such a restore. A store without eras has era 0.
type Revision uint64

// The bits of a Revision: 16 for the era and 48 for the number. With one restore per minute the
// eras last 45 days; with 10,000 changes per second the numbers of an era last 900 years.
const (
	numberBits = 48
	maxEra     = 1<<(64-numberBits) - 1
	maxNumber  = 1<<numberBits - 1
)

// ErrRevisionTooLarge is returned for an era or a number that doesn't fit a Revision.
var ErrRevisionTooLarge = errors.New("store era or revision out of range; check which server answers at the store's address")

// NewRevision returns the revision with a number of an era.
func NewRevision(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, ErrRevisionTooLarge
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns how often the store has been restored from an older backup.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the revision number within the era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }
