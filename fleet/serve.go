package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
)

// Methods between daemons.
const (
	methodExecute  = "execute"
	methodPosition = "position"
	methodExchange = "exchange"
	methodItem     = "item"
	methodWrite    = "write"
	methodPing     = "ping"
)

// positionReply tells that a group's log reached Position Age before the reply.
type positionReply struct {
	Known    bool            `json:"known"`
	Position logpos.Position `json:"position"`
	Age      time.Duration   `json:"age"`
}

type groupParams struct {
	Group string `json:"group"`
}

// exchangeParams and exchangeReply bring two daemons' mirrors level.
type exchangeParams struct {
	Revision uint64 `json:"revision"`
}

type exchangeReply struct {
	Revision uint64            `json:"revision"`
	Items    []store.Item      `json:"items"`
	Hosts    []membership.Host `json:"hosts"`
}

type itemParams struct {
	Key string `json:"key"`
}

// handle answers a call of another daemon.
func (f *Daemon) handle(x context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodExecute:
		var q query.Request
		if err := params(r, &q); err != nil {
			return nil, err
		}
		return f.serve(x, &q), nil
	case methodPosition:
		var p groupParams
		if err := params(r, &p); err != nil {
			return nil, err
		}
		return f.position(x, p.Group), nil
	case methodExchange:
		var p exchangeParams
		if err := params(r, &p); err != nil {
			return nil, err
		}
		l, n := f.mirror.since(p.Revision)
		f.mu.Lock()
		defer f.mu.Unlock()
		return exchangeReply{Revision: n, Items: l, Hosts: f.view.UnlistedHosts(time.Now())}, nil
	case methodItem:
		var p itemParams
		if err := params(r, &p); err != nil {
			return nil, err
		}
		return f.readFor(x, p.Key)
	case methodWrite:
		var w store.Write
		if err := params(r, &w); err != nil {
			return nil, err
		}
		return f.writeFor(x, w)
	case methodPing:
		return struct{}{}, nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
}

func params(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// serve runs a request on a member that this host owns, or on the primary of a
// group that it holds.
func (f *Daemon) serve(x context.Context, r *query.Request) query.Response {
	switch {
	case r.Stage == query.Later || r.Stage == query.Abandon:
		return f.serveLater(x, r)
	case r.Primary:
		return f.servePrimary(x, r)
	default:
		return f.serveRead(x, r)
	}
}

// serveLater runs a statement of a transaction that is open here.
func (f *Daemon) serveLater(x context.Context, r *query.Request) query.Response {
	f.mu.Lock()
	l := append([]*pool.Pool{}, f.closing...)
	for _, o := range f.pools {
		l = append(l, o.Pool)
	}
	g := f.group(r.Group)
	f.mu.Unlock()
	if r.Stage == query.Abandon {
		return f.abandonHere(x, r, l)
	}
	for _, p := range l {
		if p.Member().ID != r.Member || !p.HasTransaction(r.Transaction) {
			continue
		}
		guard := func() *query.Failure { return nil }
		if !r.ReadOnly {
			guard = f.guardPrimary(g, r)
		}
		o := query.Response{Reply: p.Execute(x, r, logpos.Position{}, guard), Member: p.Member().ID}
		if !r.ReadOnly {
			o.Reply = f.believe(g, r, o.Reply)
		}
		o.QueueWait = p.EstimateWait(r.Rank)
		return o
	}
	return query.Response{Reply: query.Refusal(query.Aborted, "the transaction is not open here")}
}

// abandonHere rolls a transaction back at the members of its group that are owned
// here, or has it rolled back as soon as it begins.
func (f *Daemon) abandonHere(x context.Context, r *query.Request, l []*pool.Pool) query.Response {
	for _, p := range l {
		if p.Member().Group == r.Group && (r.Member == "" || p.Member().ID == r.Member) {
			p.Execute(x, r, logpos.Position{}, func() *query.Failure { return nil })
		}
	}
	return query.Response{Reply: query.Reply{State: query.Idle}}
}

// servePrimary runs a request at the primary, if this host holds the group.
func (f *Daemon) servePrimary(x context.Context, r *query.Request) query.Response {
	t := time.Now()
	f.mu.Lock()
	g := f.group(r.Group)
	for !g.MaySend(now()) {
		rec, _, _ := g.Record()
		left := r.Remaining - time.Since(t)
		if rec.Holder.ID != f.c.Self.ID || left <= holderPause {
			f.mu.Unlock()
			o := query.Response{Reply: query.Refusal(query.Moved, "the group is not held here"), Holder: rec.Holder.ID}
			if rec.Holder.ID == f.c.Self.ID {
				o.Failure = &query.Failure{Reason: query.Overloaded, Text: "the primary is being replaced", RetryAfter: replacedRetry}
			}
			return o
		}
		f.mu.Unlock()
		if !pause(x, holderPause) {
			return query.Response{Reply: query.Refusal(query.Overloaded, "the daemon that asked is gone")}
		}
		f.mu.Lock()
	}
	id, _ := g.Primary()
	m, ok := f.members[id]
	var p *pool.Pool
	if ok {
		p = f.pool(m)
	}
	f.mu.Unlock()
	if !ok {
		return query.Response{Reply: query.Refusal(query.Overloaded, "the primary is not known")}
	}
	q := *r
	q.Remaining -= time.Since(t)
	o := query.Response{Reply: f.believe(g, r, p.Execute(x, &q, logpos.Position{}, f.guardPrimary(g, r))), Member: m.ID}
	o.QueueWait = p.EstimateWait(r.Rank)
	return o
}

// serveRead runs a read on the member that it names.
func (f *Daemon) serveRead(x context.Context, r *query.Request) query.Response {
	t, n := time.Now(), now()
	f.mu.Lock()
	g := f.group(r.Group)
	g.read = n
	m, ok := f.members[r.Member]
	if !ok || m.Group != r.Group || m.Draining || f.leaving.Load() {
		f.mu.Unlock()
		return query.Response{Reply: query.Refusal(query.Moved, "the member is not served here")}
	}
	p := f.pool(m)
	f.mu.Unlock()
	after, ok := f.floor(x, g, n.Add(-r.MaxAge), r.Floor)
	if !ok {
		return query.Response{Reply: query.Refusal(query.Lagging, "the end of the log is not known"), Member: m.ID}
	}
	q := *r
	q.Remaining -= time.Since(t)
	o := query.Response{Member: m.ID}
	f.mu.Lock()
	l := f.table.of(m.ID)
	lacks, at := l.lacks(after, now()), l.position
	f.mu.Unlock()
	if lacks {
		o.Reply = query.Refusal(query.Lagging, "the member lacks "+after.String())
		o.Position = at
	} else {
		o.Reply = p.Execute(x, &q, after, func() *query.Failure { return nil })
	}
	o.QueueWait = p.EstimateWait(r.Rank)
	if o.Failure != nil && o.Failure.Reason == query.Lagging {
		f.mu.Lock()
		if t := g.history.CoveredUntil(o.Position); !t.IsZero() {
			o.Failure.RetryAfter = max(n.Add(-r.MaxAge).Sub(t), 0)
		}
		f.mu.Unlock()
	}
	return o
}

// exchange keeps this daemon's mirror level with others', so that one that the
// store turns away goes on.
func (f *Daemon) exchange(x context.Context) error {
	for pause(x, exchangeInterval/2+rand.N(exchangeInterval)) {
		f.mu.Lock()
		l := f.liveOthers()
		w := slices.DeleteFunc(f.watchers(), func(h membership.Host) bool { return h.ID == f.c.Self.ID })
		l = append(l, f.view.Suspects(time.Now())...)
		f.mu.Unlock()
		if len(w) > 0 {
			f.exchangeWith(x, w[rand.IntN(len(w))], true)
		}
		for _, s := range f.c.Seeds {
			if len(l) == 0 {
				f.exchangeWith(x, peer.Seed(s), false)
			}
		}
		if len(l) > 0 {
			f.exchangeWith(x, l[rand.IntN(len(l))], false)
		}
	}
	return nil
}

// exchangeInterval is how often another daemon is asked for news.
const exchangeInterval = 300 * time.Millisecond

// exchangeWith takes a daemon's news; watcher tells that it watches the store.
func (f *Daemon) exchangeWith(x context.Context, h membership.Host, watcher bool) {
	y, stop := context.WithTimeout(x, linkTimeout)
	defer stop()
	var o exchangeReply
	if err := f.node.Call(y, h, methodExchange, exchangeParams{Revision: f.mirror.at()}, &o); err != nil {
		f.c.Log.Debug("no exchange", "host", h.ID, "error", err)
		return
	}
	if watcher {
		f.mu.Lock()
		f.level = time.Now()
		f.mu.Unlock()
	}
	for _, h := range o.Hosts {
		f.note(membership.HostDiscovered{Host: h})
	}
	if len(o.Items) > 0 {
		f.take(f.mirror.apply(o.Items, o.Revision, time.Now()))
	}
}

// pool returns the pool of a member, made if need be; f.mu is held.
func (f *Daemon) pool(m catalog.Member) *pool.Pool {
	o := f.pools[m.ID]
	if o == nil {
		g := f.group(m.Group)
		n := 0
		if c := f.Catalog(); c != nil {
			n = c.Groups[m.Group].Connections
		}
		o = &owned{Pool: pool.New(pool.Config{
			Member: m, Connections: n, Dialer: f.c.Dialer, Now: now, Log: f.c.Log,
			ObservePosition: func(p logpos.Position, sent time.Time) { f.observe(g, m.ID, p, sent) },
		})}
		f.pools[m.ID] = o
		f.c.Log.Info("member owned", "member", m.ID, "group", m.Group, "slots", m.Slots, "connections", n)
	}
	o.wanted = time.Now()
	return o.Pool
}

func asFailure(err error, q **query.Failure) bool { return errors.As(err, q) }
