package pool

import (
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflypick/dragonflypick/query"
)

// AnswerFault is why an answer on a connection can't be that to the step sent last.
type AnswerFault string

// Possible values of AnswerFault.
const (
	// OutOfOrder means that the answer's messages follow each other in an order that no
	// answer has.
	OutOfOrder AnswerFault = "out-of-order"
	// Unsolicited means that it arrived while no step was outstanding.
	Unsolicited AnswerFault = "unsolicited"
	// Replayed means that the connection has delivered it before.
	Replayed AnswerFault = "replayed"
	// Repeated means that it is a refusal which equals an earlier one and may be its copy.
	Repeated AnswerFault = "repeated-refusal"
	// Unsigned means that it lacks the signature that the step's answer has.
	Unsigned AnswerFault = "unsigned"
	// WrongKind means that it holds what no answer to such a step holds.
	WrongKind AnswerFault = "wrong-kind"
	// EarlierPosition means that its position is before one that the connection has
	// delivered. The member's log goes back only if it is rolled back to follow another
	// primary.
	EarlierPosition AnswerFault = "earlier-position"
	// WrongState means that the step can't have led to its state.
	WrongState AnswerFault = "wrong-state"
)

// Names in metrics of steps without an answer.
const (
	// noAnswer means that the answer was lost, or cut off before its end.
	noAnswer = "lost"
	// noConnection means that the connection had ended before the step was sent.
	noConnection = "connection-ended"
)

// AnswerError reports an answer that can't be that to the step sent last. The connection
// is unusable after it, since answers don't name their step.
type AnswerError struct {
	Fault AnswerFault
	// Text says what arrived. It holds no data of a caller.
	Text string
	// Refusal is the answer if Fault is Repeated, else nil.
	Refusal *query.Reply
}

func (e *AnswerError) Error() string { return "answer is " + string(e.Fault) + ": " + e.Text }

// UnsentError reports that a step was not sent.
type UnsentError struct{ Cause error }

func (e *UnsentError) Error() string { return "step was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// asAnswerError returns the AnswerError behind an error, or nil.
func asAnswerError(err error) *AnswerError {
	var a *AnswerError
	_ = errors.As(err, &a)
	return a
}

// isUnsent reports whether a step failed before it was sent.
func isUnsent(err error) bool {
	var u *UnsentError
	return errors.As(err, &u)
}

// checkedConn is a connection that refuses and reports the answers which aren't to the
// step sent last.
type checkedConn struct {
	Conn
	member  string
	metrics *Metrics
	log     hclog.Logger
	now     func() time.Time
	// id identifies the connection in the pool, and usedAt is when its last step ended.
	id     uint64
	usedAt time.Time
	record answerRecord
}

// RunStep implements Conn.
func (c *checkedConn) RunStep(s query.Step, deadline time.Time) (query.Reply, error) {
	o, err := c.Conn.RunStep(s, deadline)
	if o.Unsent && err == nil {
		return o, nil
	}
	if err == nil {
		if e := c.record.check(s, o); e != nil {
			o, err = query.Reply{}, Error.Wrap(e)
		}
	}
	if err != nil {
		c.report(s, err)
	}
	if o.Failure != nil {
		c.metrics.refusals.WithLabelValues(string(o.Failure.Reason)).Inc()
	}
	c.usedAt = c.now()
	return o, err
}

// report counts and logs a step that has no answer to use.
func (c *checkedConn) report(s query.Step, err error) {
	fault, outcome := noAnswer, "outcome unknown"
	if isUnsent(err) {
		fault, outcome = noConnection, "not sent"
	}
	if a := asAnswerError(err); a != nil {
		fault = string(a.Fault)
	}
	c.metrics.faults.WithLabelValues(fault).Inc()
	c.log.Info("member answer not used", "member", c.member, "connection", c.id, "step", stepName(s), "id", stepID(s),
		"fault", fault, "error", err, "rested", c.now().Sub(c.usedAt), "outcome", outcome)
}

// stepID returns the caller's identifier of a step, empty if it has none.
func stepID(s query.Step) string {
	switch s := s.(type) {
	case query.BeginTransaction:
		return s.ID
	case query.RunStatement:
		return s.ID
	case query.EndTransaction:
		return s.ID
	default:
		return ""
	}
}
