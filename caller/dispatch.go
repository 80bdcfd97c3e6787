package caller

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/session"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Timing of attempts.
const (
	// retryDelay is the pause between questions for the floor, and the
	// come-back time after a stream broke.
	retryDelay = 30 * time.Millisecond
	// answerGrace is how long after the deadline an owner may still answer.
	answerGrace = 2 * time.Second
)

// query is a simple query or a batch of an extended one.
type query struct {
	class    statement.Class
	messages []wire.Message
	// rewriteBatch rewrites what the caller sends after messages; nil for a simple
	// query.
	rewriter *batchRewriter
	// preparedNames are the statements that the batch prepares.
	preparedNames []string
	// complete tells that the messages end with the Query or Sync, so that they
	// can be sent again.
	complete bool
	// inDoubt tells that an earlier attempt may still run, so that only
	// success is a certain answer.
	inDoubt bool
	// describeOnly tells that nothing is run.
	describeOnly bool
	// runLocalStatement tells that no statement needs a backend server.
	local bool
}

// refuseQuery tells how an exchange with an owner ended.
type exchangeResult int

const (
	// answered means that the answer is whole.
	answered exchangeResult = iota
	// decline means that the owner gave a verdict instead.
	declined
	// streamLost means that the stream broke.
	streamLost
	// callerGone means that the caller has gone.
	callerGone
	// memberReadOnly means that a replica can't run the statement.
	memberReadOnly
	// refused means that the caller was refused and its batch has ended.
	refused
)

// dispatch runs work on a backend server and answers the caller.
func (n *callerSession) dispatch(x context.Context, q query) error {
	x, stop := context.WithCancel(x)
	defer stop()
	n.mu.Lock()
	n.stopWait = stop
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.stopWait, n.activeStream = nil, nil
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

// refuseQuery refuses work and ends its answer.
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

// setDigest fills in the digest of the request that an idempotency key stands
// for: its SQL text and parameters.
func (r *Request) setDigest(q query) *RefusedError {
	if r.Header.Key == "" {
		return nil
	}
	d := xxhash.New()
	k := q.class.Count
	for _, m := range q.messages {
		switch m.Type {
		case wire.Query, wire.Parse, wire.Bind:
			_, _ = d.Write(append([]byte{m.Type}, m.Body...))
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
	r.Header.Digest = strconv.FormatUint(d.Sum64(), 16)
	return nil
}

// findFloor asks for the primary's position if a read needs a floor and the
// session has none. It asks again until the deadline.
func (n *callerSession) findFloor(x context.Context, r *Request) *RefusedError {
	if r.Header.Kind != peer.KindRead || r.Primary || r.Header.AgeOnly || n.floor.Known {
		return nil
	}
	y, stop := context.WithTimeout(x, r.Header.Remaining)
	defer stop()
	for {
		p, err := n.server.config.Router.Floor(y, n.group)
		if err == nil {
			n.floor = n.floor.Raise(p)
			r.Header.Floor = n.floor.Position
			return nil
		}
		n.server.config.Log.Debug("floor unknown", "group", n.group, "error", err)
		if x.Err() != nil {
			return canceledError()
		}
		if y.Err() != nil {
			return refusal(peer.Verdict{Outcome: peer.NotRun, Reason: "floor-unknown", RetryAfter: time.Second})
		}
		sleep(y, retryDelay)
	}
}

// redirectToPrimary sends the request to the primary from now on.
func (r *Request) redirectToPrimary() {
	r.Primary = true
	if r.Header.Kind == peer.KindRead {
		r.Header.Kind = peer.KindWrite
	}
}

// continueTransaction sends work on the stream of the open transaction.
func (n *callerSession) continueTransaction(x context.Context, q query) error {
	d := time.Duration(n.server.config.Bundle().Ranks.Of(n.settings.rank).Deadline)
	o, v, err := n.exchange(x, n.txStream, q, d)
	if err != nil {
		return err
	}
	switch o {
	case answered, refused:
		if n.txStatus == statusIdle {
			n.closeStream()
		}
		return nil
	case streamLost:
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "transaction-lost", RetryAfter: retryDelay}
		if q.class.Kind == statement.End || q.class.Count > 1 {
			v.Outcome = peer.InDoubt
		}
	}
	n.closeStream()
	if v.Outcome == peer.InDoubt {
		n.txStatus = statusIdle
	}
	return n.refuseQuery(q, refusal(v))
}

// exchange sends the messages and passes the answer on.
func (n *callerSession) exchange(x context.Context, t *peer.Stream, q query, remaining time.Duration) (exchangeResult, peer.Verdict, error) {
	n.setActive(t)
	defer n.setActive(nil)
	if err := t.SetReadDeadline(time.Now().Add(remaining + answerGrace)); err != nil {
		return streamLost, peer.Verdict{}, nil
	}
	g := &errgroup.Group{}
	g.Go(func() error { return n.submit(t, q) })
	a := &responseRelay{session: n, stream: t, query: q, partSent: !q.complete}
	o, v, err := a.run(x)
	if o != answered {
		_ = t.Close()
	}
	if o != answered && err == nil && !q.complete {
		return refused, v, n.refuseIncomplete(q, o, v, g)
	}
	if e := g.Wait(); e != nil && err == nil && !q.complete {
		return callerGone, v, e
	}
	return o, v, err
}

// refuseIncomplete refuses a batch whose end the caller has yet to send, and waits for
// that end.
func (n *callerSession) refuseIncomplete(q query, o exchangeResult, v peer.Verdict, g *errgroup.Group) error {
	if o == streamLost {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "owner-lost", RetryAfter: retryDelay}
		if requestKind(q.class) != peer.KindRead {
			v.Outcome = peer.InDoubt
		}
	}
	n.refuse(refusal(v))
	if err := n.writer.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	n.sendReady()
	return Error.Wrap(n.writer.Flush())
}

// submit sends the messages; if they aren't whole, it sends on what the caller
// sends up to its Sync. An error then means that the caller has gone.
func (n *callerSession) submit(t *peer.Stream, q query) error {
	err := t.Write(q.messages...)
	if err == nil {
		err = t.Flush()
	}
	if q.complete {
		return err
	}
	for {
		m, err := n.reader.Read()
		if err != nil {
			return Error.Wrap(err)
		}
		if m.Type == wire.Terminate {
			return Error.Wrap(net.ErrClosed)
		}
		l, e := q.rewriter.rewriteNext(m)
		if e != nil {
			_ = t.Close()
			continue
		}
		if t.Write(l...) == nil && (m.Type == wire.Sync || m.Type == wire.Flush) {
			_ = t.Flush()
		}
		if m.Type == wire.Sync {
			return nil
		}
	}
}

// raiseFloor raises the session's floor and tells the caller its token.
func (n *callerSession) raiseFloor(v peer.Verdict) {
	n.floor = n.floor.Raise(v.Position)
	n.reportToken(session.Token(n.group, n.floor.Position))
}

func sleep(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}
