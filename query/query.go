// Package query holds the vocabulary that callers' statements are handled in,
// whatever protocol brought them: statements, the steps that a backend server
// runs for them, and their outcomes.
package query

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Statement is what a caller asks for.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps its writes.
type Commit struct{}

// Rollback ends a transaction and drops its writes.
type Rollback struct{}

// Read runs a statement that changes nothing, with its text as the caller sent
// it.
type Read struct{ Text string }

// Write runs a statement that changes data, with its text as the caller sent it.
type Write struct{ Text string }

// Set changes a value of the session.
type Set struct{ Value Value }

// Prepare gives a name to a shape for the rest of the session.
type Prepare struct {
	Name     string
	Template Template
}

// Execute runs a prepared shape.
type Execute struct {
	Name string
	// Arguments is the rest of the text.
	Arguments string
}

// Deallocate forgets a prepared name.
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

// Value is a session value.
type Value struct {
	Name string `json:"n"`
	Text string `json:"t"`
}

// Template is the body of a prepared statement.
type Template struct {
	Write bool   `json:"w,omitempty"`
	Text  string `json:"t"`
}

// State is the state of a session or of a connection.
type State byte

// The states.
const (
	// Idle is outside of a transaction.
	Idle State = 'I'
	// Open is inside a transaction.
	Open State = 'T'
	// Failed is inside a transaction that can only be rolled back.
	Failed State = 'E'
)

// Reason tells why a statement was not done.
type Reason string

// The reasons. NotRun tells which of them promise that nothing is kept.
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
	// Moved means that the daemon asked doesn't own the member or hold the
	// group; it is for daemons only.
	Moved Reason = "moved"
	// Unreachable means that the member could not be reached and that nothing
	// was sent; it is for daemons only.
	Unreachable Reason = "unreachable"
)

// NotRun reports whether the reason promises that nothing of the caller's
// attempt is kept.
func (r Reason) NotRun() bool {
	switch r {
	case Overloaded, Aborted, Lagging, ReadOnly, WrongMember, TooManyConnections, Moved, Unreachable:
		return true
	default:
		return false
	}
}

// Failure tells why a statement was not done.
type Failure struct {
	Reason Reason `json:"r"`
	// Text is for people.
	Text string `json:"t,omitempty"`
	// RetryAfter is when to come back, zero if that isn't known.
	RetryAfter time.Duration `json:"a,omitempty"`
}

func (f *Failure) Error() string { return string(f.Reason) + ": " + f.Text }

// Reply is the answer to one step or statement.
type Reply struct {
	Rows []string `json:"o,omitempty"`
	// Signature is the member's mark that it ran the statement.
	Signature string `json:"s,omitempty"`
	// Failure is nil if the statement was done.
	Failure *Failure `json:"f,omitempty"`
	State   State    `json:"e,omitempty"`
	// Position is how far the member's log reached, zero if unknown.
	Position logpos.Position `json:"p"`
}

// Refusal returns a reply that tells why nothing was run.
func Refusal(r Reason, text string) Reply {
	return Reply{Failure: &Failure{Reason: r, Text: text}}
}

// Stage tells what a request is in its transaction.
type Stage uint8

// The uses.
const (
	// Single is a statement outside of transactions.
	Single Stage = iota
	// First opens a transaction with its first statement.
	First
	// Later is any further statement of a transaction, with its commit.
	Later
	// Abandon rolls a transaction back.
	Abandon
)

// Action is what a request wants run.
type Action uint8

// The actions.
const (
	DoRead Action = iota
	DoWrite
	DoCommit
)

// Request is one statement on its way from the entry to the owner of a member.
type Request struct {
	// ID is the caller's name of the statement.
	ID     string `json:"i"`
	Group  string `json:"g"`
	Member string `json:"m,omitempty"`
	// Session is unique among all sessions of all daemons.
	Session string `json:"c"`
	// Transaction names the transaction; it is unique among all attempts to open
	// one, so that an attempt that was given up is never mistaken for the next.
	Transaction string      `json:"n,omitempty"`
	Rank        bundle.Rank `json:"k,omitempty"`
	// Remaining is how long the answer may still take.
	Remaining time.Duration `json:"d"`
	Stage     Stage         `json:"u,omitempty"`
	Action    Action        `json:"a,omitempty"`
	// BeginID is the caller's name of the statement that opened the transaction.
	BeginID  string  `json:"b,omitempty"`
	ReadOnly bool    `json:"r,omitempty"`
	Values   []Value `json:"v,omitempty"`
	// Shape is set for a prepared statement; Text then holds its arguments.
	Shape *Template `json:"s,omitempty"`
	Text  string    `json:"t,omitempty"`
	// Primary asks for the group's primary.
	Primary bool `json:"p,omitempty"`
	// Floor is the position of the session's own writes.
	Floor logpos.Position `json:"f"`
	// MaxAge is the accepted age of data at a replica.
	MaxAge time.Duration `json:"x,omitempty"`
}

// Response is the owner's answer to a request.
type Response struct {
	Reply
	// QueueWait is the predicted wait of a new request of the same rank.
	QueueWait time.Duration `json:"q,omitempty"`
	// Member ran the statement, at the host Owner; Owner is filled in by the
	// daemon that asked.
	Member string `json:"m,omitempty"`
	Owner  string `json:"-"`
	// Transaction is the name of the request's transaction, filled in likewise.
	Transaction string `json:"-"`
	// Holder is the host to ask instead, if the reason is Moved.
	Holder string `json:"h,omitempty"`
}

// Step is what one exchange with a backend server does.
type Step interface{ step() }

// Reset clears values and prepared names.
type Reset struct{}

// SetValue sets a session value.
type SetValue struct{ Value Value }

// PrepareTemplate gives a name to a shape.
type PrepareTemplate struct {
	Name     string
	Template Template
}

// Start opens a transaction. A replica refuses unless its log holds After.
type Start struct {
	ID       string
	ReadOnly bool
	Floor    logpos.Position
}

// Run runs a statement. A replica refuses unless its log holds After.
type Run struct {
	ID   string
	Text string
	// Prepared is the name of the shape to run; Text then holds its arguments.
	Prepared string
	Floor    logpos.Position
}

// End ends a transaction; ID is empty if the caller didn't ask for it.
type End struct {
	ID     string
	Commit bool
}

// GetStatus asks for a member's status.
type GetStatus struct{}

// Demote makes a primary of a lower term a replica.
type Demote struct{ Term uint64 }

func (Reset) step()           {}
func (SetValue) step()        {}
func (PrepareTemplate) step() {}
func (Start) step()           {}
func (Run) step()             {}
func (End) step()             {}
func (GetStatus) step()       {}
func (Demote) step()          {}

// Status is what a member tells of itself.
type Status struct {
	Primary bool
	Term    uint64
	// Received is the end of the member's log.
	Received logpos.Position
}
