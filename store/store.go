// Package store holds the terms in which the product uses the platform's
// metadata store.
package store

import (
	"context"
	"strconv"
	"time"
)

// Item is a key with its value, or the news that it is gone.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the last change; zero if there is no such key.
	Revision uint64 `json:"revision"`
	// Removed tells that the key is gone.
	Removed bool `json:"removed,omitempty"`
}

// Write is a change of one key.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Lease removes the key when it ends; zero for none.
	Lease uint64 `json:"lease,omitempty"`
	// Conditional makes the write depend on the key's Revision; zero then means
	// that the key must not exist.
	Conditional bool   `json:"conditional,omitempty"`
	Revision    uint64 `json:"revision,omitempty"`
}

// Store is the platform's store. After an error of an unknown kind a write may
// have taken place, or may take place later if its condition still holds.
type Store interface {
	Range(x context.Context, prefix string) ([]Item, uint64, error)
	Get(x context.Context, key string) (Item, error)
	Watch(x context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	Put(x context.Context, w Write) (uint64, error)
	GrantLease(x context.Context, ttl time.Duration) (uint64, error)
	RenewLease(x context.Context, lease uint64) error
	EndLease(x context.Context, lease uint64) error
}

// ConflictError reports a condition that did not hold.
type ConflictError struct {
	// Item is the key's present state.
	Item Item
}

func (e *ConflictError) Error() string {
	return "the key " + e.Item.Key + " has revision " + strconv.FormatUint(e.Item.Revision, 10)
}

// CompactedError reports a watch whose history is gone.
type CompactedError struct{ After uint64 }

func (e *CompactedError) Error() string {
	return "the history after revision " + strconv.FormatUint(e.After, 10) + " is gone"
}

// LeaseEndedError reports a lease that has ended.
type LeaseEndedError struct{ Lease uint64 }

func (e *LeaseEndedError) Error() string {
	return "the lease " + strconv.FormatUint(e.Lease, 10) + " has ended"
}
