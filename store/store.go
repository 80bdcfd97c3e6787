// Package store defines the interface of the metadata store of the users'
// platform, through which the daemon of package fleet uses it. Package platform
// implements the client.
package store

import (
	"context"
	"strconv"
	"time"
)

// Item is a key with its value, or the removal of a key.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store's revision of the key's last change; zero if there is
	// no such key.
	Revision uint64 `json:"revision"`
	// Removed reports whether the key was removed.
	Removed bool `json:"removed,omitempty"`
}

// Write is a change of one key.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// LeaseID is the ID of the lease that the key is bound to; the key is removed when
	// the lease ends. Zero means none.
	LeaseID uint64 `json:"lease,omitempty"`
	// Conditional makes the write fail with *ConflictError unless the key still
	// has Revision; Revision zero then means that the key must not exist.
	Conditional bool   `json:"conditional,omitempty"`
	Revision    uint64 `json:"revision,omitempty"`
}

// Store is the platform's metadata store. If Put returns an error that is not
// one of this package's types, the write may have taken place, or may still take
// place later if its condition holds then.
type Store interface {
	// Range returns all keys under a prefix, and the store's revision before the
	// first of them was read.
	Range(x context.Context, prefix string) ([]Item, uint64, error)
	// Get returns a key; its Revision is zero if there is no such key.
	Get(x context.Context, key string) (Item, error)
	// Watch waits up to maxWait for changes under a prefix after a revision, and
	// returns them with the revision to continue from. It returns *CompactedError
	// if the store no longer has the history after that revision.
	Watch(x context.Context, prefix string, after uint64, maxWait time.Duration) ([]Item, uint64, error)
	// Put writes a key and returns its new revision. It returns *ConflictError if
	// the write's condition does not hold and *LeaseEndedError if its lease has ended.
	Put(x context.Context, w Write) (uint64, error)
	// GrantLease creates a lease that ends unless it is renewed within ttl, and
	// returns its ID.
	GrantLease(x context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease. It returns *LeaseEndedError if the lease has ended.
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
	return "key " + e.Item.Key + " was changed concurrently: its revision is " + strconv.FormatUint(e.Item.Revision, 10)
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
