// Package catalog holds the configuration in force and the backend servers that
// are known, as the daemon uses them.
package catalog

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Consistency is what the reads of a database must show.
type Consistency uint8

// The kinds of consistency.
const (
	// PrimaryReads reads show every acknowledged commit.
	PrimaryReads Consistency = iota
	// BoundedStaleness reads show every commit acknowledged more than MaxAge before.
	BoundedStaleness
	// ReadYourWrites reads show the session's own commits besides.
	ReadYourWrites
)

// Database is what callers connect to.
type Database struct {
	Name        string        `json:"name"`
	Group       string        `json:"group"`
	Consistency Consistency   `json:"consistency"`
	MaxAge      time.Duration `json:"max-age"`
	// StatementTimeout bounds one statement, Target is the aim for an operation.
	StatementTimeout time.Duration `json:"timeout"`
	TargetLatency    time.Duration `json:"target"`
	Rank             bundle.Rank   `json:"rank"`
}

// Group is a database group.
type Group struct {
	Name string `json:"name"`
	// Connections is the greatest number of connections of a member.
	Connections int `json:"connections"`
	// SyncReplicas is the number of replicas that hold a commit before it is
	// acknowledged.
	SyncReplicas int `json:"sync-replicas"`
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version only rises.
	Version   uint64              `json:"version"`
	Databases map[string]Database `json:"databases"`
	Groups    map[string]Group    `json:"groups"`
	// IdleInTransaction is how long a transaction may be idle.
	IdleInTransaction time.Duration `json:"idle-in-transaction"`
}

// Member is a backend server.
type Member struct {
	// ID names the member for as long as it lives.
	ID            string
	Group         string
	Address       string
	FailureDomain string
	Region        string
	Slots         int
	// Draining tells that it takes no new work.
	Draining bool
	// Primary is how the member sees itself.
	Primary bool
	// StartMillis is the time of its start in milliseconds; a new one tells that the
	// member has lost its data.
	StartMillis int64
}
