// Package store defines the interface of the metadata store of the users'
// platform, through which the daemon of package fleet uses it. Package platform
// implements the client.
package store

import (
	"cmp"
	"context"
	"strconv"
	"time"
)

// Position orders the states of the store. The store may come back from an older copy:
// its revision then goes back, and revisions are given out again, but its era rises.
type Position struct {
	// Era counts how often the store has come back from a copy.
	Era uint64 `json:"era,omitempty"`
	// Revision is the store's revision in that era.
	Revision uint64 `json:"revision"`
}

// Compare returns -1 if p is earlier than o, 1 if it is later, and 0 otherwise.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// revisionBits is the number of bits of a token that hold the revision: enough for
// 100,000 changes a second for four months.
const revisionBits = 40

// Token returns a number that rises with the position and doesn't fall when the
// store's revision goes back. It stays below 2^53 in the first 8,192 eras.
func (p Position) Token() uint64 { return p.Era<<revisionBits | p.Revision&(1<<revisionBits-1) }

func (p Position) String() string {
	return strconv.FormatUint(p.Era, 10) + "/" + strconv.FormatUint(p.Revision, 10)
}

// Item is a key with its value, or the removal of a key.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Position is the revision of the key's last change, in the era in which the
	// store returned it. The revision is zero if there is no such key.
	Position
	// Removed reports whether the key was removed.
	Removed bool `json:"removed,omitempty"`
}

// Write is a change of one key.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// LeaseID is the ID of the lease that the key is bound to; the key is
	// removed when the lease ends. Zero means none.
	LeaseID uint64 `json:"lease,omitempty"`
	// Conditional makes the write fail with *ConflictError unless the key still
	// has Revision; Revision zero then means that the key must not exist. The
	// condition may hold by accident in a later era, in which revisions are given
	// out again: the value has to tell in which era it was written.
	Conditional bool   `json:"conditional,omitempty"`
	Revision    uint64 `json:"revision,omitempty"`
	// Era is the era of Revision. Whoever knows a later one doesn't make the write.
	Era uint64 `json:"era,omitempty"`
}

// Store is the platform's metadata store. If Put returns an error that is not
// one of this package's types, the write may have taken place, or may still take
// place later if its condition holds then.
type Store interface {
	// Era returns the highest era of any answer so far, or false before the first.
	Era() (uint64, bool)
	// Range returns all keys under a prefix, and the store's position before the
	// first of them was read. It returns *EraChangedError if the store came back from
	// a copy meanwhile.
	Range(x context.Context, prefix string) ([]Item, Position, error)
	// Get returns a key; its Revision is zero if there is no such key.
	Get(x context.Context, key string) (Item, error)
	// Watch waits up to maxWait for changes under a prefix after a revision, and
	// returns them with the position to continue from. It returns *CompactedError
	// if the store doesn't have the history after that revision, and
	// *EraChangedError if the answer is of another era than after.
	Watch(x context.Context, prefix string, after Position, maxWait time.Duration) ([]Item, Position, error)
	// Put writes a key and returns its new position. It returns *ConflictError
	// if the write's condition does not hold and *LeaseEndedError if its lease
	// has ended.
	Put(x context.Context, w Write) (Position, error)
	// GrantLease creates a lease that ends unless it is renewed within ttl, and
	// returns its ID.
	GrantLease(x context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease. It returns *LeaseEndedError if the lease has
	// ended.
	RenewLease(x context.Context, leaseID uint64) error
	// EndLease ends a lease and removes the keys bound to it.
	EndLease(x context.Context, leaseID uint64) error
}

// ConflictError reports a conditional write whose condition did not hold.
type ConflictError struct {
	// Item is the key's current state.
	Item Item
}

func (e *ConflictError) Error() string {
	return "key " + e.Item.Key + " was changed concurrently: its position is " + e.Item.Position.String()
}

// EraChangedError reports that the store has come back from an older copy.
type EraChangedError struct {
	// Known is the era that the caller knew, Now the one of the answer.
	Known, Now uint64
}

func (e *EraChangedError) Error() string {
	return "the store has come back from an older copy: era " + strconv.FormatUint(e.Now, 10) + ", was " + strconv.FormatUint(e.Known, 10)
}

// CompactedError reports a watch from a revision whose history the store has
// discarded.
type CompactedError struct{ After uint64 }

func (e *CompactedError) Error() string {
	return "history after revision " + strconv.FormatUint(e.After, 10) + " has been discarded"
}

// LeaseEndedError reports a lease that has ended.
type LeaseEndedError struct{ LeaseID uint64 }

func (e *LeaseEndedError) Error() string {
	return "lease " + strconv.FormatUint(e.LeaseID, 10) + " has ended"
}
