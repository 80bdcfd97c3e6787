package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// responseRelay forwards an owner's response to the caller.
type responseRelay struct {
	session *callerSession
	stream  *peer.Stream
	query   query
	// parseCount counts ParseComplete messages.
	parseCount int
	// buffered are messages not yet sent to the caller. Until the first is sent,
	// the request can still go to another member.
	buffered      []wire.Message
	bufferedBytes int
	// partSent is set once a part of the response was sent to the caller, and
	// from the start for an incomplete query, which can't be sent again.
	partSent bool
	// hasError is set if the response contains an ErrorResponse.
	hasError bool
}

// maxBufferedBytes is how much of a response is buffered before any of it is
// sent to the caller.
const maxBufferedBytes = 2 << 10

// run forwards messages until the response ends.
func (a *responseRelay) run(x context.Context) (exchangeResult, peer.Verdict, error) {
	var done peer.Verdict
	for {
		m, err := a.stream.Read()
		if err != nil {
			return a.handleBrokenStream(x)
		}
		switch m.Type {
		case peer.TypeVerdict:
			v, err := peer.ParseVerdict(m)
			if err != nil {
				return a.handleBrokenStream(x)
			}
			if v.Outcome != peer.Done {
				return a.handleVerdict(v)
			}
			done = v
		case wire.ReadyForQuery:
			return answered, done, a.finishResponse(m, done)
		default:
			if m.Type == wire.ErrorResponse && a.query.inDoubt {
				return declined, ownerLostInDoubt, nil
			}
			if o, err := a.relayMessage(m); err != nil || o != answered {
				return o, peer.Verdict{}, err
			}
		}
	}
}

// relayMessage buffers or forwards one message of the response. Any result but
// answered ends the exchange.
func (a *responseRelay) relayMessage(m wire.Message) (exchangeResult, error) {
	a.session.receivedBytes += m.Size()
	switch m.Type {
	case wire.ParseComplete:
		a.parseCount++
		if a.query.rewriter != nil && a.query.rewriter.isInjectedParse(a.parseCount-1) {
			return answered, nil
		}
	case wire.ErrorResponse:
		if a.runnableOnPrimary(m) {
			return memberReadOnly, nil
		}
		a.hasError = true
	case wire.CopyInResponse:
		return sessionFailed, &RefusedError{Code: codeUnsupported, Message: "COPY is not supported"}
	}
	if !a.partSent {
		a.buffered = append(a.buffered, m)
		if a.bufferedBytes += m.Size(); a.bufferedBytes < maxBufferedBytes {
			return answered, nil
		}
		return answered, a.flushBuffered()
	}
	return answered, a.forward(m)
}

// runnableOnPrimary reports whether the member ran nothing because it is a
// replica or still starting up, so that the primary may run the statement.
func (a *responseRelay) runnableOnPrimary(m wire.Message) bool {
	var e pgproto3.ErrorResponse
	if a.partSent || !a.query.complete || a.session.txStream != nil {
		return false
	}
	return e.Decode(m.Body) == nil && (e.Code == codeReadOnly || e.Code == codeCannotConnectNow)
}

// flushBuffered sends the buffered messages; later ones are forwarded directly.
func (a *responseRelay) flushBuffered() error {
	a.partSent = true
	for _, m := range a.buffered {
		if err := a.forward(m); err != nil {
			return err
		}
	}
	a.buffered = nil
	return nil
}

func (a *responseRelay) forward(m wire.Message) error {
	if err := a.session.writer.Write(m); err != nil {
		return Error.Wrap(err)
	}
	if a.stream.Buffered() > 0 {
		return nil
	}
	return Error.Wrap(a.session.writer.Flush())
}

// finishResponse sends the buffered messages, updates the session from
// ReadyForQuery m and the owner's verdict, and sends ReadyForQuery.
func (a *responseRelay) finishResponse(m wire.Message, done peer.Verdict) error {
	if err := a.flushBuffered(); err != nil {
		return err
	}
	if a.hasError {
		for _, s := range a.query.preparedNames {
			delete(a.session.preparedStatements, s)
		}
	}
	if len(m.Body) == 1 {
		a.session.txStatus = m.Body[0]
	}
	if done.Outcome == peer.Done {
		a.session.raiseFloor(done)
	}
	a.session.sendReady()
	return nil
}

// handleVerdict returns the result for a verdict that the owner sent instead of a
// complete response.
func (a *responseRelay) handleVerdict(v peer.Verdict) (exchangeResult, peer.Verdict, error) {
	if a.partSent && v.Outcome != peer.InDoubt {
		v.Reason = reasonAnswerCut
	}
	return declined, v, nil
}

// reasonAnswerCut is the reason of a refusal after a part of the response was
// sent to the caller.
const reasonAnswerCut = "answer-cut"

// handleBrokenStream returns the result for a stream that ended before the
// response did.
func (a *responseRelay) handleBrokenStream(x context.Context) (exchangeResult, peer.Verdict, error) {
	if x.Err() != nil {
		return streamLost, peer.Verdict{}, nil
	}
	if a.partSent && a.session.mayHaveCommitted(a.query) {
		return declined, ownerLostInDoubt, nil
	}
	if a.partSent {
		return declined, peer.Verdict{Outcome: peer.NotRun, Reason: reasonAnswerCut, RetryAfter: retryDelay}, nil
	}
	return streamLost, peer.Verdict{}, nil
}

// mayHaveCommitted reports whether a query that was sent may have committed. A batch that
// the daemon has refused ends before its Sync.
func (n *callerSession) mayHaveCommitted(q query) bool {
	switch requestKind(q.class) {
	case peer.KindRead:
		return n.txStream != nil && q.endsTransaction()
	case peer.KindTransaction:
		return q.endsTransaction()
	default:
		refused := q.rewriter != nil && q.rewriter.refused() != nil
		return q.endsTransaction() || n.txStream == nil && !refused
	}
}

// endsTransaction reports whether a query, with all that was sent of its batch, may
// commit by a statement of its own.
func (q query) endsTransaction() bool {
	if q.rewriter != nil {
		return q.rewriter.mayCommit()
	}
	return q.class.Kind == statement.End || q.class.Count > 1
}

// reportToken sends the session token to the caller as a parameter status.
func (n *callerSession) reportToken(t string) {
	n.send(&pgproto3.ParameterStatus{Name: settingSession, Value: t})
}
