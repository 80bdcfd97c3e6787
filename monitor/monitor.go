// Package monitor watches a database group: it polls the members, passes their
// reports to package failover and performs the actions that it returns, and
// makes writes wait until a majority of the members has them.
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
	// pollInterval is the delay between polls of a member.
	pollInterval = 250 * time.Millisecond
	// busyPollInterval is the delay between polls while requests wait for a
	// report, or the primary is being replaced.
	busyPollInterval = time.Millisecond
	// failedPollInterval is the delay after a failed poll.
	failedPollInterval = 100 * time.Millisecond
	// tickInterval is how often timeouts are checked.
	tickInterval = 50 * time.Millisecond
)

// Config is the configuration of a monitor.
type Config struct {
	// Group is the initial group; Configure replaces it.
	Group *bundle.Group
	// Holder identifies this monitor in fence and promote requests; it is unique
	// among all monitors.
	Holder string
	// WatcherIndex returns this daemon's index among those that watch the group, as in
	// failover.Configured.
	WatcherIndex func() int
	// Preference returns a member's preference as primary, as in failover.Member.
	Preference func(*bundle.Group, *bundle.Member) int
	// RequestStatus requests a member's status.
	RequestStatus func(context.Context, *bundle.Member) (failover.Status, error)
	// Control returns the control connection of a member.
	Control func(*bundle.Member) *backend.Control
	// OnPrimaryChange is called when the group has a primary in a new term.
	OnPrimaryChange func(group string, c failover.PrimaryChanged)
	Log             hclog.Logger
}

// Monitor watches one group. It is safe for concurrent use.
type Monitor struct {
	config Config
	// tasks and ctx are set by Run.
	tasks *errgroup.Group
	ctx   context.Context

	mu sync.Mutex
	// failover decides when the primary is replaced, and by which member.
	failover *failover.Group
	group    *bundle.Group
	// inFlight counts the requests that run on the primary through this daemon.
	inFlight int
	// eventHandled is closed and replaced after each event that failover has handled.
	eventHandled chan struct{}
	// waiters counts the running calls of AwaitDurable and AwaitReports, which wait for
	// reports.
	waiters int
	// wakePolls is closed and replaced to start the next poll of every member
	// without delay.
	wakePolls chan struct{}
}

// New returns a monitor; Run starts it.
func New(c Config) *Monitor {
	m := &Monitor{config: c, group: c.Group, failover: failover.New(), eventHandled: make(chan struct{}), wakePolls: make(chan struct{})}
	m.configureFailover(len(c.Group.Members))
	return m
}

// configureFailover passes the members and this daemon's index to failover.
func (m *Monitor) configureFailover(watcherIndex int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := make([]failover.Member, 0, len(m.group.Members))
	for i := range m.group.Members {
		b := &m.group.Members[i]
		l = append(l, failover.Member{Name: b.Name, Address: b.Address, Draining: b.Draining, Preference: m.config.Preference(m.group, b)})
	}
	m.failover.Handle(failover.Configured{Members: l, WatcherIndex: watcherIndex}, time.Now())
}

// Configure replaces the group's settings with those of a later bundle. The reports
// of members that stay, and the waiting requests, are kept.
func (m *Monitor) Configure(b *bundle.Group) {
	m.mu.Lock()
	old := m.group
	m.group = b
	g, x := m.tasks, m.ctx
	m.mu.Unlock()
	if g == nil {
		return
	}
	for i := range b.Members {
		n := &b.Members[i]
		if o := findMember(old, n.Name); o == nil || o.Address != n.Address {
			g.Go(func() error { return m.pollMember(x, n) })
		}
	}
}

// findMember returns the member of a group with the given name, or nil.
func findMember(g *bundle.Group, name string) *bundle.Member {
	for i := range g.Members {
		if g.Members[i].Name == name {
			return &g.Members[i]
		}
	}
	return nil
}

// Run polls the members until the context ends.
func (m *Monitor) Run(x context.Context) error {
	g, x := errgroup.WithContext(x)
	m.mu.Lock()
	m.tasks, m.ctx = g, x
	b := m.group
	m.mu.Unlock()
	for i := range b.Members {
		n := &b.Members[i]
		g.Go(func() error { return m.pollMember(x, n) })
	}
	g.Go(func() error { return m.runTicks(x) })
	err := g.Wait()
	return err
}

// runTicks passes the time and this daemon's index to failover until the context ends.
func (m *Monitor) runTicks(x context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
			m.configureFailover(m.config.WatcherIndex())
			m.handleEvent(failover.Ticked{Jitter: rand.Float64(), InFlight: m.InFlight()})
		}
	}
}

// pollMember polls one member until it is removed from the group or moved to another
// address.
func (m *Monitor) pollMember(x context.Context, b *bundle.Member) error {
	for x.Err() == nil && m.hasMember(b) {
		s := time.Now()
		r, err := m.config.RequestStatus(x, b)
		d := pollInterval
		if err == nil {
			m.handleEvent(failover.StatusReported{Member: b.Name, Status: r, RequestedAt: s})
		} else if x.Err() == nil {
			m.config.Log.Trace("member poll failed", "group", m.config.Group.Name, "member", b.Name, "error", err)
			if !isTooManyConnections(err) {
				m.handleEvent(failover.PollFailed{Member: b.Name})
			}
			d = failedPollInterval
		}
		m.waitForPoll(x, d, err == nil)
	}
	return nil
}

// codeTooManyConnections is the SQLSTATE of a member that accepts no more
// connections.
const codeTooManyConnections = "53300"

// isTooManyConnections reports whether the member has answered that it accepts
// no more connections. Such a member is alive, so its poll doesn't count as
// failed.
func isTooManyConnections(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == codeTooManyConnections
}

// waitForPoll waits for d between two polls of a member, or until wakePolls is closed.
// While requests wait or the primary is being replaced, it waits only for
// busyPollInterval, unless the last poll failed.
func (m *Monitor) waitForPoll(x context.Context, d time.Duration, lastPollOK bool) {
	m.mu.Lock()
	busy, k := m.waiters > 0 || m.failover.ReplacingPrimary(), m.wakePolls
	m.mu.Unlock()
	if busy && lastPollOK {
		d, k = busyPollInterval, nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	case <-k:
	}
}

// handleEvent passes an event to failover and performs the actions that it returns.
func (m *Monitor) handleEvent(e failover.Event) {
	m.mu.Lock()
	c := m.failover.ReplacingPrimary()
	a := m.failover.Handle(e, time.Now())
	if !c && m.failover.ReplacingPrimary() {
		close(m.wakePolls)
		m.wakePolls = make(chan struct{})
	}
	close(m.eventHandled)
	m.eventHandled = make(chan struct{})
	g, x := m.tasks, m.ctx
	m.mu.Unlock()
	for _, y := range a {
		m.performAction(x, g, y)
	}
}

func (m *Monitor) performAction(x context.Context, g *errgroup.Group, a failover.Action) {
	if x == nil || x.Err() != nil {
		return
	}
	switch y := a.(type) {
	case failover.Fence:
		g.Go(func() error { return m.requestFence(x, y) })
	case failover.Promote:
		g.Go(func() error { return m.requestPromotion(x, y) })
	case failover.Follow:
		g.Go(func() error { return m.requestFollow(x, y) })
	case failover.ReplacementStarted:
		m.config.Log.Warn("primary replacement started", "group", m.config.Group.Name, "term", y.Term, "reason", y.Reason)
	case failover.PrimaryChanged:
		m.config.Log.Info("primary placed", "group", m.config.Group.Name, "term", y.Term, "member", y.Primary,
			"confirm", y.Stages.Confirm, "fence", y.Stages.Fence, "promote", y.Stages.Promote)
		m.config.OnPrimaryChange(m.config.Group.Name, y)
	}
}

// member returns the member with the given name, or nil.
func (m *Monitor) member(n string) *bundle.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return findMember(m.group, n)
}

// hasMember reports whether the group still has the member at its address.
func (m *Monitor) hasMember(b *bundle.Member) bool {
	n := m.member(b.Name)
	return n != nil && n.Address == b.Address
}

// control returns the control connection of a member, or *MemberRemovedError if
// the member is no longer in the group.
func (m *Monitor) control(n string) (*backend.Control, error) {
	b := m.member(n)
	if b == nil {
		return nil, Error.Wrap(&MemberRemovedError{Member: n})
	}
	return m.config.Control(b), nil
}

// MemberRemovedError reports a member that is no longer in the group.
type MemberRemovedError struct {
	Member string
}

func (e *MemberRemovedError) Error() string { return "member is no longer in the group: " + e.Member }

// requestFence requests a fence. After a refusal it requests the member's status, which
// shows the term that the member has accepted.
func (m *Monitor) requestFence(x context.Context, y failover.Fence) error {
	c, err := m.control(y.Member)
	var s failover.Status
	if err == nil {
		s, err = c.Fence(x, y.Term, m.config.Holder)
	}
	m.config.Log.Info("fence request finished", "group", m.config.Group.Name, "member", y.Member, "term", y.Term, "position", s.Position.String(), "error", err)
	var e *pgconn.PgError
	if errors.As(err, &e) && !isTooManyConnections(err) {
		s, _ = c.Status(x)
	}
	m.handleEvent(failover.FenceResult{Member: y.Member, Term: y.Term, OK: err == nil, Status: s})
	return nil
}

func (m *Monitor) requestPromotion(x context.Context, y failover.Promote) error {
	c, err := m.control(y.Member)
	var s failover.Status
	if err == nil {
		s, err = c.Promote(x, y.Term, m.config.Holder)
	}
	m.config.Log.Info("promote request finished", "group", m.config.Group.Name, "member", y.Member, "term", y.Term, "error", err)
	m.handleEvent(failover.PromoteResult{Member: y.Member, Term: y.Term, OK: err == nil, Status: s})
	return nil
}

func (m *Monitor) requestFollow(x context.Context, y failover.Follow) error {
	t := time.Now()
	c, err := m.control(y.Member)
	var s failover.Status
	if err == nil {
		s, err = c.Follow(x, y.Term, y.Primary)
	}
	m.config.Log.Info("follow request finished", "group", m.config.Group.Name, "member", y.Member, "term", y.Term, "primary", y.Primary, "error", err)
	if err == nil {
		m.handleEvent(failover.StatusReported{Member: y.Member, Status: s, RequestedAt: t})
	}
	return nil
}
