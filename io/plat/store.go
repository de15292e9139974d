package plat

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnknown marks a change whose answer was lost; it may or may not have taken effect.
var ErrUnknown = errors.New("outcome of the change is unknown")

// ErrUnavailable marks a call that certainly had no effect, because it was not made, did not reach
// the service or was rejected there.
var ErrUnavailable = errors.New("service unavailable")

// ErrLeaseLost marks a lease that has expired or was revoked.
var ErrLeaseLost = errors.New("lease lost")

// ErrCompacted marks a watch from a revision that the service's history no longer includes.
var ErrCompacted = errors.New("history compacted")

// ValueLimit is the size of the largest value that the key-value service takes, in bytes.
const ValueLimit = 1 << 20

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Entry is a key with its value at a revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the entry's last change; zero means that there is no such
	// key.
	Revision int64
	Lease    LeaseID
}

// Listing is the entries under a prefix at one revision of the store.
type Listing struct {
	Entries  []Entry
	Revision int64
}

// Event is a change of one entry; a deletion has Deleted set and no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Conflict is the error of a swap whose expected revision was not the current one.
type Conflict struct {
	// Current is the current entry; its revision is zero if there is none.
	Current Entry
}

// Error states the key and the current revision.
func (c Conflict) Error() string {
	return fmt.Sprintf("conflict on %s: revision is %d", c.Current.Key, c.Current.Revision)
}

// TooLarge is the error of a swap whose value exceeds ValueLimit.
type TooLarge struct {
	Key   string
	Bytes int
}

// Error states the key and the size.
func (t TooLarge) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, limit is %d", t.Key, t.Bytes, ValueLimit)
}

// Swap is a compare-and-swap: it replaces an entry if its revision is the expected one.
type Swap struct {
	Key string
	// Expect is the revision that the entry must have; zero means that there must be no such key.
	Expect int64
	Value  []byte
	// Lease attaches the entry to a lease, at whose end the service deletes it; zero attaches it to
	// none.
	Lease LeaseID
}

// Reader has the operations that query the key-value service.
type Reader interface {
	// Get returns the entry, with revision zero if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys have the prefix, in the order of keys.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch sends the changes under the prefix, starting with the given revision, or with the next
	// change if it is zero, until the context ends. It fails with ErrCompacted if the history no
	// longer includes the revision. The channel is closed when the watch ends, also early, for
	// instance because the receiver is too slow or the connection fails; the caller then lists and
	// watches again.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
}

// Writer has the operations that change the key-value service.
type Writer interface {
	// Swap replaces the entry and returns its new revision; it fails with Conflict, TooLarge,
	// ErrUnknown, ErrUnavailable or ErrLeaseLost.
	Swap(ctx context.Context, s Swap) (int64, error)
	// Delete removes the entry if its revision is the expected one.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant returns a new lease of the given length.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease and returns its remaining time.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends the lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
}

// Store has all operations of the key-value service.
type Store interface {
	Reader
	Writer
}
