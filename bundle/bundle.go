// Package bundle defines the versioned configuration that operators sign and
// deploy, and decides which version is in force.
package bundle

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("bundle")

// MaxSize is the maximum size of a signed bundle in bytes. It is the maximum size
// of a value in the platform's key-value service.
const MaxSize = 1 << 20

// Rank is the priority of a statement. Lower values are served first.
type Rank int

// The ranks, highest priority first.
const (
	Urgent Rank = iota
	Routine
	Background
	// RankCount is the number of ranks.
	RankCount = 3
)

// ParseRank returns the rank with the given name.
func ParseRank(s string) (Rank, bool) {
	switch s {
	case "urgent":
		return Urgent, true
	case "routine":
		return Routine, true
	case "background":
		return Background, true
	default:
		return Routine, false
	}
}

// String returns the rank's name in a bundle.
func (r Rank) String() string {
	switch r {
	case Urgent:
		return "urgent"
	case Routine:
		return "routine"
	default:
		return "background"
	}
}

// Bundle is one version of the operators' configuration.
type Bundle struct {
	// Version rises by at least one with every accepted bundle.
	Version uint64 `json:"version" yaml:"version"`
	// Note describes the change for other operators.
	Note string `json:"note,omitempty" yaml:"note,omitempty"`
	// Groups are the database groups; names are unique.
	Groups []Group `json:"groups" yaml:"groups"`
	// Ranks holds the limits of each rank.
	Ranks Ranks `json:"ranks" yaml:"ranks"`
	// ReadClasses are the named read tolerances; names are unique.
	ReadClasses []ReadClass `json:"read-classes,omitempty" yaml:"read-classes,omitempty"`
	// Callers are the applications that may log in; names are unique.
	Callers []Caller `json:"callers" yaml:"callers"`
	// Limits bound the load that one entry host accepts.
	Limits Limits `json:"limits" yaml:"limits"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	// Name is the database name with which callers connect.
	Name string `json:"name" yaml:"name"`
	// Members are the group's backend servers; names and addresses are unique
	// in the bundle.
	Members []Member `json:"members" yaml:"members"`
}

// Majority returns the number of members that form a majority.
func (g *Group) Majority() int { return len(g.Members)/2 + 1 }

// Member is one backend server of a database group.
type Member struct {
	// Name is unique in the bundle.
	Name string `json:"name" yaml:"name"`
	// Address is the IP address and port of the backend server.
	Address string `json:"address" yaml:"address"`
	// Region is the region of the failure domain.
	Region string `json:"region" yaml:"region"`
	// FailureDomain is the failure domain of the backend server.
	FailureDomain string `json:"failure-domain" yaml:"failure-domain"`
	// Slots is the number of statements that the server runs concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that the server accepts; it is at
	// least the sum of Slots and ControlConnections.
	Connections int `json:"connections" yaml:"connections"`
	// Draining marks a backend server that will be removed: as a replica it gets no
	// reads, and as primary it is replaced.
	Draining bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// ControlConnections is the number of connections of a backend server that are
// reserved for the control connections of all daemons.
const ControlConnections = 4

// Ranks holds the limits of each rank.
type Ranks struct {
	Urgent     RankLimits `json:"urgent" yaml:"urgent"`
	Routine    RankLimits `json:"routine" yaml:"routine"`
	Background RankLimits `json:"background" yaml:"background"`
}

// Of returns the limits of rank k.
func (r *Ranks) Of(k Rank) RankLimits {
	switch k {
	case Urgent:
		return r.Urgent
	case Routine:
		return r.Routine
	default:
		return r.Background
	}
}

// RankLimits are the limits of one rank.
type RankLimits struct {
	// Deadline is the maximum time from the arrival of a statement to its answer.
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// Share is the minimum share, from 0 to 1, of a backend server's slot time that
	// the rank gets while higher ranks overload the server. The shares sum to at
	// most 1.
	Share float64 `json:"share" yaml:"share"`
	// Worth is the value of one answer that meets the deadline, in a unit common to
	// all ranks. Reports and measurements weight answers by it.
	Worth float64 `json:"worth,omitempty" yaml:"worth,omitempty"`
	// IdleInTransaction is the maximum idle time inside an open transaction.
	IdleInTransaction Duration `json:"idle-in-transaction" yaml:"idle-in-transaction"`
}

// ReadClass is a named read tolerance.
type ReadClass struct {
	Name string `json:"name" yaml:"name"`
	// Age is the maximum age of data that the class accepts.
	Age Duration `json:"age" yaml:"age"`
	// OwnWrites reports whether reads of the class must show the session's own
	// writes, that is, whether the session's floor applies.
	OwnWrites bool `json:"own-writes" yaml:"own-writes"`
}

// Caller is an application that may log in.
type Caller struct {
	Name string `json:"name" yaml:"name"`
	// Scram is the SCRAM-SHA-256 verifier in PostgreSQL's form.
	Scram string `json:"scram" yaml:"scram"`
	// Rank is the rank of statements that set none.
	Rank string `json:"rank" yaml:"rank"`
	// Groups are the database groups that the caller may use.
	Groups []string `json:"groups" yaml:"groups"`
}

// Limits bound one entry host.
type Limits struct {
	// Callers is the maximum number of client connections of one daemon.
	Callers int `json:"callers" yaml:"callers"`
	// StatementBytes is the maximum size in bytes of one statement with its
	// parameters.
	StatementBytes int `json:"statement-bytes" yaml:"statement-bytes"`
	// ReplicaAge is the maximum age of data that a replica serves to a read without
	// a tolerance. The session's floor applies in addition.
	ReplicaAge Duration `json:"replica-age" yaml:"replica-age"`
	// Tolerance is the maximum tolerance that a read may set without a read class.
	Tolerance Duration `json:"tolerance" yaml:"tolerance"`
}

// Duration is a time.Duration that is encoded as text, such as "2s".
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return Error.Wrap(err)
	}
	*d = Duration(v)
	return nil
}

// Group returns the database group with the given name. On a nil bundle, this and
// the other lookups return false.
func (b *Bundle) Group(n string) (*Group, bool) {
	if b == nil {
		return nil, false
	}
	for i := range b.Groups {
		if b.Groups[i].Name == n {
			return &b.Groups[i], true
		}
	}
	return nil, false
}

// Caller returns the caller with the given name.
func (b *Bundle) Caller(n string) (*Caller, bool) {
	if b == nil {
		return nil, false
	}
	for i := range b.Callers {
		if b.Callers[i].Name == n {
			return &b.Callers[i], true
		}
	}
	return nil, false
}

// ReadClass returns the read class with the given name.
func (b *Bundle) ReadClass(n string) (*ReadClass, bool) {
	if b == nil {
		return nil, false
	}
	for i := range b.ReadClasses {
		if b.ReadClasses[i].Name == n {
			return &b.ReadClasses[i], true
		}
	}
	return nil, false
}

// Member returns the backend server with the given name and its group.
func (b *Bundle) Member(n string) (*Group, *Member, bool) {
	if b == nil {
		return nil, nil, false
	}
	for i := range b.Groups {
		for j := range b.Groups[i].Members {
			if b.Groups[i].Members[j].Name == n {
				return &b.Groups[i], &b.Groups[i].Members[j], true
			}
		}
	}
	return nil, nil, false
}
