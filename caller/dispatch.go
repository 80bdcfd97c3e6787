package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/session"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Timing of attempts to send a request.
const (
	// retryDelay is the delay between queries for the floor, the retry-after
	// interval after a broken stream, and the minimum time left for a retry.
	retryDelay = 30 * time.Millisecond
	// responseGrace is added to the deadline when waiting for an owner's
	// response.
	responseGrace = 2 * time.Second
)

// query is a simple query or a batch of the extended query protocol.
type query struct {
	class    statement.Classification
	messages []wire.Message
	// rewriter rewrites the messages that the caller sends after those in
	// messages; nil for a simple query.
	rewriter *batchRewriter
	// preparedNames are the names of the statements that the batch prepares.
	preparedNames []string
	// complete is set if the messages include the final Query or Sync, so that
	// they can be sent again.
	complete bool
	// inDoubt is set while an earlier attempt may still run, so that only
	// success is a certain outcome.
	inDoubt bool
	// describeOnly is set if the batch executes nothing.
	describeOnly bool
	// local is set if no statement needs a backend server.
	local bool
}

// exchangeResult is how an exchange with an owner ended.
type exchangeResult int

const (
	// answered means that the response was complete.
	answered exchangeResult = iota
	// declined means that the owner sent a verdict instead of a response.
	declined
	// streamLost means that the stream broke before the response was complete.
	streamLost
	// sessionFailed means that the session must be closed: the caller has
	// disconnected, or the member answered with COPY, which isn't supported.
	sessionFailed
	// memberReadOnly means that the member can't run the statement because it
	// is a replica or starting up.
	memberReadOnly
	// errorSent means that the caller was sent an error and then ended its batch.
	errorSent
)

// dispatch runs a query on a backend server and relays the response.
func (n *callerSession) dispatch(x context.Context, q query) error {
	x, stop := context.WithCancel(x)
	defer stop()
	n.mu.Lock()
	n.cancelDispatch = stop
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.cancelDispatch, n.activeStream = nil, nil
		n.mu.Unlock()
	}()
	if n.txStream != nil {
		return n.continueTransaction(x, q)
	}
	b := n.server.config.Bundle()
	v, e := n.statementOptions(b, q.class.Hints)
	if e != nil {
		return n.refuseQuery(q, e)
	}
	r := n.newRequest(b, q, v)
	if e := r.setDigest(q); e != nil {
		return n.refuseQuery(q, e)
	}
	d := time.Now().Add(r.Header.Remaining)
	if e := n.findFloor(x, &r); e != nil {
		return n.refuseQuery(q, e)
	}
	return n.sendWithRetries(x, q, r, d)
}

func canceledError() *RefusedError {
	return &RefusedError{Code: codeCanceled, Message: "canceling statement due to user request"}
}

// refuseQuery answers a query with an error. If the caller has yet to send the
// end of the batch, the session skips up to it.
func (n *callerSession) refuseQuery(q query, e *RefusedError) error {
	for _, s := range q.preparedNames {
		delete(n.preparedStatements, s)
	}
	n.refuse(e)
	if q.complete {
		n.sendReady()
	} else {
		n.skipToSync = true
	}
	return nil
}

func (n *callerSession) newRequest(b *bundle.Bundle, q query, v statementOptions) Request {
	h := peer.Header{
		Group: n.group, Caller: n.caller, Rank: int(v.rank), Kind: requestKind(q.class),
		Remaining: time.Duration(b.Ranks.Of(v.rank).Deadline), Floor: n.floor.Position,
	}
	r := Request{Header: h, Tried: map[string]bool{}, Primary: h.Kind != peer.KindRead}
	switch {
	case h.Kind == peer.KindRead:
		r.Header.Tolerance, r.Header.AgeOnly, r.Header.OwnWrites = v.tolerance, v.ageOnly, v.ownWrites
	case q.describeOnly:
		r.Header.Kind = peer.KindRead
		r.Header.Floor = logpos.Position{}
	case q.class.Kind == statement.BeginReadOnly || q.class.Kind == statement.End:
	default:
		r.Header.Key = v.key
		n.settings.key = ""
	}
	return r
}

// setDigest computes the digest of a request with an idempotency key, from its
// SQL text and parameters. It refuses a request of several statements.
func (r *Request) setDigest(q query) *RefusedError {
	if r.Header.Key == "" {
		return nil
	}
	d := sha256.New()
	k := q.class.Count
	for _, m := range q.messages {
		switch m.Type {
		case wire.Query, wire.Parse, wire.Bind:
			_, _ = d.Write(binary.BigEndian.AppendUint64([]byte{m.Type}, uint64(len(m.Body))))
			_, _ = d.Write(m.Body)
		case wire.Execute:
			k++
		}
	}
	if q.rewriter != nil {
		k -= q.class.Count
	}
	if k > 1 || !q.complete {
		return &RefusedError{Code: codeUnsupported, Message: "a request with an idempotency key must be one statement, sent whole"}
	}
	r.Header.Digest = hex.EncodeToString(d.Sum(nil))
	return nil
}

// findFloor queries the primary's position if a read needs a floor and the
// session has none. It retries until the deadline.
func (n *callerSession) findFloor(x context.Context, r *Request) *RefusedError {
	if r.Header.Kind != peer.KindRead || r.Primary || r.Header.AgeOnly || n.floor.Known {
		return nil
	}
	y, stop := context.WithTimeout(x, r.Header.Remaining)
	defer stop()
	for {
		p, err := n.server.config.Router.PrimaryPosition(y, n.group)
		if err == nil {
			n.floor = n.floor.Raise(p)
			r.Header.Floor = n.floor.Position
			return nil
		}
		n.server.config.Log.Debug("floor query failed", "group", n.group, "error", err)
		if x.Err() != nil {
			return canceledError()
		}
		if y.Err() != nil {
			return refusal(peer.Verdict{Outcome: peer.NotRun, Reason: "floor-unknown", RetryAfter: time.Second})
		}
		sleep(y, retryDelay)
	}
}

// redirectToPrimary makes further attempts go to the primary, as writes.
func (r *Request) redirectToPrimary() {
	r.Primary = true
	if r.Header.Kind == peer.KindRead {
		r.Header.Kind = peer.KindWrite
	}
}

// continueTransaction sends a query on the stream of the open transaction.
func (n *callerSession) continueTransaction(x context.Context, q query) error {
	d := time.Duration(n.server.config.Bundle().Ranks.Of(n.settings.rank).Deadline)
	o, v, err := n.exchange(x, n.txStream, q, d)
	if err != nil {
		return err
	}
	switch o {
	case answered, errorSent:
		if n.txStatus == statusIdle {
			n.closeStream()
		}
		return nil
	case streamLost:
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "transaction-lost", RetryAfter: retryDelay}
		if n.mayHaveCommitted(q) {
			v.Outcome = peer.InDoubt
		}
	}
	n.closeStream()
	if v.Outcome == peer.InDoubt {
		n.txStatus = statusIdle
	}
	return n.refuseQuery(q, refusal(v))
}

// exchange sends a query's messages on a stream and relays the response.
func (n *callerSession) exchange(x context.Context, t *peer.Stream, q query, remaining time.Duration) (exchangeResult, peer.Verdict, error) {
	n.setActiveStream(t)
	defer n.setActiveStream(nil)
	if err := t.SetReadDeadline(time.Now().Add(remaining + responseGrace)); err != nil {
		return streamLost, peer.Verdict{}, nil
	}
	g := &errgroup.Group{}
	g.Go(func() error { return n.sendMessages(t, q) })
	a := &responseRelay{session: n, stream: t, query: q, partSent: !q.complete}
	o, v, err := a.run(x)
	if o != answered {
		_ = t.Close()
	}
	if o != answered && err == nil && !q.complete {
		return errorSent, v, n.refuseIncomplete(q, o, v, g)
	}
	if e := g.Wait(); e != nil && err == nil && !q.complete {
		return sessionFailed, v, e
	}
	return o, v, err
}

// refuseIncomplete answers a batch whose end the caller has yet to send with an
// error, and waits for that end.
func (n *callerSession) refuseIncomplete(q query, o exchangeResult, v peer.Verdict, g *errgroup.Group) error {
	if o == streamLost {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "owner-lost", RetryAfter: retryDelay}
		if requestKind(q.class) != peer.KindRead {
			v.Outcome = peer.InDoubt
		}
	}
	e := q.rewriter.refuse(refusal(v))
	if v.Outcome == peer.InDoubt {
		e = refusal(v)
	}
	n.refuse(e)
	if err := n.writer.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	n.sendReady()
	return Error.Wrap(n.writer.Flush())
}

// raiseFloor raises the session's floor to the position in a verdict, and
// reports the new token to the caller.
func (n *callerSession) raiseFloor(v peer.Verdict) {
	n.floor = n.floor.Raise(v.Position)
	n.reportToken(session.FormatToken(n.group, n.floor.Position))
}

func sleep(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}
