package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
)

// Methods of the calls between daemons.
const (
	methodExecute  = "execute"
	methodPosition = "position"
	methodExchange = "exchange"
	methodItem     = "item"
	methodWrite    = "write"
	methodPing     = "ping"
	methodLend     = "lend"
	methodClose    = "close-ledger"
)

// positionReply states that a group's log had reached Position at the time that is
// Age before the reply. Known is false if the daemon can't report a position.
type positionReply struct {
	Known    bool            `json:"known"`
	Position logpos.Position `json:"position"`
	Age      time.Duration   `json:"age"`
	// Reports are the holder's reports on the group's members.
	Reports []query.MemberReport `json:"reports,omitempty"`
}

// positionParams requests the end of a group's log from its holder.
type positionParams struct {
	Group string `json:"group"`
	// Reports are the asker's reports on the group's members; Survey asks for the
	// holder's.
	Reports []query.MemberReport `json:"reports,omitempty"`
	Survey  bool                 `json:"survey,omitempty"`
}

// itemParams requests an item of the store.
type itemParams struct {
	Key string `json:"key"`
}

// handleCall handles a call from another daemon.
func (f *Daemon) handleCall(x context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodExecute:
		var q query.Request
		if err := f.decodeParams(r, &q); err != nil {
			return nil, err
		}
		o := f.serveRequest(x, &q)
		f.tellPace(&o)
		return o.Encodable(), nil
	case methodPosition:
		var p positionParams
		if err := f.decodeParams(r, &p); err != nil {
			return nil, err
		}
		return f.answerPosition(x, p), nil
	case methodExchange:
		var p exchangeParams
		if err := f.decodeParams(r, &p); err != nil {
			return nil, err
		}
		return f.answerExchange(p), nil
	case methodItem:
		var p itemParams
		if err := f.decodeParams(r, &p); err != nil {
			return nil, err
		}
		return f.readForPeer(x, p.Key)
	case methodWrite:
		var w store.Write
		if err := f.decodeParams(r, &w); err != nil {
			return nil, err
		}
		return f.writeForPeer(x, w)
	case methodPing:
		return struct{}{}, nil
	default:
		return f.handleAccountCall(r)
	}
}

// handleAccountCall handles a call from another daemon that is about the accounts of
// teams.
func (f *Daemon) handleAccountCall(r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodLend:
		var c allowance.Call
		if err := f.decodeParams(r, &c); err != nil {
			return nil, err
		}
		return f.lend(c), nil
	case methodClose:
		var c allowance.CloseCall
		if err := f.decodeParams(r, &c); err != nil {
			return nil, err
		}
		return f.closeLedger(c), nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
}

// serveRequest runs a request on a member that this host owns, or on the
// primary of a group that it holds.
func (f *Daemon) serveRequest(x context.Context, r *query.Request) query.Response {
	var o query.Response
	switch {
	case r.Stage == query.Later || r.Stage == query.Abandon:
		return f.serveInTransaction(x, r)
	case r.Primary:
		o = f.servePrimary(x, r)
	default:
		o = f.serveRead(x, r)
	}
	switch {
	case r.Survey:
		o.Members = f.reports(r.Group, "", r.Rank)
	case o.Failure != nil && o.Member != "":
		o.Members = f.reports(r.Group, o.Member, r.Rank)
	}
	return o
}

// serveInTransaction runs a statement of a transaction that is open at this host,
// or rolls the transaction back.
func (f *Daemon) serveInTransaction(x context.Context, r *query.Request) query.Response {
	f.mu.Lock()
	l := append([]*pool.Pool{}, f.closingPools...)
	for _, o := range f.pools {
		l = append(l, o.Pool)
	}
	g := f.group(r.Group)
	f.mu.Unlock()
	if r.Stage == query.Abandon {
		return f.abandonLocalTransaction(x, r, l)
	}
	for _, p := range l {
		if p.Member().ID != r.Member || !p.HasTransaction(r.Transaction) {
			continue
		}
		o := query.Response{Member: p.Member().ID}
		if r.ReadOnly {
			o.Reply = p.Execute(x, r, logpos.Position{}, func() *query.Failure { return nil })
		} else {
			u := &primaryUse{daemon: f, group: g, request: r, member: o.Member}
			o.Reply = u.validate(p.Execute(x, r, logpos.Position{}, u.guard))
		}
		o.QueueWait, o.Pressure = p.EstimateWait(r.Rank), p.Pressure()
		return o
	}
	return query.Response{Reply: query.Refusal(query.Aborted, "the transaction is not open here")}
}

// abandonLocalTransaction rolls back a transaction at the members of its group
// that this host owns. A transaction that isn't open yet is rolled back when
// its first statement has ended.
func (f *Daemon) abandonLocalTransaction(x context.Context, r *query.Request, l []*pool.Pool) query.Response {
	for _, p := range l {
		if p.Member().Group == r.Group && (r.Member == "" || p.Member().ID == r.Member) {
			p.Execute(x, r, logpos.Position{}, func() *query.Failure { return nil })
		}
	}
	return query.Response{Reply: query.Reply{State: query.Idle}}
}

// servePrimary runs a request at the primary if this host holds the group. It
// waits while the primary is not available.
func (f *Daemon) servePrimary(x context.Context, r *query.Request) query.Response {
	t := time.Now()
	f.mu.Lock()
	g := f.group(r.Group)
	if o, ok := f.awaitPrimary(x, g, r, t); !ok {
		f.mu.Unlock()
		return o
	}
	id, term := g.Primary()
	m, ok := f.table.Member(id)
	blocked := f.primaryBlockedFor(g)
	var p *pool.Pool
	if ok {
		p = f.memberPool(m)
		f.pools[id].primaryTerm = term
	}
	f.mu.Unlock()
	if blocked > r.Remaining-time.Since(t) {
		return blockedResponse(m.ID, blocked)
	}
	if !ok {
		return query.Response{Reply: query.Refusal(query.Overloaded, "the primary is not known"), Unavailable: f.config.Features.Pressure}
	}
	q := *r
	q.Remaining -= time.Since(t)
	u := &primaryUse{daemon: f, group: g, request: r, member: m.ID}
	o := query.Response{Reply: u.validate(p.Execute(x, &q, logpos.Position{}, u.guard)), Member: m.ID}
	o.QueueWait, o.Pressure = p.EstimateWait(r.Rank), p.Pressure()
	return o
}

// serveRead runs a read on the member that the request names.
func (f *Daemon) serveRead(x context.Context, r *query.Request) query.Response {
	t, n := time.Now(), now()
	f.mu.Lock()
	g := f.group(r.Group)
	g.lastReplicaRead, f.replicaReads[g] = n, true
	m, ok := f.table.Member(r.Member)
	if !ok || m.Group != r.Group || m.Draining || f.draining.Load() {
		f.mu.Unlock()
		return query.Response{Reply: query.Refusal(query.Moved, "the member is not served here")}
	}
	blocked := time.Duration(0)
	if id, _ := g.Primary(); id == m.ID {
		blocked = f.primaryBlockedFor(g)
	}
	p := f.memberPool(m)
	f.mu.Unlock()
	if blocked > r.Remaining {
		return blockedResponse(m.ID, blocked)
	}
	after, ok := f.readFloor(x, g, n.Add(-r.MaxAge), r.Floor)
	if !ok {
		return query.Response{Reply: query.Refusal(query.Lagging, "the end of the log is not known"), Member: m.ID, Unavailable: f.config.Features.Pressure}
	}
	o, q := query.Response{Member: m.ID}, *r
	q.Remaining -= time.Since(t)
	w := f.checkLog(x, g, p, &q, after, n)
	q.Remaining = r.Remaining - time.Since(t)
	switch {
	case w.leaves:
		return query.Response{Reply: query.Refusal(query.Moved, "the member is not served here")}
	case w.lacks:
		o.Reply = query.Refusal(query.Lagging, "the member lacks "+after.String())
		o.Position, o.Failure.RetryAfter = w.position, w.retryAfter
	default:
		o.Reply = p.Execute(x, &q, w.floor, func() *query.Failure { return f.refuseClosed(m.ID) })
	}
	o.QueueWait, o.Pressure = p.EstimateWait(r.Rank), p.Pressure()
	if o.Failure != nil && o.Failure.Reason == query.Lagging && w.retryAfter == 0 {
		f.mu.Lock()
		if t := g.history.CoveredUntil(o.Position); !t.IsZero() {
			o.Failure.RetryAfter = max(n.Add(-r.MaxAge).Sub(t), 0)
		}
		f.mu.Unlock()
	}
	return o
}

// logCheck tells whether a member's log lacks a position that a read requires.
type logCheck struct {
	lacks    bool
	position logpos.Position
	// floor is the position that the read requires when it is sent.
	floor logpos.Position
	// leaves is set if the member takes no new work any more.
	leaves bool
	// retryAfter is when the log is expected to contain it, zero if unknown.
	retryAfter time.Duration
}

// checkLog checks a member's log before a read that arrived at n is sent there, and
// waits for it as long as the request allows.
func (f *Daemon) checkLog(x context.Context, g *group, p *pool.Pool, r *query.Request, after logpos.Position, n time.Time) logCheck {
	m := p.Member()
	f.mu.Lock()
	l := f.loads.member(m.ID)
	w := logCheck{lacks: l.lacks(after, now()), position: l.position, floor: after}
	primary, _ := g.Primary()
	f.mu.Unlock()
	if r.Patience == 0 || primary == m.ID {
		return w
	}
	w.retryAfter = f.awaitLog(x, p, r, after)
	w.lacks = w.retryAfter > 0
	f.mu.Lock()
	defer f.mu.Unlock()
	// While the read waited, a promotion may have rolled back the end of the earlier
	// term, after which a replica of the new term may lack what is before the floor.
	if k, ok := g.history.Floor(n.Add(-r.MaxAge), r.Floor); ok {
		w.floor = logpos.Max(after, k)
	}
	m, ok := f.table.Member(m.ID)
	w.leaves = !ok || m.Draining || f.draining.Load()
	return w
}

// ownedPool is a pool and the time at which it was last requested.
type ownedPool struct {
	*pool.Pool
	lastUsed time.Time
	// primaryTerm is the latest term in which the member was used as the primary; zero
	// if it wasn't.
	primaryTerm uint64
	// responses counts the responses to other hosts.
	responses uint64
}

// memberPool returns the pool of a member, which is created if need be; f.mu is
// held.
func (f *Daemon) memberPool(m catalog.Member) *pool.Pool {
	o := f.pools[m.ID]
	if o == nil {
		g := f.group(m.Group)
		n := 0
		if c := f.Catalog(); c != nil {
			n = c.Groups[m.Group].Connections
		}
		o = &ownedPool{Pool: pool.New(pool.Config{
			Member: m, Connections: n, Dialer: f.config.Dialer, Now: now, Metrics: f.metrics.pool, Pace: f.paceConfig(m), Log: f.config.Log,
			EarlyRefusal: f.config.Features.Pressure, TeamWeight: f.teamWeight,
			ObservePosition:  func(p logpos.Position, sent time.Time) { f.observePosition(g, m.ID, p, sent) },
			ObserveStatement: f.statementObserver(m.ID),
		})}
		f.pools[m.ID] = o
		f.config.Log.Info("member pool opened", "member", m.ID, "group", m.Group, "slots", m.Slots, "connections", n)
	}
	o.lastUsed = time.Now()
	return o.Pool
}

func asFailure(err error, q **query.Failure) bool { return errors.As(err, q) }
