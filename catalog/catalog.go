// Package catalog defines the types of the configuration in force and of the
// registered backend servers on the users' platform, independent of their
// encoding in the store. Package bundle defines the configuration of package
// daemon.
package catalog

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Consistency is the guarantee that a database gives to reads.
type Consistency uint8

// The consistency guarantees.
const (
	// PrimaryReads guarantees that a read runs on the primary and shows every
	// acknowledged commit.
	PrimaryReads Consistency = iota
	// BoundedStaleness guarantees that a read shows every commit that was
	// acknowledged more than the database's MaxAge ago.
	BoundedStaleness
	// ReadYourWrites guarantees the same as BoundedStaleness, and that a read shows
	// all of the session's own commits.
	ReadYourWrites
)

// Database is a name that callers connect to, with its group and guarantees.
type Database struct {
	Name        string        `json:"name"`
	Group       string        `json:"group"`
	Consistency Consistency   `json:"consistency"`
	MaxAge      time.Duration `json:"max-age"`
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration `json:"timeout"`
	// TargetLatency is the desired latency of an operation.
	TargetLatency time.Duration `json:"target"`
	Rank          bundle.Rank   `json:"rank"`
}

// Group is a database group.
type Group struct {
	Name string `json:"name"`
	// Connections is the maximum number of connections to a member.
	Connections int `json:"connections"`
	// SyncReplicas is the number of replicas that must have a commit before it is
	// acknowledged.
	SyncReplicas int `json:"sync-replicas"`
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version increases with every change.
	Version   uint64              `json:"version"`
	Databases map[string]Database `json:"databases"`
	Groups    map[string]Group    `json:"groups"`
	// IdleInTransaction is the longest time that a transaction may be idle.
	IdleInTransaction time.Duration `json:"idle-in-transaction"`
}

// Member is a backend server.
type Member struct {
	// ID identifies the member for its lifetime.
	ID            string
	Group         string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining reports whether the member takes no new work.
	Draining bool
	// Primary reports whether the member registers itself as the primary.
	Primary bool
	// StartMillis is the member's start time in Unix milliseconds. A changed value
	// means that the member was restarted and has lost its data.
	StartMillis int64
}
