// Package owner serves statements on the backend servers that this daemon owns.
// It holds their queues and connections, and acknowledges a write only when a
// majority of the group's members has it. Package outcome decides the outcome of a
// transaction; package pool runs requests for the daemons of package fleet.
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
	"github.com/dragonflypick/dragonflypick/drain"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Error is the class of all failures of this package.
var Error = errs.Class("owner")

// Timing of requests.
const (
	// primaryWait is how long a request waits for a confirmed primary.
	primaryWait = 300 * time.Millisecond
	// replicaWait is how long a read waits until the replica may serve it.
	replicaWait = 25 * time.Millisecond
	// defaultRetryAfter is the retry-after interval of requests that weren't run
	// and for which no queue has computed another, e.g. while a group has no
	// primary.
	defaultRetryAfter = 500 * time.Millisecond
)

// Config is the configuration of an owner.
type Config struct {
	// Host is the ID of this host.
	Host string
	// Bundle returns the bundle in force.
	Bundle func() *bundle.Bundle
	// Monitor returns the running monitor of a group, or nil.
	Monitor func(group string) *monitor.Monitor
	// User and Password are the credentials for backend servers.
	User     string
	Password string
	Log      hclog.Logger
	// AcknowledgeAtCommit acknowledges writes at commit without waiting for a
	// majority, so that they can be lost. It exists only to measure the cost and
	// the benefit of the wait; no setting of the product enables it.
	AcknowledgeAtCommit bool
}

// Owner serves statements on the owned backend servers. It is safe for concurrent
// use.
type Owner struct {
	config  Config
	metrics *metrics

	mu sync.Mutex
	// servers maps the name of a member to its server.
	servers map[string]*server
	// activeStreams is the number of streams being served.
	activeStreams int
	// keyedWrites counts the writes with an idempotency key.
	keyedWrites int
	// drains holds the servers that are to be returned. configured is set once a bundle was in
	// force.
	drains     *drain.Notices
	configured bool
	// handingOver is set once the servers are being handed over to other owners.
	handingOver bool
}

// New returns an owner.
func New(c Config) *Owner {
	return &Owner{config: c, metrics: newMetrics(), servers: map[string]*server{}, drains: drain.New(newWorkTime)}
}

// server returns the server of a member, created at its first use.
func (o *Owner) server(b *bundle.Bundle, g *bundle.Group, m *bundle.Member) *server {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.servers[m.Name]
	if !ok {
		s = newServer(o.backendConfig(g, m), b, m)
		o.servers[m.Name] = s
	}
	return s
}

func (o *Owner) backendConfig(g *bundle.Group, m *bundle.Member) backend.Config {
	return backend.Config{Address: m.Address, User: o.config.User, Password: o.config.Password, Database: g.Name}
}

// QueueDepths returns the number of waiting requests by member and rank.
func (o *Owner) QueueDepths() map[string][bundle.RankCount]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := make(map[string][bundle.RankCount]int, len(o.servers))
	for n, s := range o.servers {
		d[n] = s.slots.Depth()
	}
	return d
}

// warmTimeout bounds the time for opening connections in one MaintainConnections.
const warmTimeout = time.Second

// MaintainConnections checks the idle connections of all owned servers, ends the
// sessions of those that didn't answer, and opens new ones until each server has one
// idle connection per slot, so that no statement waits for a connection to be opened.
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
		s.pool.CheckIdle()
		s.pool.EndAbandoned(x, func(x context.Context, pid uint32) bool { return o.terminateSession(x, s.name, pid) })
		s.warm(x)
	}
}

// terminateSession terminates a session on a member, and reports whether it has ended.
func (o *Owner) terminateSession(x context.Context, member string, pid uint32) bool {
	g, _, ok := o.config.Bundle().Member(member)
	if !ok {
		return true
	}
	m := o.config.Monitor(g.Name)
	return m != nil && m.TerminateSession(x, monitor.BackendSession{Member: member, PID: pid})
}

// Serve runs the statements of one stream and closes it.
func (o *Owner) Serve(x context.Context, s *peer.Stream) {
	o.addActiveStreams(1)
	defer o.addActiveStreams(-1)
	defer func() { _ = s.Close() }()
	h, err := s.ReadHeader()
	if err != nil {
		o.config.Log.Info("stream header read failed", "error", err)
		return
	}
	x, stop := context.WithCancel(x)
	defer stop()
	t := &task{owner: o, header: h, stream: s, deadline: time.Now().Add(h.Remaining), role: "primary"}
	v := t.run(x)
	o.metrics.countStream(h, v)
	if v.Outcome == "" {
		return
	}
	o.config.Log.Info("statement not completed", "group", h.Group, "member", h.Member, "rank", bundle.Rank(h.Rank).String(),
		"kind", h.Kind, "outcome", v.Outcome, "reason", v.Reason, "retry-after", v.RetryAfter, "error", t.noConnection)
	if s.WriteVerdict(v) == nil {
		_ = s.Flush()
	}
}

// task serves one stream: it waits until the member may serve it, for a slot
// and for a connection, and then runs an exchange.
type task struct {
	owner    *Owner
	header   peer.Header
	stream   *peer.Stream
	deadline time.Time
	monitor  *monitor.Monitor
	server   *server
	// role is the role in which the member serves the stream.
	role string
	// counted is set if the monitor counts the request as running on the primary.
	counted bool
	// noConnection is why no connection was available, if that is so.
	noConnection error
}

// run serves the stream. It returns the verdict that the caller must still send;
// it is empty if there is none.
func (t *task) run(x context.Context) peer.Verdict {
	b := t.owner.config.Bundle()
	g, m, ok := b.Member(t.header.Member)
	if !ok || g.Name != t.header.Group {
		return peer.Verdict{Outcome: peer.Redirected, Reason: "unknown-member"}
	}
	if t.monitor = t.owner.config.Monitor(g.Name); t.monitor == nil {
		return peer.Verdict{Outcome: peer.Redirected, Reason: "not-watched"}
	}
	t.server = t.owner.server(b, g, m)
	y, end := t.server.trackPrimaryWork(x)
	defer end()
	if v := t.awaitEligible(x, b, m); v.Outcome != "" {
		return v
	}
	if t.counted {
		defer t.monitor.EndRequest()
	}
	if t.owner.isHandingOver() {
		return t.movedVerdict()
	}
	if v := t.refuseClosed(); v.Outcome != "" {
		return v
	}
	if t.role != "replica" {
		x = y
	}
	k, err := t.server.acquireSlot(x, t.arrival())
	if err != nil {
		return t.refusalVerdict(err)
	}
	c, v := t.acquireConnection(x, k)
	if c == nil {
		return v
	}
	if t.header.Kind == peer.KindTransaction {
		defer t.server.endTransaction(bundle.Rank(t.header.Rank))
	}
	if t.header.Kind == peer.KindRead {
		t.owner.metrics.countRead(t.header, t.role)
	}
	t.owner.config.Log.Debug("statement started", "group", g.Name, "member", m.Name, "rank", bundle.Rank(t.header.Rank).String(),
		"kind", t.header.Kind, "floor", t.header.Floor.String(), "queued", time.Until(t.deadline).Round(time.Millisecond))
	e := &exchange{task: t, conn: c, ticket: k, holdsSlot: true, idleTimeout: time.Duration(b.Ranks.Of(bundle.Rank(t.header.Rank)).IdleInTransaction)}
	if t.header.Key != "" && t.header.Kind != peer.KindRead {
		e.key = &idempotencyKey{exchange: e, name: t.header.Key, digest: t.header.Digest}
	}
	return e.run(x)
}

func (t *task) arrival() admission.Arrived {
	return admission.Arrived{Rank: bundle.Rank(t.header.Rank), Caller: t.header.Caller, Deadline: t.deadline}
}

// acquireConnection takes a connection from the pool for the request that holds
// ticket k, and counts the transaction as open if the request is one. If no
// connection is available, or the server gets no new work any more, it frees k and returns
// nil and a verdict.
func (t *task) acquireConnection(x context.Context, k gate.Slot) (*backend.Conn, peer.Verdict) {
	none := peer.Verdict{Outcome: peer.NotRun, Reason: "no-connection", RetryAfter: defaultRetryAfter}
	r := bundle.Rank(t.header.Rank)
	counts := t.header.Kind == peer.KindTransaction
	if counts && !t.server.beginTransaction(r) {
		k.Release()
		return nil, none
	}
	c, err := t.takeConnection(x)
	var closed peer.Verdict
	if err == nil {
		if closed = t.refuseClosed(); closed.Outcome == "" {
			return c, peer.Verdict{}
		}
		t.server.pool.Put(c, false)
	}
	t.noConnection = err
	if counts {
		t.server.endTransaction(r)
	}
	k.Release()
	if closed.Outcome != "" {
		return nil, closed
	}
	if e := context.Cause(x); isReplaced(e) {
		return nil, t.refusalVerdict(e)
	}
	return nil, none
}

func (t *task) takeConnection(x context.Context) (*backend.Conn, error) {
	x, stop := context.WithDeadline(x, t.deadline)
	defer stop()
	return t.server.pool.Take(x)
}

// notRunVerdict returns the verdict on a request that the queue refused.
func notRunVerdict(err error) peer.Verdict {
	var r *gate.RefusedError
	if errors.As(err, &r) {
		return peer.Verdict{Outcome: peer.NotRun, Reason: string(r.Reason), RetryAfter: r.RetryAfter}
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: "failed", RetryAfter: defaultRetryAfter}
}

// awaitEligible waits until the member may serve the stream, as a replica or as
// the confirmed primary. It returns an empty verdict if it may.
func (t *task) awaitEligible(x context.Context, b *bundle.Bundle, m *bundle.Member) peer.Verdict {
	if t.header.Kind == peer.KindRead && t.awaitReplica(x, b, m) {
		t.role = "replica"
		return peer.Verdict{}
	}
	x, stop := context.WithTimeout(x, min(primaryWait, max(time.Until(t.deadline), 0)))
	defer stop()
	otherPrimary := false
	t.counted = t.monitor.BeginRequest(x, func(g *failover.Group, now time.Time) bool {
		v := g.View(now)
		otherPrimary = v.Primary != "" && v.Primary != m.Name
		return otherPrimary || v.Primary == m.Name && v.Confirmed && !v.OlderThan(t.header.Floor)
	})
	v := t.monitor.View()
	switch {
	case otherPrimary:
		if t.counted {
			t.monitor.EndRequest()
		}
		return peer.Verdict{Outcome: peer.Redirected, Reason: "not-primary", View: &v}
	case !t.counted:
		return peer.Verdict{Outcome: peer.NotRun, Reason: "no-confirmed-primary", RetryAfter: defaultRetryAfter, View: &v}
	default:
		return peer.Verdict{}
	}
}

// awaitReplica waits up to replicaWait until the member may serve the read as a
// replica, and reports whether it may.
func (t *task) awaitReplica(x context.Context, b *bundle.Bundle, m *bundle.Member) bool {
	ok := func(g *failover.Group, now time.Time) bool {
		return g.MayServe(failover.ReplicaRead{
			Member: m.Name, Floor: t.header.Floor, Tolerance: t.header.Tolerance, AgeOnly: t.header.AgeOnly,
			OwnWrites: t.header.OwnWrites, MaxAge: time.Duration(b.Limits.ReplicaAge),
		}, now)
	}
	x, stop := context.WithTimeout(x, replicaWait)
	defer stop()
	if m.Draining || t.monitor.View().Primary == m.Name {
		return false
	}
	return t.monitor.AwaitReports(x, ok)
}

// Configure applies the limits of a bundle to the owned servers. If a server was
// removed or has another address, its waiting requests are redirected and its
// running statements continue.
func (o *Owner) Configure(b *bundle.Bundle) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observeDrains(b, time.Now())
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

// drainPollInterval is how often Drain checks for streams that are still served.
const drainPollInterval = 10 * time.Millisecond

// Drain waits until no stream is being served, or the context ends.
func (o *Owner) Drain(x context.Context) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for o.ActiveStreams() > 0 {
		select {
		case <-x.Done():
			return
		case <-t.C:
		}
	}
}

// ActiveStreams returns the number of streams being served.
func (o *Owner) ActiveStreams() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.activeStreams
}

// shouldDeleteExpiredKeys counts a write with an idempotency key, and reports
// whether it should delete expired keys: one in writesPerCleanup does.
func (o *Owner) shouldDeleteExpiredKeys() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyedWrites++
	return o.keyedWrites%writesPerCleanup == 0
}

func (o *Owner) addActiveStreams(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activeStreams += n
}
