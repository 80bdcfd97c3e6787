// Package catalog defines the types of the configuration in force and of the
// registered backend servers on the users' platform, independent of their
// encoding in the store. Package bundle defines the configuration of package
// daemon.
package catalog

import (
	"crypto/sha256"
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
	// ReadYourWrites guarantees the same as BoundedStaleness, and that a read
	// shows all of the session's own commits.
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
	// Anonymous databases also serve callers without a team.
	Anonymous bool `json:"anonymous"`
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
	// Teams are the teams by name; empty if the configuration names none, so that
	// callers need no key.
	Teams map[string]Team `json:"teams"`
	// TeamsByKey maps the digest of each key to the name of its team in Teams.
	TeamsByKey map[KeyDigest]string `json:"-"`
}

// Team is a team whose callers identify themselves by keys.
type Team struct {
	Name string `json:"name"`
	// Rate is the limit of the team's operations per second over all daemons, and
	// Burst how many it may start at once after a pause. A team without a Rate is
	// not limited.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// KeyDigest is the SHA-256 digest of a caller's key. The key itself isn't kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// TeamOf returns the team that holds a key.
func (c *Catalog) TeamOf(d KeyDigest) (Team, bool) {
	n, ok := c.TeamsByKey[d]
	if !ok {
		return Team{}, false
	}
	t, ok := c.Teams[n]
	return t, ok
}

// RequiresTeam reports whether only callers with a team may use a database.
func (c *Catalog) RequiresTeam(d Database) bool { return len(c.Teams) > 0 && !d.Anonymous }

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
	// StartMillis is the member's start time in Unix milliseconds, zero if it isn't known.
	// A changed value means that the member was restarted and may have lost its data.
	StartMillis int64
	// ColdRemaining is how much longer the member will be slow after its start
	// according to its record.
	ColdRemaining time.Duration
}
