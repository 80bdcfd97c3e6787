// Package owner serves statements on the backend servers that this daemon
// owns: it holds their queues and connections, and acknowledges a write only
// when a majority of the group has it.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Error is the class of all failures of this package.
var Error = errs.Class("owner")

// Timing of work.
const (
	// primaryWait is how long a request waits for a primary to be known.
	primaryWait = 300 * time.Millisecond
	// replicaWait is how long a read waits for a nearby replica.
	replicaWait = 25 * time.Millisecond
	// defaultRetryAfter is the come-back time while a group has no primary.
	defaultRetryAfter = 500 * time.Millisecond
)

// Config holds what an owner needs.
type Config struct {
	// Host is the ID of this host.
	Host string
	// Bundle returns the bundle in force.
	Bundle func() *bundle.Bundle
	// Monitor returns the running monitor of a group, or nil.
	Monitor func(group string) *monitor.Monitor
	// User and Password are for backend servers.
	User     string
	Password string
	Log      hclog.Logger
	// AcknowledgeAtCommit acknowledges writes without a majority, so that they
	// can be lost. It is only for measuring what the wait costs and saves; no
	// setting of the product leads to it.
	AcknowledgeAtCommit bool
}

// Owner holds the owned backend servers. It is safe for concurrent use.
type Owner struct {
	c       Config
	metrics *metrics

	mu      sync.Mutex
	servers map[string]*server
	// streams counts the streams being served.
	streams int
	// keyed counts writes with a key.
	keyed int
	// leaving tells that the servers go to other owners.
	leaving bool
}

// New returns an owner.
func New(c Config) *Owner { return &Owner{c: c, metrics: newMetrics(), servers: map[string]*server{}} }

// server returns the owned server of a member, made when first needed.
func (o *Owner) server(b *bundle.Bundle, g *bundle.Group, m *bundle.Member) *server {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.servers[m.Name]
	if !ok {
		s = newServer(o.backend(g, m), b, m)
		o.servers[m.Name] = s
	}
	return s
}

func (o *Owner) backend(g *bundle.Group, m *bundle.Member) backend.Config {
	return backend.Config{Address: m.Address, User: o.c.User, Password: o.c.Password, Database: g.Name}
}

// QueueDepths returns the numbers of waiting requests by member and rank.
func (o *Owner) QueueDepths() map[string][bundle.RankCount]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := make(map[string][bundle.RankCount]int, len(o.servers))
	for n, s := range o.servers {
		d[n] = s.slots.Depth()
	}
	return d
}

// warmTimeout bounds the opening of connections in one sweep.
const warmTimeout = time.Second

// MaintainConnections checks the idle connections of all owned servers, and opens others
// until each has one for each slot, so that no statement waits for a new
// connection.
func (o *Owner) MaintainConnections() {
	o.mu.Lock()
	l := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		l = append(l, s)
	}
	o.mu.Unlock()
	x, stop := context.WithTimeout(context.Background(), warmTimeout)
	defer stop()
	for _, s := range l {
		s.pool.Sweep()
		s.warm(x)
	}
}

// Serve runs the statements of one stream and closes it.
func (o *Owner) Serve(x context.Context, s *peer.Stream) {
	o.count(1)
	defer o.count(-1)
	defer func() { _ = s.Close() }()
	h, err := s.ReadHeader()
	if err != nil {
		o.c.Log.Debug("stream without header", "error", err)
		return
	}
	x, stop := context.WithCancel(x)
	defer stop()
	t := &task{o: o, h: h, s: s, deadline: time.Now().Add(h.Remaining), role: "primary"}
	v := t.run(x)
	o.metrics.ended(h, v)
	if v.Outcome == "" {
		return
	}
	o.c.Log.Info("statement not served", "group", h.Group, "member", h.Member, "rank", bundle.Rank(h.Rank).String(),
		"kind", h.Kind, "outcome", v.Outcome, "reason", v.Reason, "retry-after", v.RetryAfter)
	if s.WriteVerdict(v) == nil {
		_ = s.Flush()
	}
}

// task is the work of one stream.
type task struct {
	o        *Owner
	h        peer.Header
	s        *peer.Stream
	deadline time.Time
	m        *monitor.Monitor
	srv      *server
	// role is that of the member that serves.
	role string
	// entered tells that the monitor counts the request.
	entered bool
}

// run serves the stream. It returns a verdict that is still to be sent, or
// none.
func (t *task) run(x context.Context) peer.Verdict {
	b := t.o.c.Bundle()
	g, m, ok := b.Member(t.h.Member)
	if !ok || g.Name != t.h.Group {
		return peer.Verdict{Outcome: peer.Moved, Reason: "unknown-member"}
	}
	if t.m = t.o.c.Monitor(g.Name); t.m == nil {
		return peer.Verdict{Outcome: peer.Moved, Reason: "not-watched"}
	}
	t.srv = t.o.server(b, g, m)
	y, end := t.srv.hold(x)
	defer end()
	if v := t.eligible(x, b, m); v.Outcome != "" {
		return v
	}
	if t.entered {
		defer t.m.Leave()
	}
	if t.o.isLeaving() {
		return t.moved()
	}
	if t.role != "replica" {
		x = y
	}
	k, err := t.srv.enter(x, t.arrival())
	if err != nil {
		return t.verdict(err)
	}
	c, v := t.connection(x, k)
	if c == nil {
		return v
	}
	if t.h.Kind == peer.KindTransaction {
		defer t.srv.endTransaction(bundle.Rank(t.h.Rank))
	}
	if t.h.Kind == peer.KindRead {
		t.o.metrics.read(t.h, t.role)
	}
	t.o.c.Log.Debug("statement placed", "group", g.Name, "member", m.Name, "rank", bundle.Rank(t.h.Rank).String(),
		"kind", t.h.Kind, "floor", t.h.Floor.String(), "queued", time.Until(t.deadline).Round(time.Millisecond))
	e := &exchange{t: t, c: c, k: k, holds: true, idle: time.Duration(b.Ranks.Of(bundle.Rank(t.h.Rank)).IdleInTransaction)}
	if t.h.Key != "" && t.h.Kind != peer.KindRead {
		e.key = &key{e: e, name: t.h.Key, digest: t.h.Digest}
	}
	return e.run(x)
}

func (t *task) arrival() admission.Arrived {
	return admission.Arrived{Rank: bundle.Rank(t.h.Rank), Caller: t.h.Caller, Deadline: t.deadline}
}

// connection takes a connection for the request that holds k, and counts its
// transaction in. If there is none, it frees k and returns nil and a verdict.
func (t *task) connection(x context.Context, k gate.Ticket) (*backend.Conn, peer.Verdict) {
	none := peer.Verdict{Outcome: peer.NotRun, Reason: "no-connection", RetryAfter: defaultRetryAfter}
	r := bundle.Rank(t.h.Rank)
	counts := t.h.Kind == peer.KindTransaction
	if counts && !t.srv.beginTransaction(r) {
		k.Release()
		return nil, none
	}
	c, err := t.take(x)
	if err == nil {
		return c, peer.Verdict{}
	}
	if counts {
		t.srv.endTransaction(r)
	}
	k.Release()
	if e := context.Cause(x); isReplaced(e) {
		return nil, t.verdict(e)
	}
	return nil, none
}

func (t *task) take(x context.Context) (*backend.Conn, error) {
	x, stop := context.WithDeadline(x, t.deadline)
	defer stop()
	return t.srv.pool.Take(x)
}

func notRun(err error) peer.Verdict {
	var r *gate.RefusedError
	if errors.As(err, &r) {
		return peer.Verdict{Outcome: peer.NotRun, Reason: string(r.Reason), RetryAfter: r.RetryAfter}
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: "failed", RetryAfter: defaultRetryAfter}
}

// eligible checks that the member may serve the stream; the empty verdict says
// that it may.
func (t *task) eligible(x context.Context, b *bundle.Bundle, m *bundle.Member) peer.Verdict {
	if t.h.Kind == peer.KindRead && t.replicaServes(x, b, m) {
		t.role = "replica"
		return peer.Verdict{}
	}
	x, stop := context.WithTimeout(x, min(primaryWait, max(time.Until(t.deadline), 0)))
	defer stop()
	elsewhere := false
	t.entered = t.m.Enter(x, func(g *failover.Group, now time.Time) bool {
		v := g.View(now)
		elsewhere = v.Primary != "" && v.Primary != m.Name
		return elsewhere || v.Primary == m.Name && v.Confirmed && !v.OlderThan(t.h.Floor)
	})
	v := t.m.View()
	switch {
	case elsewhere:
		if t.entered {
			t.m.Leave()
		}
		return peer.Verdict{Outcome: peer.Moved, Reason: "not-primary", View: &v}
	case !t.entered:
		return peer.Verdict{Outcome: peer.NotRun, Reason: "no-confirmed-primary", RetryAfter: defaultRetryAfter, View: &v}
	default:
		return peer.Verdict{}
	}
}

// replicaServes reports whether the member may serve a read as a replica; it
// waits a moment for it.
func (t *task) replicaServes(x context.Context, b *bundle.Bundle, m *bundle.Member) bool {
	ok := func(g *failover.Group, now time.Time) bool {
		return g.Serves(failover.Read{
			Member: m.Name, Floor: t.h.Floor, Tolerance: t.h.Tolerance, AgeOnly: t.h.AgeOnly,
			OwnWrites: t.h.OwnWrites, MaxAge: time.Duration(b.Limits.ReplicaAge),
		}, now)
	}
	x, stop := context.WithTimeout(x, replicaWait)
	defer stop()
	if m.Leaving || t.m.View().Primary == m.Name {
		return false
	}
	return t.m.AwaitReplica(x, ok)
}

// Configure applies the limits of a bundle to the owned servers. What runs on a
// server that is removed or moved goes on; what waits is sent on.
func (o *Owner) Configure(b *bundle.Bundle) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, s := range o.servers {
		_, m, ok := b.Member(n)
		if !ok || m.Address != s.address {
			s.handOver()
			delete(o.servers, n)
			continue
		}
		s.configure(b, m)
	}
}

// drainPoll is how often Drain looks for running statements.
const drainPoll = 10 * time.Millisecond

// Drain waits until no statement runs on the owned servers, or the context
// ends.
func (o *Owner) Drain(x context.Context) {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for o.Streams() > 0 {
		select {
		case <-x.Done():
			return
		case <-t.C:
		}
	}
}

// Streams returns the number of streams being served.
func (o *Owner) Streams() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.streams
}

// clean reports whether a keyed write should remove expired keys.
func (o *Owner) clean() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyed++
	return o.keyed%cleanEvery == 0
}

func (o *Owner) count(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams += n
}
