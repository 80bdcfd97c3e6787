package failover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Role is the role that a member reports.
type Role string

// The roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is a member's report of its own state.
type Status struct {
	Role Role `json:"role"`
	// Term is the highest term that the member has accepted.
	Term uint64 `json:"term"`
	// Position is that of the last entry in the member's log.
	Position logpos.Position `json:"position"`
	// Primary is the address that a replica replicates from; empty if none.
	Primary string `json:"primary,omitempty"`
	// ContactAge is the time since a replica last received data from its primary.
	ContactAge time.Duration `json:"contact"`
}

// Member is a member of the group.
type Member struct {
	Name    string
	Address string
	// Draining is set if the member is to be taken out of service. Among members with
	// equal positions, one that isn't leaving is promoted instead.
	Draining bool
	// Preference is the member's preference as primary among members with equal
	// positions; higher is better.
	Preference int
}

// Event is an input of Group.Handle.
type Event interface{ event() }

// StatusReported reports a member's answer to a status request.
type StatusReported struct {
	Member string
	Status Status
	// RequestedAt is when the request was sent; Status was true at some time after it.
	RequestedAt time.Time
}

// PollFailed reports that a member did not answer on a new connection.
type PollFailed struct{ Member string }

// FenceResult is the result of a Fence action.
type FenceResult struct {
	Member string
	Term   uint64
	// OK is set if the member accepted the fence. Status is the member's report; it
	// has no Role if none could be obtained after a refusal or a failure.
	OK     bool
	Status Status
}

// PromoteResult is the result of a Promote action.
type PromoteResult struct {
	Member string
	Term   uint64
	OK     bool
	Status Status
}

// Configured replaces the members and this daemon's index among the daemons that watch
// the group.
type Configured struct {
	Members []Member
	// WatcherIndex is that index; the daemon with index 0 acts first.
	WatcherIndex int
}

// Ticked reports that time has passed; callers send it at short intervals.
type Ticked struct {
	// Jitter is a random number from 0 to 1.
	Jitter float64
	// InFlight is the number of requests that run on the primary through this
	// daemon.
	InFlight int
}

func (StatusReported) event() {}
func (PollFailed) event()     {}
func (FenceResult) event()    {}
func (PromoteResult) event()  {}
func (Configured) event()     {}
func (Ticked) event()         {}

// Action is an output of Group.Handle that the caller performs.
type Action interface{ action() }

// Fence requests that a member refuse all terms below Term.
type Fence struct {
	Member string
	Term   uint64
}

// Promote requests that a member that this daemon has fenced become primary.
type Promote struct {
	Member string
	Term   uint64
}

// Follow requests that a member replicate from a primary.
type Follow struct {
	Member string
	Term   uint64
	// Primary is the primary's address.
	Primary string
}

// PrimaryChanged reports that the group has a new primary.
type PrimaryChanged struct {
	Term    uint64
	Primary string
	// Stages are the durations of the failover; zero if another daemon carried
	// it out.
	Stages Stages
}

// ReplacementStarted reports that a failover or a switchover has started, and why.
type ReplacementStarted struct {
	Term   uint64
	Reason Reason
}

func (Fence) action()              {}
func (Promote) action()            {}
func (Follow) action()             {}
func (PrimaryChanged) action()     {}
func (ReplacementStarted) action() {}

// Reason is why a primary is replaced.
type Reason string

// The reasons for replacing a primary.
const (
	PrimaryUnreachable Reason = "primary-unreachable"
	ReplicationLost    Reason = "primary-cut-from-replicas"
	NoPrimary          Reason = "no-primary"
	PrimaryLeaving     Reason = "primary-leaving"
)

// Stages are the durations of the stages of a failover.
type Stages struct {
	// Confirm is from the first failure to the decision to replace the primary.
	Confirm time.Duration
	// Fence is from the decision until enough members were fenced.
	Fence time.Duration
	// Promote is from then until the new primary reported.
	Promote time.Duration
}
