package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/route"
)

// Timing of routing.
const (
	// viewTimeout limits querying an owner for its view of a group.
	viewTimeout = 700 * time.Millisecond
	// routeRetryAfter is the retry-after interval while no owner answers.
	routeRetryAfter = 300 * time.Millisecond
)

// router finds an owner for each request of this daemon's callers.
type router struct {
	daemon *Daemon

	mu    sync.Mutex
	table *route.Table
	// positionLookups holds, by group, the lookup of the primary's position that
	// has yet to start.
	positionLookups map[string]*positionLookup
	budgets         entryBudgets
}

// positionLookup is a lookup of a primary's position that several sessions may
// wait for.
type positionLookup struct {
	done     chan struct{}
	position logpos.Position
	err      error
}

func newRouter(d *Daemon) *router {
	h := d.config.Host
	return &router{daemon: d, table: route.New(route.Location{Region: h.Region, FailureDomain: h.FailureDomain}), positionLookups: map[string]*positionLookup{}, budgets: newEntryBudgets(d.config.RegionLinkRate)}
}

// Open implements caller.Router.
func (r *router) Open(x context.Context, q caller.Request) (caller.Route, error) {
	g, ok := r.daemon.bundle().Group(q.Header.Group)
	if !ok {
		return caller.Route{}, Error.Wrap(&caller.RouteError{Reason: "unknown-group", RetryAfter: routeRetryAfter})
	}
	c, err := r.chooseMember(x, g, q)
	if err != nil {
		return caller.Route{}, err
	}
	_, m, ok := r.daemon.bundle().Member(c.Member)
	if !ok {
		return caller.Route{}, Error.Wrap(&caller.RouteError{Reason: "unknown-member", RetryAfter: routeRetryAfter})
	}
	t, err := r.admit(q, m)
	if err != nil {
		return caller.Route{}, err
	}
	t.Stream, err = r.connectOwner(x, m, c, q)
	if err != nil {
		r.mu.Lock()
		r.budgets.release(t)
		r.mu.Unlock()
		return caller.Route{}, err
	}
	return t, nil
}

// connectOwner opens a stream to the owner of the chosen member and sends the
// header.
func (r *router) connectOwner(x context.Context, m *bundle.Member, c route.Choice, q caller.Request) (*peer.Stream, error) {
	h, ok := r.daemon.ownerOf(m)
	if !ok {
		return nil, Error.Wrap(&caller.RouteError{Reason: "no-owner", RetryAfter: routeRetryAfter})
	}
	r.daemon.recordRoute(q, c, h.ID)
	s, err := r.daemon.openStream(x, h)
	if err != nil {
		return nil, Error.Wrap(&caller.RouteError{Reason: "owner-unreachable", RetryAfter: routeRetryAfter})
	}
	q.Header.Member = m.Name
	if err := s.WriteHeader(q.Header); err != nil {
		_ = s.Close()
		return nil, Error.Wrap(&caller.RouteError{Reason: "owner-unreachable", RetryAfter: routeRetryAfter})
	}
	r.mu.Lock()
	r.table.Handle(route.RequestSent{Member: m.Name}, time.Now())
	r.mu.Unlock()
	return s, nil
}

// recordRoute counts and logs a routing decision.
func (d *Daemon) recordRoute(q caller.Request, c route.Choice, owner string) {
	k := bundle.Rank(q.Header.Rank).String()
	d.routingMetrics.routed.WithLabelValues(k, string(c.Reason)).Inc()
	if d.routingMetrics.shouldLog() {
		d.config.Log.Debug("statement routed", "group", q.Header.Group, "member", c.Member, "owner", owner, "rank", k,
			"kind", q.Header.Kind, "reason", c.Reason, "floor", q.Header.Floor.String(), "tolerance", q.Header.Tolerance)
	}
}

// chooseMember chooses the member to run a request: one that is fresh enough
// for a read, else the primary.
func (r *router) chooseMember(x context.Context, g *bundle.Group, q caller.Request) (route.Choice, error) {
	if q.Header.Kind == peer.KindRead && !q.Primary {
		r.mu.Lock()
		c, ok := r.table.ChooseForRead(g, readRequirement(q), q.Tried, time.Now())
		r.mu.Unlock()
		if ok {
			return c, nil
		}
		if q.Spilled {
			return route.Choice{}, Error.Wrap(&caller.RouteError{Reason: reasonOverloaded, RetryAfter: routeRetryAfter})
		}
	}
	p, err := r.findPrimary(x, g, len(q.Tried) > 0)
	if err != nil {
		return route.Choice{}, err
	}
	reason := route.ForWrite
	if q.Header.Kind == peer.KindRead {
		reason = route.PrimaryForRead
	}
	return route.Choice{Member: p, Reason: reason}, nil
}

// findPrimary returns the group's primary. It queries the owners of the members if
// no primary is known, or if refresh is set.
func (r *router) findPrimary(x context.Context, g *bundle.Group, refresh bool) (string, error) {
	if !refresh {
		r.mu.Lock()
		p, ok := r.table.Primary(g.Name)
		r.mu.Unlock()
		if ok {
			return p, nil
		}
	}
	for i := range g.Members {
		v, err := r.daemon.queryView(x, g, &g.Members[i])
		if err != nil {
			continue
		}
		r.observeView(g.Name, v)
		if v.Primary != "" && v.Confirmed {
			return v.Primary, nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.table.Primary(g.Name); ok {
		return p, nil
	}
	return "", Error.Wrap(&caller.RouteError{Reason: "no-primary", RetryAfter: routeRetryAfter})
}

// knownPrimary returns the group's primary without a query.
func (r *router) knownPrimary(group string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Primary(group)
}

// observeView updates the routing table with a view of a group.
func (r *router) observeView(group string, v failover.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Handle(route.ViewUpdated{Group: group, View: v}, time.Now())
}

// Release implements caller.Router.
func (r *router) Release(t caller.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.release(t)
	r.table.Handle(route.RequestEnded{Member: t.Member}, time.Now())
}

// RecordVerdict implements caller.Router.
func (r *router) RecordVerdict(q caller.Request, member string, v peer.Verdict) {
	if v.View != nil {
		r.observeView(q.Header.Group, *v.View)
	}
	if v.DrainingHost != "" {
		r.daemon.handleShutdownNotice(v.DrainingHost)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Outcome == peer.Redirected {
		r.table.Handle(route.ReadDeclined{Member: member, Requirement: readRequirement(q)}, time.Now())
	}
	r.budgets.recordVerdict(q, member, v)
}

// readRequirement returns the freshness that a read requires.
func readRequirement(q caller.Request) route.Requirement {
	return route.Requirement{Floor: q.Header.Floor, Tolerance: q.Header.Tolerance, AgeOnly: q.Header.AgeOnly, OwnWrites: q.Header.OwnWrites}
}

// PrimaryPosition implements caller.Router. Sessions that call it while a lookup
// is running share the next one, so that each gets a position that is not older
// than its call.
func (r *router) PrimaryPosition(x context.Context, group string) (logpos.Position, error) {
	r.mu.Lock()
	c, ok := r.positionLookups[group]
	if !ok {
		c = &positionLookup{done: make(chan struct{})}
		r.positionLookups[group] = c
		r.daemon.startTask(func() error {
			r.lookUpPosition(group, c)
			return nil
		})
	}
	r.mu.Unlock()
	select {
	case <-c.done:
		return c.position, c.err
	case <-x.Done():
		return logpos.Position{}, Error.Wrap(x.Err())
	}
}

// lookUpPosition queries the position of the group's primary, a second time with a
// refreshed primary if the first query fails.
func (r *router) lookUpPosition(group string, c *positionLookup) {
	defer close(c.done)
	x, stop := context.WithTimeout(r.daemon.ctx, 2*viewTimeout)
	defer stop()
	r.mu.Lock()
	delete(r.positionLookups, group)
	r.mu.Unlock()
	g, ok := r.daemon.bundle().Group(group)
	if !ok {
		c.err = Error.Wrap(&caller.RouteError{Reason: "unknown-group"})
		return
	}
	for refresh := range 2 {
		p, err := r.findPrimary(x, g, refresh == 1)
		if err != nil {
			c.err = err
			return
		}
		_, m, ok := r.daemon.bundle().Member(p)
		if !ok {
			c.err = Error.Wrap(&caller.RouteError{Reason: "unknown-member", RetryAfter: routeRetryAfter})
			continue
		}
		if c.position, c.err = r.daemon.queryPosition(x, g, m); c.err == nil {
			return
		}
	}
}

// openStream opens a stream to an owner; if that is this daemon, through an
// in-memory pipe.
func (d *Daemon) openStream(x context.Context, h membership.Host) (*peer.Stream, error) {
	if h.ID != d.config.Host.ID {
		return d.node.OpenStream(x, h)
	}
	a, b := net.Pipe()
	d.startTask(func() error {
		d.owner.Serve(d.ctx, peer.NewStream(b))
		return nil
	})
	return peer.NewStream(a), nil
}

// Open implements caller.Router.
func (d forwardingRouter) Open(x context.Context, q caller.Request) (caller.Route, error) {
	return d.router.Open(x, q)
}

// Release implements caller.Router.
func (d forwardingRouter) Release(t caller.Route) { d.router.Release(t) }

// RecordVerdict implements caller.Router.
func (d forwardingRouter) RecordVerdict(q caller.Request, member string, v peer.Verdict) {
	d.router.RecordVerdict(q, member, v)
}

// PrimaryPosition implements caller.Router.
func (d forwardingRouter) PrimaryPosition(x context.Context, group string) (logpos.Position, error) {
	return d.router.PrimaryPosition(x, group)
}
