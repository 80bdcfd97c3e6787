// Package outcome decides the outcome of a transaction that may have written, which
// is reported to the caller: done, not run, or in doubt. It does no I/O and reads no
// clock; package owner performs the actions that it returns.
//
// A transaction is done only when its log position is on a majority of the group's
// members within its term. If the term ends first, the outcome is resolved from the
// log of the next primary, once a majority has an entry of the new term: from then
// on every later primary has that log, so a position that it lacks is lost
// permanently.
package outcome

import "github.com/dragonflypick/dragonflypick/logpos"

// Event is an input that changes the state of a transaction.
type Event interface{ event() }

// Forwarded reports that a statement was sent to the backend server.
type Forwarded struct {
	// MayCommit is set if the statement may commit.
	MayCommit bool
}

// Committed reports the position of a commit, as received from the backend server.
type Committed struct{ Position logpos.Position }

// Answered reports that the backend server's answer is complete.
type Answered struct{}

// Disconnected reports that the connection to the backend server broke.
type Disconnected struct{}

// Durable reports that a majority of the members has reached the position while in its
// term.
type Durable struct{}

// TermSuperseded reports that a later term has begun.
type TermSuperseded struct{}

// PositionResolved reports whether the log of the next term contains the position.
// A majority has an entry of that term.
type PositionResolved struct{ Present bool }

// KeyResolved reports whether the transaction's idempotency key is in the database,
// read once no attempt of the transaction can commit any more.
type KeyResolved struct {
	// Present is set if the key is present. It was then written at Position or before.
	Present  bool
	Position logpos.Position
}

// Expired reports that the caller's deadline has passed.
type Expired struct{}

func (Forwarded) event()        {}
func (Committed) event()        {}
func (Answered) event()         {}
func (Disconnected) event()     {}
func (Durable) event()          {}
func (TermSuperseded) event()   {}
func (PositionResolved) event() {}
func (KeyResolved) event()      {}
func (Expired) event()          {}

// Action is what the owner must do for the transaction.
type Action interface{ action() }

// AwaitMajority requests to wait until a majority has the position, a later term has
// begun, or the deadline has passed.
type AwaitMajority struct{ Position logpos.Position }

// ResolvePosition requests to find out whether the log of the next term contains the
// position.
type ResolvePosition struct{ Position logpos.Position }

// ResolveKey requests to find out whether the transaction's idempotency key is in
// the database.
type ResolveKey struct{}

// Done permits sending the answer to the caller. With a position, it also ends the
// transaction; without one, more statements of the transaction may follow.
type Done struct{ Position logpos.Position }

// NotRun ends the transaction, which has had no effect and never will.
type NotRun struct{ Reason Reason }

// InDoubt ends the transaction, which may or may not have taken effect.
type InDoubt struct{ Reason Reason }

func (AwaitMajority) action()   {}
func (ResolvePosition) action() {}
func (ResolveKey) action()      {}
func (Done) action()            {}
func (NotRun) action()          {}
func (InDoubt) action()         {}

// Reason is why a transaction was not run or is in doubt, as reported in logs,
// metrics and to callers.
type Reason string

// The reasons for NotRun and InDoubt.
const (
	ConnectionLost  Reason = "connection-lost"
	MajorityTimeout Reason = "majority-timeout"
	TermEnded       Reason = "term-ended"
	LostWithTerm    Reason = "lost-with-term"
	KeyAbsent       Reason = "key-absent"
)

// phase is the progress of a transaction.
type phase int

const (
	open phase = iota
	awaitingMajority
	resolvingPosition
	resolvingKey
	ended
)

// Transaction is the state of one transaction at the owner. It is not safe for
// concurrent use.
type Transaction struct {
	// hasKey is set if the transaction has an idempotency key.
	hasKey bool
	phase  phase
	// mayCommit is set once a statement that may commit was forwarded.
	mayCommit bool
	// position is the furthest reported position of a commit.
	position logpos.Position
}

// New returns the state of a transaction before its first statement is sent; hasKey is
// set if the transaction has an idempotency key.
func New(hasKey bool) *Transaction { return &Transaction{hasKey: hasKey} }

// Handle processes an event and returns the actions to take. Once the transaction has
// ended it returns none.
func (t *Transaction) Handle(e Event) []Action {
	if t.phase == ended {
		return nil
	}
	switch x := e.(type) {
	case Forwarded:
		t.mayCommit = t.mayCommit || x.MayCommit
	case Committed:
		t.position = logpos.Max(t.position, x.Position)
	case Answered:
		return t.handleAnswered()
	case Disconnected:
		return t.handleDisconnected()
	case Durable:
		return t.end(awaitingMajority, Done{Position: t.position})
	case TermSuperseded:
		return t.handleTermSuperseded()
	case PositionResolved:
		return t.handlePositionResolved(x)
	case KeyResolved:
		return t.handleKeyResolved(x)
	case Expired:
		return t.handleExpired()
	}
	return nil
}

// end ends the transaction with an action if the transaction is in the given phase.
func (t *Transaction) end(in phase, a Action) []Action {
	if t.phase != in {
		return nil
	}
	t.phase = ended
	return []Action{a}
}

func (t *Transaction) handleAnswered() []Action {
	if t.phase != open {
		return nil
	}
	if t.position.IsZero() {
		t.mayCommit = false
		return []Action{Done{}}
	}
	t.phase = awaitingMajority
	return []Action{AwaitMajority{Position: t.position}}
}

func (t *Transaction) handleDisconnected() []Action {
	switch {
	case t.phase != open:
		return nil
	case !t.position.IsZero():
		t.phase = awaitingMajority
		return []Action{AwaitMajority{Position: t.position}}
	case !t.mayCommit:
		return t.end(open, NotRun{Reason: ConnectionLost})
	case t.hasKey:
		t.phase = resolvingKey
		return []Action{ResolveKey{}}
	default:
		return t.end(open, InDoubt{Reason: ConnectionLost})
	}
}

func (t *Transaction) handleTermSuperseded() []Action {
	if t.phase != awaitingMajority {
		return nil
	}
	t.phase = resolvingPosition
	return []Action{ResolvePosition{Position: t.position}}
}

func (t *Transaction) handlePositionResolved(x PositionResolved) []Action {
	if x.Present {
		return t.end(resolvingPosition, Done{Position: t.position})
	}
	return t.end(resolvingPosition, NotRun{Reason: LostWithTerm})
}

func (t *Transaction) handleKeyResolved(x KeyResolved) []Action {
	if x.Present {
		return t.end(resolvingKey, Done{Position: x.Position})
	}
	return t.end(resolvingKey, NotRun{Reason: KeyAbsent})
}

func (t *Transaction) handleExpired() []Action {
	switch t.phase {
	case awaitingMajority:
		return t.end(awaitingMajority, InDoubt{Reason: MajorityTimeout})
	case resolvingPosition:
		return t.end(resolvingPosition, InDoubt{Reason: TermEnded})
	case resolvingKey:
		return t.end(resolvingKey, InDoubt{Reason: ConnectionLost})
	case open:
		return t.handleDisconnected()
	default:
		return nil
	}
}
