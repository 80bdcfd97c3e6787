package model

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/membership"
)

// Timing of a daemon.
const (
	pollInterval   = 250 * time.Millisecond
	busyInterval   = 10 * time.Millisecond
	failInterval   = 100 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	controlTimeout = 500 * time.Millisecond
	listInterval   = 2 * time.Second
)

// Daemon is an entry host's process.
type Daemon struct {
	*Node
	host membership.Host
	// core and view are the daemon's decisions.
	core *failover.Group
	view *membership.View
	held *bundle.Signed
	// place is the daemon's place among those that watch the group, and forced
	// tells that it isn't computed.
	place  int
	forced bool
	// inFlight counts the requests that run here on the primary.
	inFlight int
	// waiters are conditions that something waits for.
	waiters []*waiter
	servers map[string]*server
	// primary is the member that the entry takes for the primary.
	primary string
	// leaving tells that the daemon takes no new callers.
	leaving bool
	// ended is when the process was killed.
	ended time.Time
	// hurried are members that are polled at once when a write waits.
	hurried map[string]bool
	// polled counts the polls of each member, so that a pause that was cut
	// short doesn't end in a second poll.
	polled map[string]int
}

// waiter is a condition; f runs once it holds.
type waiter struct {
	ok   func(*failover.Group) bool
	f    func()
	over bool
}

// spec returns the member as a bundle describes it.
func (m *Member) spec() *bundle.Member {
	return &bundle.Member{Name: m.Name, Address: m.Name, Region: m.Location.Region, FailureDomain: m.Location.Domain, Slots: slots}
}

// AddDaemon starts another entry host.
func (w *World) AddDaemon(p Place) *Daemon {
	id := "host-" + strconv.Itoa(w.hosts)
	d := &Daemon{
		Node: w.node(id, p), core: failover.New(), servers: map[string]*server{},
		host:    membership.Host{ID: id, FailureDomain: p.Domain, Region: p.Region},
		hurried: map[string]bool{}, polled: map[string]int{},
	}
	w.hosts++
	d.view = membership.New(d.host)
	w.Daemons = append(w.Daemons, d)
	d.configure()
	for _, m := range w.Members {
		d.poll(m)
	}
	d.tick()
	d.list()
	d.exchange()
	d.watch()
	d.sweep()
	return d
}

// Terminate kills the daemon for good.
func (d *Daemon) Terminate() {
	if d.alive {
		d.ended = d.w.now
		d.Kill()
	}
}

// ForceFirst makes the daemon the first to act, or no longer.
func (d *Daemon) ForceFirst(on bool) { d.forced = on }

// rank returns the daemon's place: the owner of the primary comes first, then
// the owners of the other members.
func (d *Daemon) rank() int {
	if d.forced {
		return 0
	}
	n := 1
	for _, m := range d.w.Members {
		first := m.Name == d.primary
		if d.w.Owner(d, m) == d {
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

// Drain announces that the daemon leaves.
func (d *Daemon) Drain() {
	d.leaving, d.host.Draining = true, true
	d.view.Handle(membership.DrainAnnounced{ID: d.Name}, d.w.now)
	for _, x := range d.w.Daemons {
		if x != d {
			d.w.send(d.Node, x.Node, &link{}, func() {
				x.run(x.life, func() { x.view.Handle(membership.DrainAnnounced{ID: d.Name}, d.w.now) })
			})
		}
	}
}

func (d *Daemon) configure() {
	l := make([]failover.Member, 0, len(d.w.Members))
	for _, m := range d.w.Members {
		near := 0
		if m.Location.Region == places[0].Region {
			near = 1
		}
		l = append(l, failover.Member{Name: m.Name, Address: m.Name, Preference: near, Draining: m.leaving})
	}
	d.core.Handle(failover.Configured{Members: l, WatcherIndex: d.place}, d.w.now)
}

func (d *Daemon) tick() {
	if n := d.rank(); n != d.place {
		d.place = n
		d.configure()
	}
	d.handle(failover.Ticked{Jitter: d.w.r.Float64(), InFlight: d.inFlight})
	d.after(tickInterval, d.tick)
}

// list reads the platform's list of hosts.
func (d *Daemon) list() {
	d.w.Platform.hosts(d, func(h []membership.Host) { d.view.Handle(membership.ListReceived{Hosts: h}, d.w.now) })
	d.after(listInterval, d.list)
}

// handle feeds the core, carries out what it asks for, and looks at what
// waits.
func (d *Daemon) handle(e failover.Event) {
	for _, a := range d.core.Handle(e, d.w.now) {
		d.act(a)
	}
	l := d.waiters
	d.waiters = nil
	for _, x := range l {
		switch {
		case x.over:
		case x.ok(d.core):
			x.over = true
			x.f()
		default:
			d.waiters = append(d.waiters, x)
		}
	}
}

// await runs f once ok holds.
func (d *Daemon) await(ok func(*failover.Group) bool, f func()) *waiter {
	x := &waiter{ok: ok, f: f}
	if ok(d.core) {
		x.over = true
		f()
		return x
	}
	d.waiters = append(d.waiters, x)
	for _, m := range d.w.Members {
		if d.hurried[m.Name] {
			delete(d.hurried, m.Name)
			d.poll(m)
		}
	}
	return x
}

func (d *Daemon) act(a failover.Action) {
	switch x := a.(type) {
	case failover.Fence:
		m := d.w.Member(x.Member)
		d.control(m, func() bool { return m.fence(x.Term, d.Name) }, func(s failover.Status, ok bool) {
			d.handle(failover.FenceResult{Member: x.Member, Term: x.Term, OK: ok, Status: s})
		})
	case failover.Promote:
		m := d.w.Member(x.Member)
		d.control(m, func() bool { return m.promote(x.Term, d.Name) }, func(s failover.Status, ok bool) {
			d.handle(failover.PromoteResult{Member: x.Member, Term: x.Term, OK: ok, Status: s})
		})
	case failover.Follow:
		m, t := d.w.Member(x.Member), d.w.now
		d.control(m, func() bool { return m.follow(x.Term, x.Primary) }, func(s failover.Status, ok bool) {
			if ok {
				d.handle(failover.StatusReported{Member: x.Member, Status: s, RequestedAt: t})
			}
		})
	case failover.PrimaryChanged:
		d.primary = x.Primary
	}
}
