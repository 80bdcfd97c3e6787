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
}

func (e *AnswerError) Error() string { return "answer is " + string(e.Fault) + ": " + e.Text }

// UnsentError reports that a step was not sent.
type UnsentError struct{ Cause error }

func (e *UnsentError) Error() string { return "step was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// isUnsent reports whether a step failed before it was sent.
func isUnsent(err error) bool {
	var u *UnsentError
	return errors.As(err, &u)
}

// checkedConn is a connection that reports the answers which it can't use.
type checkedConn struct {
	Conn
	member  string
	metrics *Metrics
	log     hclog.Logger
	now     func() time.Time
	// id identifies the connection in the pool, and usedAt is when its last step ended.
	id     uint64
	usedAt time.Time
}

// RunStep implements Conn.
func (c *checkedConn) RunStep(s query.Step, deadline time.Time) (query.Reply, error) {
	o, err := c.Conn.RunStep(s, deadline)
	if err != nil {
		c.report(s, err)
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
	var a *AnswerError
	if errors.As(err, &a) {
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
