// Package query defines the protocol-independent types for callers' statements:
// the statements, the requests between daemons, the steps that a backend server
// runs for them, and their outcomes.
package query

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pace"
	"github.com/dragonflypick/dragonflypick/pressure"
)

// Statement is a statement of a caller.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and commits its writes.
type Commit struct{}

// Rollback ends a transaction and discards its writes.
type Rollback struct{}

// Read runs a read-only statement. Text is as the caller sent it.
type Read struct{ Text string }

// Write runs a statement that changes data. Text is as the caller sent it.
type Write struct{ Text string }

// Set sets a session value.
type Set struct{ Value Value }

// Prepare stores a template under a name for the session.
type Prepare struct {
	Name     string
	Template Template
}

// Execute runs a prepared template.
type Execute struct {
	Name string
	// Arguments is the statement's text after Name.
	Arguments string
}

// Deallocate deletes a prepared name.
type Deallocate struct{ Name string }

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}

// Value is a named session value.
type Value struct {
	Name string `json:"n"`
	Text string `json:"t"`
}

// Template is the text of a prepared statement and whether it writes.
type Template struct {
	Write bool   `json:"w,omitempty"`
	Text  string `json:"t"`
}

// State is the state of a session or of a connection.
type State byte

// Possible values of State.
const (
	// Idle means outside of a transaction.
	Idle State = 'I'
	// Open means inside a transaction.
	Open State = 'T'
	// Failed means inside a transaction that can only be rolled back.
	Failed State = 'E'
)

// Reason is why a statement was not completed.
type Reason string

// Possible values of Reason. See Reason.NotRun for those that guarantee that the
// statement has no effect.
const (
	Overloaded         Reason = "overloaded"
	Aborted            Reason = "aborted"
	Lagging            Reason = "lagging"
	ReadOnly           Reason = "read-only"
	WrongMember        Reason = "wrong-member"
	TooManyConnections Reason = "too-many-connections"
	InDoubt            Reason = "in-doubt"
	TimedOut           Reason = "timed-out"
	RunFailed          Reason = "run-failed"
	UnknownName        Reason = "unknown-name"
	Malformed          Reason = "malformed"
	NoDatabase         Reason = "no-database"
	// Denied means that the caller's key belongs to no team.
	Denied Reason = "denied"
	// Moved means that the queried daemon doesn't own the member or isn't the
	// group's holder. It is used between daemons only.
	Moved Reason = "moved"
	// Unreachable means that the member could not be reached and that nothing
	// was sent, or that the answer to a read was lost. It is used between
	// daemons only.
	Unreachable Reason = "unreachable"
)

// NotRun reports whether the reason guarantees that the caller's attempt has no
// effect.
func (r Reason) NotRun() bool {
	switch r {
	case Overloaded, Aborted, Lagging, ReadOnly, WrongMember, TooManyConnections, Moved, Unreachable:
		return true
	default:
		return false
	}
}

// Failure describes why a statement was not completed.
type Failure struct {
	Reason Reason `json:"r"`
	// Text is a human-readable explanation.
	Text string `json:"t,omitempty"`
	// RetryAfter is how long to wait before a retry, or zero if unknown.
	RetryAfter time.Duration `json:"a,omitempty"`
}

func (f *Failure) Error() string { return string(f.Reason) + ": " + f.Text }

// Reply is the result of one step or statement.
type Reply struct {
	Rows []string `json:"o,omitempty"`
	// Signature is the member's proof that it ran the statement.
	Signature string `json:"s,omitempty"`
	// Failure is nil if the statement was completed.
	Failure *Failure `json:"f,omitempty"`
	State   State    `json:"e,omitempty"`
	// Position is the end of the member's log, zero if unknown.
	Position logpos.Position `json:"p"`
	// Unsent is set if the step was refused without being sent to the member.
	Unsent bool `json:"-"`
}

// Refusal returns a reply for a statement that was not run.
func Refusal(r Reason, text string) Reply {
	return Reply{Failure: &Failure{Reason: r, Text: text}}
}

// Stage is how a request relates to a transaction.
type Stage uint8

// Possible values of Stage.
const (
	// Single is a statement outside of transactions.
	Single Stage = iota
	// First begins a transaction and runs its first statement.
	First
	// Later is any further statement of a transaction, including its commit.
	Later
	// Abandon rolls a transaction back.
	Abandon
)

// Action is the kind of a request's statement.
type Action uint8

// Possible values of Action.
const (
	ActionRead Action = iota
	ActionWrite
	ActionCommit
)

// Request is one statement that an entry sends to the owner of a member.
type Request struct {
	// ID is the caller's identifier of the statement.
	ID     string `json:"i"`
	Group  string `json:"g"`
	Member string `json:"m,omitempty"`
	// Team is the name of the caller's team, empty if it has none.
	Team string `json:"w,omitempty"`
	// Session identifies the session; it is unique among all daemons.
	Session string `json:"c"`
	// Transaction identifies the transaction. It is unique for each attempt to
	// begin one, so that an abandoned attempt isn't confused with the next.
	Transaction string      `json:"n,omitempty"`
	Rank        bundle.Rank `json:"k,omitempty"`
	// Remaining is the time left until the deadline of the answer.
	Remaining time.Duration `json:"d"`
	Stage     Stage         `json:"u,omitempty"`
	Action    Action        `json:"a,omitempty"`
	// BeginID is the ID of the statement that opened the transaction.
	BeginID  string  `json:"b,omitempty"`
	ReadOnly bool    `json:"r,omitempty"`
	Values   []Value `json:"v,omitempty"`
	// Template is set for a prepared statement. Text then holds its arguments.
	Template *Template `json:"s,omitempty"`
	Text     string    `json:"t,omitempty"`
	// Primary is set if only the group's primary may run the request.
	Primary bool `json:"p,omitempty"`
	// Floor is the position of the session's own writes.
	Floor logpos.Position `json:"f"`
	// MaxAge is the maximum age of data at a replica.
	MaxAge time.Duration `json:"x,omitempty"`
	// FloorAge is how long the entry has known Floor, and Patience how long the
	// request may wait until a replica's log has reached it.
	FloorAge time.Duration `json:"y,omitempty"`
	Patience time.Duration `json:"z,omitempty"`
	// Survey asks for reports on all members of the group.
	Survey bool `json:"q,omitempty"`
}

// Response is the owner's answer to a request.
type Response struct {
	Reply
	// QueueWait is the predicted queue wait of a new request of the same rank.
	QueueWait time.Duration `json:"q,omitempty"`
	// Pace is what the owner has found about the member's pace, if it tells that.
	Pace *pace.State `json:"v,omitempty"`
	// Member is the member that ran the statement, and Owner the ID of the host
	// that owns it. The requesting daemon sets Owner.
	Member string `json:"m,omitempty"`
	Owner  string `json:"-"`
	// Transaction identifies the request's transaction. The requesting daemon sets
	// it.
	Transaction string `json:"-"`
	// MayHaveRun is set if a member may have received the request although its outcome
	// is a failure. The requesting daemon sets it.
	MayHaveRun bool `json:"-"`
	// Holder is the ID of the group's holder, to which the request is to be sent
	// instead, if the reason is Moved.
	Holder string `json:"h,omitempty"`
	// Members are reports on members of the group.
	Members []MemberReport `json:"l,omitempty"`
	// Unavailable is set if the group can't serve such requests now, wherever they are
	// sent: it has no usable primary, or the end of its log isn't known.
	Unavailable bool `json:"x,omitempty"`
	// Pressure is set while the member is overloaded.
	Pressure *pressure.State `json:"y,omitempty"`
	// RefusedFor tells what is short if the requesting daemon refused the request by
	// itself because of an overload. Only it sets it.
	RefusedFor string `json:"-"`
	// Placement is why the requesting daemon chose the member; nil if it had no choice.
	Placement *Placement `json:"-"`
}

// Placement is why a member was chosen for a read.
type Placement struct {
	Reason string
	// Expected is the predicted time until the answer. CatchUp is the part of it in
	// which the member doesn't have the data yet.
	Expected time.Duration
	CatchUp  time.Duration
	// ReportAge is the age of the report on the member, negative if there was none.
	ReportAge time.Duration
}

// Step is one request to a backend server.
type Step interface{ step() }

// ResetSession clears session values and prepared names.
type ResetSession struct{}

// SetValue sets a session value.
type SetValue struct{ Value Value }

// PrepareTemplate prepares a template under a name.
type PrepareTemplate struct {
	Name     string
	Template Template
}

// BeginTransaction begins a transaction. A replica refuses unless its log has
// reached Floor.
type BeginTransaction struct {
	ID       string
	ReadOnly bool
	Floor    logpos.Position
}

// RunStatement runs a statement. A replica refuses unless its log has reached
// Floor.
type RunStatement struct {
	ID   string
	Text string
	// Prepared is the name of the template to run, if any. Text then holds its
	// arguments.
	Prepared string
	Floor    logpos.Position
}

// EndTransaction commits or rolls back a transaction. ID is the caller's
// identifier of its statement, empty if the caller didn't request the end.
type EndTransaction struct {
	ID     string
	Commit bool
}

// GetStatus queries a member's status.
type GetStatus struct{}

// Demote turns a primary of a lower term into a replica.
type Demote struct{ Term uint64 }

func (ResetSession) step()     {}
func (SetValue) step()         {}
func (PrepareTemplate) step()  {}
func (BeginTransaction) step() {}
func (RunStatement) step()     {}
func (EndTransaction) step()   {}
func (GetStatus) step()        {}
func (Demote) step()           {}

// Status is the status that a member reports.
type Status struct {
	Primary bool
	Term    uint64
	// Received is the end of the member's log.
	Received logpos.Position
}
