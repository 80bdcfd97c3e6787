package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// answer passes an owner's messages on to the caller.
type answer struct {
	n *client
	t *peer.Stream
	w work
	// parses counts ParseComplete messages.
	parses int
	// held are messages that have not gone to the caller, so that the request
	// could still be sent elsewhere.
	held []wire.Message
	size int
	// sent tells that a part of the answer went to the caller.
	sent bool
	// failed tells that the answer holds an error.
	failed bool
}

// maxHeld is the size in bytes of an answer's beginning that is held.
const maxHeld = 2 << 10

// run passes messages on until the answer ends.
func (a *answer) run(x context.Context) (end, peer.Verdict, error) {
	var done peer.Verdict
	for {
		m, err := a.t.Read()
		if err != nil {
			return a.broken(x)
		}
		switch m.Type {
		case peer.TypeVerdict:
			v, err := peer.ParseVerdict(m)
			if err != nil {
				return a.broken(x)
			}
			if v.Outcome != peer.Done {
				return a.declined(v)
			}
			done = v
		case wire.ReadyForQuery:
			return answered, done, a.finish(m, done)
		default:
			if m.Type == wire.ErrorResponse && a.w.doubtful {
				return declined, ownerLost, nil
			}
			if o, err := a.take(m); err != nil || o != answered {
				return o, peer.Verdict{}, err
			}
		}
	}
}

// take passes one message of the answer on.
func (a *answer) take(m wire.Message) (end, error) {
	a.n.received += m.Size()
	switch m.Type {
	case wire.ParseComplete:
		a.parses++
		if a.w.plan != nil && a.w.plan.swallows(a.parses-1) {
			return answered, nil
		}
	case wire.ErrorResponse:
		if a.elsewhere(m) {
			return readOnly, nil
		}
		a.failed = true
	case wire.CopyInResponse:
		return gone, &RefusedError{Code: codeUnsupported, Message: "COPY is not supported"}
	}
	if !a.sent {
		a.held = append(a.held, m)
		if a.size += m.Size(); a.size < maxHeld {
			return answered, nil
		}
		return answered, a.release()
	}
	return answered, a.pass(m)
}

// elsewhere reports whether the error says that the member has run nothing, as
// it is a replica or starts up, while the primary could run the statement.
func (a *answer) elsewhere(m wire.Message) bool {
	var e pgproto3.ErrorResponse
	if a.sent || !a.w.whole || a.n.open != nil {
		return false
	}
	return e.Decode(m.Body) == nil && (e.Code == codeReadOnly || e.Code == codeNotNow)
}

// release sends what was held.
func (a *answer) release() error {
	a.sent = true
	for _, m := range a.held {
		if err := a.pass(m); err != nil {
			return err
		}
	}
	a.held = nil
	return nil
}

func (a *answer) pass(m wire.Message) error {
	if err := a.n.w.Write(m); err != nil {
		return Error.Wrap(err)
	}
	if a.t.Buffered() > 0 {
		return nil
	}
	return Error.Wrap(a.n.w.Flush())
}

// finish ends the answer.
func (a *answer) finish(m wire.Message, done peer.Verdict) error {
	if err := a.release(); err != nil {
		return err
	}
	if a.failed {
		for _, s := range a.w.names {
			delete(a.n.prepared, s)
		}
	}
	if len(m.Body) == 1 {
		a.n.status = m.Body[0]
	}
	if done.Outcome == peer.Done {
		a.n.learnPosition(done)
	}
	a.n.ready()
	return nil
}

func (a *answer) declined(v peer.Verdict) (end, peer.Verdict, error) {
	if a.sent && v.Outcome != peer.InDoubt {
		v.Reason = reasonCut
	}
	return declined, v, nil
}

// reasonCut is the reason of a refusal after a part of the answer has gone to
// the caller.
const reasonCut = "answer-cut"

// broken handles a stream that ended early.
func (a *answer) broken(x context.Context) (end, peer.Verdict, error) {
	if x.Err() != nil {
		return lost, peer.Verdict{}, nil
	}
	if a.sent {
		return declined, peer.Verdict{Outcome: peer.NotRun, Reason: reasonCut, RetryAfter: retryPause}, nil
	}
	return lost, peer.Verdict{}, nil
}

// reportToken tells the caller its session token.
func (n *client) reportToken(t string) {
	n.send(&pgproto3.ParameterStatus{Name: settingSession, Value: t})
}
