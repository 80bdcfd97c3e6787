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
	// retryPause is the pause between questions for the floor, and the
	// come-back time after a stream broke.
	retryPause = 30 * time.Millisecond
	// answerGrace is how long after the deadline an owner may still answer.
	answerGrace = 2 * time.Second
)

// work is a simple query or a batch of an extended one.
type work struct {
	class    statement.Class
	messages []wire.Message
	// plan rewrites what the caller sends after messages; nil for a simple
	// query.
	plan *planner
	// names are the statements that the batch prepares.
	names []string
	// whole tells that the messages end with the Query or Sync, so that they
	// can be sent again.
	whole bool
	// doubtful tells that an earlier attempt may still run, so that only
	// success is a certain answer.
	doubtful bool
	// describeOnly tells that nothing is run.
	describeOnly bool
	// local tells that no statement needs a backend server.
	local bool
}

// end tells how an exchange with an owner ended.
type end int

const (
	// answered means that the answer is whole.
	answered end = iota
	// declined means that the owner gave a verdict instead.
	declined
	// lost means that the stream broke.
	lost
	// gone means that the caller has gone.
	gone
	// readOnly means that a replica can't run the statement.
	readOnly
	// settled means that the caller was refused and its batch has ended.
	settled
)

// dispatch runs work on a backend server and answers the caller.
func (n *client) dispatch(x context.Context, w work) error {
	x, stop := context.WithCancel(x)
	defer stop()
	n.mu.Lock()
	n.stop = stop
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.stop, n.active = nil, nil
		n.mu.Unlock()
	}()
	if n.open != nil {
		return n.carryOn(x, w)
	}
	b := n.s.c.Bundle()
	v, e := n.wishes(b, w.class.Hints)
	if e != nil {
		return n.end(w, e)
	}
	r := n.request(b, w, v)
	if e := r.identify(w); e != nil {
		return n.end(w, e)
	}
	d := time.Now().Add(r.Header.Remaining)
	if e := n.findFloor(x, &r); e != nil {
		return n.end(w, e)
	}
	return n.attempts(x, w, r, d)
}

func canceled() *RefusedError {
	return &RefusedError{Code: codeCanceled, Message: "canceling statement due to user request"}
}

// end refuses work and ends its answer.
func (n *client) end(w work, e *RefusedError) error {
	for _, s := range w.names {
		delete(n.prepared, s)
	}
	n.refuse(e)
	if w.whole {
		n.ready()
	} else {
		n.skip = true
	}
	return nil
}

func (n *client) request(b *bundle.Bundle, w work, v wishes) Request {
	h := peer.Header{
		Group: n.group, Caller: n.name, Rank: int(v.rank), Kind: kindOf(w.class),
		Remaining: time.Duration(b.Ranks.Of(v.rank).Deadline), Floor: n.floor.Position,
	}
	r := Request{Header: h, Tried: map[string]bool{}, Primary: h.Kind != peer.KindRead}
	switch {
	case h.Kind == peer.KindRead:
		r.Header.Tolerance, r.Header.AgeOnly, r.Header.OwnWrites = v.tolerance, v.ageOnly, v.ownWrites
	case w.describeOnly:
		r.Header.Kind = peer.KindRead
		r.Header.Floor = logpos.Position{}
	case w.class.Kind == statement.BeginReadOnly || w.class.Kind == statement.End:
	default:
		r.Header.Key = v.key
		n.set.key = ""
	}
	return r
}

// identify fills in the digest of the request that an idempotency key stands
// for: its SQL text and parameters.
func (r *Request) identify(w work) *RefusedError {
	if r.Header.Key == "" {
		return nil
	}
	d := xxhash.New()
	k := w.class.Count
	for _, m := range w.messages {
		switch m.Type {
		case wire.Query, wire.Parse, wire.Bind:
			_, _ = d.Write(append([]byte{m.Type}, m.Body...))
		case wire.Execute:
			k++
		}
	}
	if w.plan != nil {
		k -= w.class.Count
	}
	if k > 1 || !w.whole {
		return &RefusedError{Code: codeUnsupported, Message: "a request with an idempotency key must be one statement, sent whole"}
	}
	r.Header.Digest = strconv.FormatUint(d.Sum64(), 16)
	return nil
}

// findFloor asks for the primary's position if a read needs a floor and the
// session has none. It asks again until the deadline.
func (n *client) findFloor(x context.Context, r *Request) *RefusedError {
	if r.Header.Kind != peer.KindRead || r.Primary || r.Header.AgeOnly || n.floor.Known {
		return nil
	}
	y, stop := context.WithTimeout(x, r.Header.Remaining)
	defer stop()
	for {
		p, err := n.s.c.Router.Floor(y, n.group)
		if err == nil {
			n.floor = n.floor.Raise(p)
			r.Header.Floor = n.floor.Position
			return nil
		}
		n.s.c.Log.Debug("floor unknown", "group", n.group, "error", err)
		if x.Err() != nil {
			return canceled()
		}
		if y.Err() != nil {
			return refusal(peer.Verdict{Outcome: peer.NotRun, Reason: "floor-unknown", RetryAfter: time.Second})
		}
		pause(y, retryPause)
	}
}

// asWrite sends the request to the primary from now on.
func (r *Request) asWrite() {
	r.Primary = true
	if r.Header.Kind == peer.KindRead {
		r.Header.Kind = peer.KindWrite
	}
}

// carryOn sends work on the stream of the open transaction.
func (n *client) carryOn(x context.Context, w work) error {
	d := time.Duration(n.s.c.Bundle().Ranks.Of(n.set.rank).Deadline)
	o, v, err := n.exchange(x, n.open, w, d)
	if err != nil {
		return err
	}
	switch o {
	case answered, settled:
		if n.status == statusIdle {
			n.closeStream()
		}
		return nil
	case lost:
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "transaction-lost", RetryAfter: retryPause}
		if w.class.Kind == statement.End || w.class.Count > 1 {
			v.Outcome = peer.InDoubt
		}
	}
	n.closeStream()
	if v.Outcome == peer.InDoubt {
		n.status = statusIdle
	}
	return n.end(w, refusal(v))
}

// exchange sends the messages and passes the answer on.
func (n *client) exchange(x context.Context, t *peer.Stream, w work, remaining time.Duration) (end, peer.Verdict, error) {
	n.setActive(t)
	defer n.setActive(nil)
	if err := t.SetReadDeadline(time.Now().Add(remaining + answerGrace)); err != nil {
		return lost, peer.Verdict{}, nil
	}
	g := &errgroup.Group{}
	g.Go(func() error { return n.submit(t, w) })
	a := &answer{n: n, t: t, w: w, sent: !w.whole}
	o, v, err := a.run(x)
	if o != answered {
		_ = t.Close()
	}
	if o != answered && err == nil && !w.whole {
		return settled, v, n.settle(w, o, v, g)
	}
	if e := g.Wait(); e != nil && err == nil && !w.whole {
		return gone, v, e
	}
	return o, v, err
}

// settle refuses a batch whose end the caller has yet to send, and waits for
// that end.
func (n *client) settle(w work, o end, v peer.Verdict, g *errgroup.Group) error {
	if o == lost {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "owner-lost", RetryAfter: retryPause}
		if kindOf(w.class) != peer.KindRead {
			v.Outcome = peer.InDoubt
		}
	}
	n.refuse(refusal(v))
	if err := n.w.Flush(); err != nil {
		return Error.Wrap(err)
	}
	if err := g.Wait(); err != nil {
		return err
	}
	n.ready()
	return Error.Wrap(n.w.Flush())
}

// submit sends the messages; if they aren't whole, it sends on what the caller
// sends up to its Sync. An error then means that the caller has gone.
func (n *client) submit(t *peer.Stream, w work) error {
	err := t.Write(w.messages...)
	if err == nil {
		err = t.Flush()
	}
	if w.whole {
		return err
	}
	for {
		m, err := n.r.Read()
		if err != nil {
			return Error.Wrap(err)
		}
		if m.Type == wire.Terminate {
			return Error.Wrap(net.ErrClosed)
		}
		l, e := w.plan.next(m)
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

// learnPosition raises the session's floor and tells the caller its token.
func (n *client) learnPosition(v peer.Verdict) {
	n.floor = n.floor.Raise(v.Position)
	n.reportToken(session.Token(n.group, n.floor.Position))
}

func pause(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}
