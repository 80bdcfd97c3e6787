package owner

import (
	"time"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// relayToEntry relays the backend server's messages to the entry until the
// transaction has ended.
func (e *exchange) relayToEntry() peer.Verdict {
	for {
		m, err := e.readAnswer()
		if err != nil {
			return e.connectionLost(err)
		}
		switch m.Type {
		case wire.ParameterStatus:
			if p, ok, _ := backend.ReportedPosition(m); ok {
				e.handleEvent(outcome.Committed{Position: p})
			}
		case wire.CommandComplete:
			err = e.sendToEntry(e.pendingComplete...)
			e.pendingComplete = []wire.Message{m}
		case wire.ReadyForQuery:
			if done, v := e.finishAnswer(m); done {
				return v
			}
		default:
			if e.key != nil {
				e.key.observeRows(m)
			}
			err = e.sendToEntry(append(e.pendingComplete, m)...)
			e.pendingComplete = nil
		}
		if err != nil {
			return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
		}
	}
}

// readAnswer reads a message of the backend server's answer. After a malformed one the
// connection is as good as lost.
func (e *exchange) readAnswer() (wire.Message, error) {
	m, err := e.conn.Reader.Read()
	if err != nil {
		return m, Error.Wrap(err)
	}
	e.recordActivity()
	return m, Error.Wrap(backend.CheckAnswer(m))
}

// sendToEntry writes messages to the entry, and flushes them once no more are
// buffered on the connection.
func (e *exchange) sendToEntry(m ...wire.Message) error {
	if len(m) == 0 {
		return nil
	}
	if err := e.task.stream.Write(m...); err != nil {
		return err
	}
	if e.conn.Reader.Buffered() > 0 {
		return nil
	}
	return e.task.stream.Flush()
}

// finishAnswer handles the ReadyForQuery m at the end of an answer. It reports
// whether the transaction is over.
func (e *exchange) finishAnswer(m wire.Message) (bool, peer.Verdict) {
	if e.key != nil {
		var v peer.Verdict
		if m, v = e.key.finishAnswer(m); v.Outcome != "" {
			return true, v
		}
	}
	over := len(m.Body) == 1 && m.Body[0] == 'I'
	deadline := e.task.deadline
	if over {
		e.releaseConnection(false)
	} else {
		e.freeSlot()
		_ = e.conn.SetReadDeadline(time.Time{})
	}
	if v := e.performActions(e.handleEvent(outcome.Answered{}), deadline); v.Outcome == peer.Done && !v.Position.IsZero() {
		if e.task.stream.WriteVerdict(v) != nil {
			return true, peer.Verdict{Outcome: peer.InDoubt, Reason: "entry-gone"}
		}
		e.mu.Lock()
		e.tx = outcome.New(e.key != nil)
		e.mu.Unlock()
	} else if v.Outcome != peer.Done && v.Outcome != "" {
		return true, v
	}
	if !over {
		e.startIdle()
	}
	if e.task.stream.Write(append(e.pendingComplete, m)...) != nil || e.task.stream.Flush() != nil {
		return true, peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
	}
	e.pendingComplete = nil
	return over, peer.Verdict{}
}
