package plat

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnknown marks a change whose answer was lost: it may or may not have taken effect.
var ErrUnknown = errors.New("outcome of the change is unknown")

// ErrUnavailable marks a call that certainly had no effect because the service was not reached.
var ErrUnavailable = errors.New("service unavailable")

// ErrLeaseLost marks a lease that has lapsed or was revoked.
var ErrLeaseLost = errors.New("lease lost")

// ErrCompacted marks a watch that starts before the history that the service still has.
var ErrCompacted = errors.New("history compacted")

// ValueLimit is the largest value that the key-value service takes, in bytes.
const ValueLimit = 1 << 20

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Entry is a key with its value at a revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the entry's last change; zero means that there is no such key.
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

// Conflict is the error of a swap whose expected revision was not the present one.
type Conflict struct {
	// Present is the entry as it stands; its revision is zero where there is none.
	Present Entry
}

// Error states the key and the revision that stands.
func (c Conflict) Error() string {
	return fmt.Sprintf("conflict on %s: revision is %d", c.Present.Key, c.Present.Revision)
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

// Swap asks to replace an entry whose revision is the expected one.
type Swap struct {
	Key string
	// Expect is the revision that must stand; zero means that there must be no such key.
	Expect int64
	Value  []byte
	// Lease, if set, deletes the entry when the lease ends.
	Lease LeaseID
}

// Reader is the asking side of the key-value service.
type Reader interface {
	// Get returns the entry, with revision zero where there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys have the prefix, in the order of keys.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch sends the changes under the prefix from the revision on (from now on where it is zero),
	// until the context ends; it fails with ErrCompacted where the history is gone;
	// the channel is closed when the watch breaks off, and the caller lists and watches anew.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
}

// Writer is the changing side of the key-value service.
type Writer interface {
	// Swap replaces the entry and returns its new revision; it fails with Conflict, ErrUnknown,
	// ErrUnavailable or ErrLeaseLost.
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

// Store is the whole key-value service.
type Store interface {
	Reader
	Writer
}
