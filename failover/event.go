package failover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Role is what a member reports to be.
type Role string

// The roles of a member.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what a member reports of itself.
type Status struct {
	Role Role `json:"role"`
	// Term is the highest term that the member has accepted.
	Term uint64 `json:"term"`
	// Position is the last entry of the member's log.
	Position logpos.Position `json:"position"`
	// Primary is the address that a replica follows; empty if none.
	Primary string `json:"primary,omitempty"`
	// ContactAge is how long ago a replica last heard from its primary.
	ContactAge time.Duration `json:"contact"`
}

// Member is a member of the group.
type Member struct {
	Name    string
	Address string
	// Leaving members aren't promoted if another will do.
	Leaving bool
	// Preference is the member's worth as a primary among equals; higher is better.
	Preference int
}

// Event is something that the group learns.
type Event interface{ event() }

// Reported is a member's report.
type Reported struct {
	Member string
	Status Status
	// Sent is when the request left; Status held at some time after it.
	Sent time.Time
}

// PollFailed tells that a member didn't answer on a fresh connection.
type PollFailed struct{ Member string }

// FenceResult is the answer to a Fence action.
type FenceResult struct {
	Member string
	Term   uint64
	// OK tells that the member accepted; Status is then its report. On refusal
	// Status is its report if it could be had, and has no Role if not.
	OK     bool
	Status Status
}

// PromoteResult is the answer to a Promote action.
type PromoteResult struct {
	Member string
	Term   uint64
	OK     bool
	Status Status
}

// Configured replaces the members and this daemon's place among those that
// watch the group; 0 is first to act.
type Configured struct {
	Members      []Member
	WatcherIndex int
}

// Ticked lets time pass.
type Ticked struct {
	// Jitter is a random number from 0 to 1.
	Jitter float64
	// InFlight is the number of requests that run here on the primary.
	InFlight int
}

func (Reported) event()      {}
func (PollFailed) event()    {}
func (FenceResult) event()   {}
func (PromoteResult) event() {}
func (Configured) event()    {}
func (Ticked) event()        {}

// Action is something that the group wants done.
type Action interface{ action() }

// Fence asks a member to refuse all terms below Term.
type Fence struct {
	Member string
	Term   uint64
}

// Promote asks a member that this daemon has fenced to become primary.
type Promote struct {
	Member string
	Term   uint64
}

// Follow asks a member to replicate from a primary.
type Follow struct {
	Member string
	Term   uint64
	// Primary is the primary's address.
	Primary string
}

// PrimaryChanged tells that the group has another primary.
type PrimaryChanged struct {
	Term    uint64
	Primary string
	// Stages are how long this daemon took; zero if another daemon acted.
	Stages Stages
}

// Suspected tells why a failover begins.
type Suspected struct {
	Term   uint64
	Reason Reason
}

func (Fence) action()          {}
func (Promote) action()        {}
func (Follow) action()         {}
func (PrimaryChanged) action() {}
func (Suspected) action()      {}

// Reason tells why a primary is replaced.
type Reason string

// The reasons of a failover.
const (
	Unreachable Reason = "primary-unreachable"
	Cut         Reason = "primary-cut-from-replicas"
	NoPrimary   Reason = "no-primary"
	Leaving     Reason = "primary-leaving"
)

// Stages are the durations of the parts of a failover.
type Stages struct {
	// Confirm is from the first failure to the decision.
	Confirm time.Duration
	// Fence is from the decision to a fenced majority.
	Fence time.Duration
	// Promote is from there to the new primary's report.
	Promote time.Duration
}
