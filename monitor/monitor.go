// Package monitor watches a database group: it polls the members, drives the
// decisions of package failover, and lets writes wait until a majority of the
// members has them.
package monitor

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
)

// Error is the class of all failures of this package.
var Error = errs.Class("monitor")

// Timing of polls.
const (
	// pollInterval is the pause between polls of a member.
	pollInterval = 250 * time.Millisecond
	// busyInterval is that pause while writes wait for the member.
	busyInterval = time.Millisecond
	// failInterval is that pause while the member fails.
	failInterval = 100 * time.Millisecond
	// tickInterval is how often time-outs are looked at.
	tickInterval = 50 * time.Millisecond
)

// Config holds what a monitor needs.
type Config struct {
	// Group is the group at the start; Configure replaces it.
	Group *bundle.Group
	// Holder names this daemon in fences; it is unique among daemons.
	Holder string
	// WatcherIndex is this daemon's place among those that watch the group.
	WatcherIndex func() int
	// Preference tells the worth of a member as primary among equals.
	Preference func(*bundle.Group, *bundle.Member) int
	// Status asks a member for its report.
	Status func(context.Context, *bundle.Member) (failover.Status, error)
	// Control returns the control connection of a member.
	Control func(*bundle.Member) *backend.Control
	// OnPrimaryChange is told of a new primary.
	OnPrimaryChange func(group string, c failover.PrimaryChanged)
	Log             hclog.Logger
}

// Monitor watches one group. It is safe for concurrent use.
type Monitor struct {
	c Config
	g *errgroup.Group
	x context.Context

	mu    sync.Mutex
	core  *failover.Group
	group *bundle.Group
	// inFlight counts the requests that run on the primary through this daemon.
	inFlight int
	// moved is closed and replaced whenever the core has learned something.
	moved chan struct{}
	// waiters counts writes that wait for a majority.
	waiters int
	// kick is closed and replaced when the first write begins to wait.
	kick chan struct{}
}

// New returns a monitor; Run starts it.
func New(c Config) *Monitor {
	m := &Monitor{c: c, group: c.Group, core: failover.New(), moved: make(chan struct{}), kick: make(chan struct{})}
	m.place(len(c.Group.Members))
	return m
}

// place tells the core the members and this daemon's place.
func (m *Monitor) place(place int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]failover.Member, 0, len(m.group.Members))
	for i := range m.group.Members {
		b := &m.group.Members[i]
		l = append(l, failover.Member{Name: b.Name, Address: b.Address, Leaving: b.Leaving, Preference: m.c.Preference(m.group, b)})
	}
	m.core.Handle(failover.Configured{Members: l, WatcherIndex: place}, time.Now())
}

// Configure replaces the group's settings by those of a later bundle; what is
// known of members that stay, and who waits, is kept.
func (m *Monitor) Configure(b *bundle.Group) {
	m.mu.Lock()
	old := m.group
	m.group = b
	g, x := m.g, m.x
	m.mu.Unlock()
	if g == nil {
		return
	}
	for i := range b.Members {
		n := &b.Members[i]
		if o := find(old, n.Name); o == nil || o.Address != n.Address {
			g.Go(func() error { return m.poll(x, n) })
		}
	}
}

// find returns the member of a group with a name, or nil.
func find(g *bundle.Group, name string) *bundle.Member {
	for i := range g.Members {
		if g.Members[i].Name == name {
			return &g.Members[i]
		}
	}
	return nil
}

// Run polls until the context ends.
func (m *Monitor) Run(x context.Context) error {
	g, x := errgroup.WithContext(x)
	m.mu.Lock()
	m.g, m.x = g, x
	b := m.group
	m.mu.Unlock()
	for i := range b.Members {
		n := &b.Members[i]
		g.Go(func() error { return m.poll(x, n) })
	}
	g.Go(func() error { return m.tick(x) })
	err := g.Wait()
	return err
}

func (m *Monitor) tick(x context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
			m.place(m.c.WatcherIndex())
			m.handle(failover.Ticked{Jitter: rand.Float64(), InFlight: m.InFlight()})
		}
	}
}

func (m *Monitor) poll(x context.Context, b *bundle.Member) error {
	for x.Err() == nil && m.has(b) {
		s := time.Now()
		r, err := m.c.Status(x, b)
		d := pollInterval
		if err == nil {
			m.handle(failover.Reported{Member: b.Name, Status: r, Sent: s})
		} else if x.Err() == nil {
			m.c.Log.Trace("member gives no report", "group", m.c.Group.Name, "member", b.Name, "error", err)
			if !full(err) {
				m.handle(failover.PollFailed{Member: b.Name})
			}
			d = failInterval
		}
		m.pause(x, d, err == nil)
	}
	return nil
}

// codeTooMany is the SQLSTATE of a member that takes no more connections.
const codeTooMany = "53300"

// full reports whether the member has answered that it takes no more
// connections: then it is not dead.
func full(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == codeTooMany
}

// pause waits between polls; a waiting write ends it early.
func (m *Monitor) pause(x context.Context, d time.Duration, alive bool) {
	m.mu.Lock()
	busy, k := m.waiters > 0 || m.core.ReplacingPrimary(), m.kick
	m.mu.Unlock()
	if busy && alive {
		d, k = busyInterval, nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	case <-k:
	}
}

// handle feeds the core and carries out what it asks for.
func (m *Monitor) handle(e failover.Event) {
	m.mu.Lock()
	c := m.core.ReplacingPrimary()
	a := m.core.Handle(e, time.Now())
	if !c && m.core.ReplacingPrimary() {
		close(m.kick)
		m.kick = make(chan struct{})
	}
	close(m.moved)
	m.moved = make(chan struct{})
	g, x := m.g, m.x
	m.mu.Unlock()
	for _, y := range a {
		m.act(x, g, y)
	}
}

func (m *Monitor) act(x context.Context, g *errgroup.Group, a failover.Action) {
	if x == nil || x.Err() != nil {
		return
	}
	switch y := a.(type) {
	case failover.Fence:
		g.Go(func() error { return m.fence(x, y) })
	case failover.Promote:
		g.Go(func() error { return m.promote(x, y) })
	case failover.Follow:
		g.Go(func() error { return m.follow(x, y) })
	case failover.Suspected:
		m.c.Log.Warn("failover begins", "group", m.c.Group.Name, "term", y.Term, "reason", y.Reason)
	case failover.PrimaryChanged:
		m.c.Log.Info("primary placed", "group", m.c.Group.Name, "term", y.Term, "member", y.Primary,
			"confirm", y.Stages.Confirm, "fence", y.Stages.Fence, "promote", y.Stages.Promote)
		m.c.OnPrimaryChange(m.c.Group.Name, y)
	}
}

// member returns the member with a name, or nil.
func (m *Monitor) member(n string) *bundle.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return find(m.group, n)
}

// has reports whether the group still has a member at its address.
func (m *Monitor) has(b *bundle.Member) bool {
	n := m.member(b.Name)
	return n != nil && n.Address == b.Address
}

// control returns the control connection of a member. It returns *GoneError if
// the group has it no more.
func (m *Monitor) control(n string) (*backend.Control, error) {
	b := m.member(n)
	if b == nil {
		return nil, Error.Wrap(&GoneError{Member: n})
	}
	return m.c.Control(b), nil
}

// GoneError reports a member that the group has no more.
type GoneError struct {
	Member string
}

func (e *GoneError) Error() string { return "no such member: " + e.Member }

func (m *Monitor) fence(x context.Context, y failover.Fence) error {
	c, err := m.control(y.Member)
	var s failover.Status
	if err == nil {
		s, err = c.Fence(x, y.Term, m.c.Holder)
	}
	m.c.Log.Info("fence", "group", m.c.Group.Name, "member", y.Member, "term", y.Term, "position", s.Position.String(), "error", err)
	var e *pgconn.PgError
	if errors.As(err, &e) && !full(err) {
		s, _ = c.Status(x)
	}
	m.handle(failover.FenceResult{Member: y.Member, Term: y.Term, OK: err == nil, Status: s})
	return nil
}

func (m *Monitor) promote(x context.Context, y failover.Promote) error {
	c, err := m.control(y.Member)
	var s failover.Status
	if err == nil {
		s, err = c.Promote(x, y.Term, m.c.Holder)
	}
	m.c.Log.Info("promote", "group", m.c.Group.Name, "member", y.Member, "term", y.Term, "error", err)
	m.handle(failover.PromoteResult{Member: y.Member, Term: y.Term, OK: err == nil, Status: s})
	return nil
}

func (m *Monitor) follow(x context.Context, y failover.Follow) error {
	t := time.Now()
	c, err := m.control(y.Member)
	var s failover.Status
	if err == nil {
		s, err = c.Follow(x, y.Term, y.Primary)
	}
	m.c.Log.Info("follow", "group", m.c.Group.Name, "member", y.Member, "term", y.Term, "primary", y.Primary, "error", err)
	if err == nil {
		m.handle(failover.Reported{Member: y.Member, Status: s, Sent: t})
	}
	return nil
}
