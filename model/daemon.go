package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/drain"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/membership"
)

// Timing of a daemon.
const (
	pollInterval = 250 * time.Millisecond
	// waitingPollInterval is the interval of polls while a request waits.
	waitingPollInterval = 10 * time.Millisecond
	// failedPollInterval is the interval of polls of a member that gives no
	// answer.
	failedPollInterval   = 100 * time.Millisecond
	tickInterval         = 50 * time.Millisecond
	controlTimeout       = 500 * time.Millisecond
	hostListPollInterval = 2 * time.Second
)

// Daemon is the daemon process of a host in a World.
type Daemon struct {
	*Node
	host membership.Host
	// group decides on failovers, view on hosts and owners.
	group *failover.Group
	view  *membership.View
	// bundle is the bundle in force; nil if there is none.
	bundle *bundle.Signed
	// watcherIndex is the daemon's index among the daemons that watch the
	// group; forcedFirstWatcher means that it is 0 whoever owns the members.
	watcherIndex       int
	forcedFirstWatcher bool
	// inFlight counts the requests that run on the primary through this daemon.
	inFlight int
	// waiters are the requests that wait for a condition.
	waiters []*waiter
	servers map[string]*server
	// knownPrimary is the name of the last known primary.
	knownPrimary string
	// drains holds the members that are to be taken out of service. configured is set once
	// the members were configured.
	drains     *drain.Notices
	configured bool
	// draining means that the daemon takes no new callers.
	draining bool
	// endedAt is when the process was killed.
	endedAt time.Time
	// earlyPoll marks the members that are polled at once when a request begins
	// to wait.
	earlyPoll map[string]bool
	// pollCount counts the polls of each member, so that an early poll replaces
	// the scheduled one.
	pollCount map[string]int
}

// waiter calls run once its condition holds.
type waiter struct {
	condition func(*failover.Group) bool
	run       func()
	done      bool
}

// bundleMember returns the member as a bundle describes it.
func (m *Member) bundleMember() *bundle.Member {
	return &bundle.Member{Name: m.Name, Address: m.Name, Region: m.Location.Region, FailureDomain: m.Location.FailureDomain, Slots: slotsPerMember}
}

// StartDaemon starts the daemon of a new host.
func (w *World) StartDaemon(p Location) *Daemon {
	id := "host-" + strconv.Itoa(w.daemonsStarted)
	d := &Daemon{
		Node: w.newNode(id, p), group: failover.New(), servers: map[string]*server{}, drains: drain.New(newWorkTime),
		host:      membership.Host{ID: id, FailureDomain: p.FailureDomain, Region: p.Region},
		earlyPoll: map[string]bool{}, pollCount: map[string]int{},
	}
	w.daemonsStarted++
	d.view = membership.New(d.host)
	w.Daemons = append(w.Daemons, d)
	d.configureGroup()
	for _, m := range w.Members {
		d.pollMember(m)
	}
	d.tick()
	d.pollHostList()
	d.exchangeBundles()
	d.watchBundle()
	d.checkIdleConnections()
	return d
}

// Terminate kills the daemon; its process isn't started again.
func (d *Daemon) Terminate() {
	if d.alive {
		d.endedAt = d.world.now
		d.Kill()
	}
}

// ForceFirstWatcher sets whether the daemon is the first to replace the
// primary, whoever owns the members.
func (d *Daemon) ForceFirstWatcher(on bool) { d.forcedFirstWatcher = on }

// computeWatcherIndex returns the daemon's index among those that watch the
// group: the owner of the primary comes first, then the owners of the other
// members.
func (d *Daemon) computeWatcherIndex() int {
	if d.forcedFirstWatcher {
		return 0
	}
	n := 1
	for _, m := range d.world.Members {
		first := m.Name == d.knownPrimary
		if d.world.Owner(d, m) == d {
			if first {
				return 0
			}
			return n
		}
		if !first {
			n++
		}
	}
	return n
}

// Drain announces to all daemons that this one drains.
func (d *Daemon) Drain() {
	d.draining, d.host.Draining = true, true
	d.view.Handle(membership.DrainAnnounced{ID: d.Name}, d.world.now)
	for _, x := range d.world.Daemons {
		if x != d {
			d.world.sendMessage(d.Node, x.Node, &connection{}, func() {
				x.runInIncarnation(x.incarnation, func() { x.view.Handle(membership.DrainAnnounced{ID: d.Name}, d.world.now) })
			})
		}
	}
}

// configureGroup passes the members and the watcher index to the group.
func (d *Daemon) configureGroup() {
	l := make([]failover.Member, 0, len(d.world.Members))
	for _, m := range d.world.Members {
		preference := 0
		if m.Location.Region == locations[0].Region {
			preference = 1
		}
		l = append(l, failover.Member{Name: m.Name, Address: m.Name, Preference: preference, Draining: m.draining})
		d.drains.Observe(drain.Observed{Server: m.Name, Draining: m.draining, Known: d.configured, After: d.world.now}, d.world.now)
	}
	d.configured = true
	d.group.Handle(failover.Configured{Members: l, WatcherIndex: d.watcherIndex}, d.world.now)
}

func (d *Daemon) tick() {
	if n := d.computeWatcherIndex(); n != d.watcherIndex {
		d.watcherIndex = n
		d.configureGroup()
	}
	d.handleFailoverEvent(failover.Ticked{Jitter: d.world.random.Float64(), InFlight: d.inFlight})
	d.after(tickInterval, d.tick)
}

// pollHostList reads the platform's list of hosts every hostListPollInterval.
func (d *Daemon) pollHostList() {
	d.world.Platform.readHostList(d, func(h []membership.Host) { d.view.Handle(membership.ListReceived{Hosts: h}, d.world.now) })
	d.after(hostListPollInterval, d.pollHostList)
}

// handleFailoverEvent passes an event to the group, performs the actions that
// it returns, and runs the waiters whose condition holds now.
func (d *Daemon) handleFailoverEvent(e failover.Event) {
	for _, a := range d.group.Handle(e, d.world.now) {
		d.performAction(a)
	}
	l := d.waiters
	d.waiters = nil
	for _, x := range l {
		switch {
		case x.done:
		case x.condition(d.group):
			x.done = true
			x.run()
		default:
			d.waiters = append(d.waiters, x)
		}
	}
}

// runWhen runs f once the condition holds. If it doesn't hold yet, the members
// that earlyPoll marks are polled at once.
func (d *Daemon) runWhen(condition func(*failover.Group) bool, f func()) *waiter {
	x := &waiter{condition: condition, run: f}
	if condition(d.group) {
		x.done = true
		f()
		return x
	}
	d.waiters = append(d.waiters, x)
	for _, m := range d.world.Members {
		if d.earlyPoll[m.Name] {
			delete(d.earlyPoll, m.Name)
			d.pollMember(m)
		}
	}
	return x
}

func (d *Daemon) performAction(a failover.Action) {
	switch x := a.(type) {
	case failover.Fence:
		m := d.world.Member(x.Member)
		d.controlMember(m, func() bool { return m.fence(x.Term, d.Name) }, func(s failover.Status, ok bool) {
			d.handleFailoverEvent(failover.FenceResult{Member: x.Member, Term: x.Term, OK: ok, Status: s})
		})
	case failover.Promote:
		m := d.world.Member(x.Member)
		d.controlMember(m, func() bool { return m.promote(x.Term, d.Name) }, func(s failover.Status, ok bool) {
			d.handleFailoverEvent(failover.PromoteResult{Member: x.Member, Term: x.Term, OK: ok, Status: s})
		})
	case failover.Follow:
		m, t := d.world.Member(x.Member), d.world.now
		d.controlMember(m, func() bool { return m.follow(x.Term, x.Primary) }, func(s failover.Status, ok bool) {
			if ok {
				d.handleFailoverEvent(failover.StatusReported{Member: x.Member, Status: s, RequestedAt: t})
			}
		})
	case failover.PrimaryChanged:
		d.knownPrimary = x.Primary
	}
}
