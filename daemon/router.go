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
	// viewTimeout bounds asking an owner for its view of a group.
	viewTimeout = 700 * time.Millisecond
	// routeRetryAfter is the come-back time while no owner answers.
	routeRetryAfter = 300 * time.Millisecond
)

// router finds owners for the callers of this daemon.
type router struct {
	d *Daemon

	mu sync.Mutex
	t  *route.Table
	// floors holds the look-up of a primary's position that is to begin next
	// for each group.
	floors map[string]*floorCall
	limits limits
}

// floorCall is one look-up that several sessions wait for.
type floorCall struct {
	done chan struct{}
	p    logpos.Position
	err  error
}

func newRouter(d *Daemon) *router {
	h := d.c.Host
	return &router{d: d, t: route.New(route.Location{Region: h.Region, FailureDomain: h.FailureDomain}), floors: map[string]*floorCall{}, limits: newLimits(d.c.RegionLinkRate)}
}

// Open implements caller.Router.
func (r *router) Open(x context.Context, q caller.Request) (caller.Route, error) {
	g, ok := r.d.bundle().Group(q.Header.Group)
	if !ok {
		return caller.Route{}, Error.Wrap(&caller.RouteError{Reason: "unknown-group", RetryAfter: routeRetryAfter})
	}
	c, err := r.choose(x, g, q)
	if err != nil {
		return caller.Route{}, err
	}
	_, m, ok := r.d.bundle().Member(c.Member)
	if !ok {
		return caller.Route{}, Error.Wrap(&caller.RouteError{Reason: "unknown-member", RetryAfter: routeRetryAfter})
	}
	t, err := r.pass(q, m)
	if err != nil {
		return caller.Route{}, err
	}
	t.Stream, err = r.connect(x, m, c, q)
	if err != nil {
		r.mu.Lock()
		r.limits.end(t)
		r.mu.Unlock()
		return caller.Route{}, err
	}
	return t, nil
}

// connect opens a stream to the owner of the chosen member.
func (r *router) connect(x context.Context, m *bundle.Member, c route.Choice, q caller.Request) (*peer.Stream, error) {
	h, ok := r.d.ownerOf(m)
	if !ok {
		return nil, Error.Wrap(&caller.RouteError{Reason: "no-owner", RetryAfter: routeRetryAfter})
	}
	r.d.routed(q, c, h.ID)
	s, err := r.d.open(x, h)
	if err != nil {
		return nil, Error.Wrap(&caller.RouteError{Reason: "owner-unreachable", RetryAfter: routeRetryAfter})
	}
	q.Header.Member = m.Name
	if err := s.WriteHeader(q.Header); err != nil {
		_ = s.Close()
		return nil, Error.Wrap(&caller.RouteError{Reason: "owner-unreachable", RetryAfter: routeRetryAfter})
	}
	r.mu.Lock()
	r.t.Handle(route.Sent{Member: m.Name}, time.Now())
	r.mu.Unlock()
	return s, nil
}

// routed counts and logs a choice.
func (d *Daemon) routed(q caller.Request, c route.Choice, owner string) {
	k := bundle.Rank(q.Header.Rank).String()
	d.decisions.routed.WithLabelValues(k, string(c.Reason)).Inc()
	if d.decisions.logged() {
		d.c.Log.Debug("statement routed", "group", q.Header.Group, "member", c.Member, "owner", owner, "rank", k,
			"kind", q.Header.Kind, "reason", c.Reason, "floor", q.Header.Floor.String(), "tolerance", q.Header.Tolerance)
	}
}

func (r *router) choose(x context.Context, g *bundle.Group, q caller.Request) (route.Choice, error) {
	if q.Header.Kind == peer.KindRead && !q.Primary {
		r.mu.Lock()
		c, ok := r.t.Read(g, demand(q), q.Tried, time.Now())
		r.mu.Unlock()
		if ok {
			return c, nil
		}
		if q.Spilled {
			return route.Choice{}, Error.Wrap(&caller.RouteError{Reason: reasonOverloaded, RetryAfter: routeRetryAfter})
		}
	}
	p, err := r.primary(x, g, len(q.Tried) > 0)
	if err != nil {
		return route.Choice{}, err
	}
	why := route.ForWrite
	if q.Header.Kind == peer.KindRead {
		why = route.PrimaryForRead
	}
	return route.Choice{Member: p, Reason: why}, nil
}

// primary returns the group's primary; it asks the owners of the members if it
// knows none, or if fresh is set.
func (r *router) primary(x context.Context, g *bundle.Group, fresh bool) (string, error) {
	if !fresh {
		r.mu.Lock()
		p, ok := r.t.Primary(g.Name)
		r.mu.Unlock()
		if ok {
			return p, nil
		}
	}
	for i := range g.Members {
		v, err := r.d.askView(x, g, &g.Members[i])
		if err != nil {
			continue
		}
		r.learn(g.Name, v)
		if v.Primary != "" && v.Confirmed {
			return v.Primary, nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.t.Primary(g.Name); ok {
		return p, nil
	}
	return "", Error.Wrap(&caller.RouteError{Reason: "no-primary", RetryAfter: routeRetryAfter})
}

func (r *router) knownPrimary(group string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.t.Primary(group)
}

func (r *router) learn(group string, v failover.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Handle(route.ViewUpdated{Group: group, View: v}, time.Now())
}

// Ended implements caller.Router.
func (r *router) Ended(t caller.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.end(t)
	r.t.Handle(route.Ended{Member: t.Member}, time.Now())
}

// Learn implements caller.Router.
func (r *router) Learn(q caller.Request, member string, v peer.Verdict) {
	if v.View != nil {
		r.learn(q.Header.Group, *v.View)
	}
	if v.Left != "" {
		r.d.heardLeave(v.Left)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Outcome == peer.Moved {
		r.t.Handle(route.Declined{Member: member, Requirement: demand(q)}, time.Now())
	}
	r.limits.learn(q, member, v)
}

// demand returns how fresh the data of a read must be.
func demand(q caller.Request) route.Requirement {
	return route.Requirement{Floor: q.Header.Floor, Tolerance: q.Header.Tolerance, AgeOnly: q.Header.AgeOnly, OwnWrites: q.Header.OwnWrites}
}

// Floor implements caller.Router. Sessions that ask while a look-up runs share
// the next one, so that each gets a position that is not older than its
// question.
func (r *router) Floor(x context.Context, group string) (logpos.Position, error) {
	r.mu.Lock()
	c, ok := r.floors[group]
	if !ok {
		c = &floorCall{done: make(chan struct{})}
		r.floors[group] = c
		r.d.start(func() error {
			r.lookUp(group, c)
			return nil
		})
	}
	r.mu.Unlock()
	select {
	case <-c.done:
		return c.p, c.err
	case <-x.Done():
		return logpos.Position{}, Error.Wrap(x.Err())
	}
}

func (r *router) lookUp(group string, c *floorCall) {
	defer close(c.done)
	x, stop := context.WithTimeout(r.d.ctx, 2*viewTimeout)
	defer stop()
	r.mu.Lock()
	delete(r.floors, group)
	r.mu.Unlock()
	g, ok := r.d.bundle().Group(group)
	if !ok {
		c.err = Error.Wrap(&caller.RouteError{Reason: "unknown-group"})
		return
	}
	for fresh := range 2 {
		p, err := r.primary(x, g, fresh == 1)
		if err != nil {
			c.err = err
			return
		}
		_, m, ok := r.d.bundle().Member(p)
		if !ok {
			c.err = Error.Wrap(&caller.RouteError{Reason: "unknown-member", RetryAfter: routeRetryAfter})
			continue
		}
		if c.p, c.err = r.d.askPosition(x, g, m); c.err == nil {
			return
		}
	}
}

// open opens a stream to an owner, which may be this daemon.
func (d *Daemon) open(x context.Context, h membership.Host) (*peer.Stream, error) {
	if h.ID != d.c.Host.ID {
		return d.node.Open(x, h)
	}
	a, b := net.Pipe()
	d.start(func() error {
		d.owner.Serve(d.ctx, peer.NewStream(b))
		return nil
	})
	return peer.NewStream(a), nil
}

// Open implements caller.Router.
func (d routerOf) Open(x context.Context, q caller.Request) (caller.Route, error) {
	return d.router.Open(x, q)
}

// Ended implements caller.Router.
func (d routerOf) Ended(t caller.Route) { d.router.Ended(t) }

// Learn implements caller.Router.
func (d routerOf) Learn(q caller.Request, member string, v peer.Verdict) {
	d.router.Learn(q, member, v)
}

// Floor implements caller.Router.
func (d routerOf) Floor(x context.Context, group string) (logpos.Position, error) {
	return d.router.Floor(x, group)
}
