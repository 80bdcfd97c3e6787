package daemon

import (
	"context"
	"math/rand/v2"
	"reflect"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/monitor"
)

// watch is a running monitor.
type watch struct {
	m      *monitor.Monitor
	g      *bundle.Group
	stop   context.CancelFunc
	needed time.Time
}

// watch returns the monitor of a group, started if needed; nil if the bundle
// in force doesn't have the group.
func (d *Daemon) watch(group string) *monitor.Monitor {
	b := d.bundle()
	if b == nil {
		return nil
	}
	g, ok := b.Group(group)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.watches[group]
	if !ok {
		return d.startWatch(g)
	}
	w.needed = time.Now()
	if !reflect.DeepEqual(w.g, g) {
		w.g = g
		w.m.Configure(g)
	}
	return w.m
}

// startWatch starts a monitor; d.mu is held.
func (d *Daemon) startWatch(g *bundle.Group) *monitor.Monitor {
	m := monitor.New(monitor.Config{
		Group: g, Holder: holder(d.c.Host.ID), Log: d.c.Log.Named("monitor"),
		WatcherIndex:    func() int { return d.place(d.groupNow(g)) },
		Preference:      near,
		Status:          func(x context.Context, m *bundle.Member) (failover.Status, error) { return d.askStatus(x, g, m) },
		Control:         func(m *bundle.Member) *backend.Control { return d.control(g, m) },
		OnPrimaryChange: func(group string, c failover.PrimaryChanged) { d.groupChanged(group, c) },
	})
	x, stop := context.WithCancel(d.ctx)
	d.watches[g.Name] = &watch{m: m, g: g, stop: stop, needed: time.Now()}
	d.start(func() error { return m.Run(x) })
	d.start(func() error {
		d.recall(x, g.Name)
		return nil
	})
	return m
}

// holder names one monitor in fences. No two have the same name, also of one
// host and after a restart: a promotion that an earlier one has sent and that
// comes late must not meet the fence of a later one.
func holder(id string) string { return id + "#" + strconv.FormatUint(rand.Uint64(), 36) }

// groupNow returns a group as the bundle in force has it.
func (d *Daemon) groupNow(g *bundle.Group) *bundle.Group {
	if n, ok := d.bundle().Group(g.Name); ok {
		return n
	}
	return g
}

// near counts the other members in a member's region, so that a write on the
// member reaches a majority without the region link where it can.
func near(g *bundle.Group, m *bundle.Member) int {
	n := 0
	for i := range g.Members {
		if g.Members[i].Name != m.Name && g.Members[i].Region == m.Region {
			n++
		}
	}
	return n
}

// place returns this daemon's place among the group's watchers: the owner of
// the primary comes first, then the owners of the other members.
func (d *Daemon) place(g *bundle.Group) int {
	p, _ := d.router.knownPrimary(g.Name)
	l := make([]*bundle.Member, 0, len(g.Members))
	for i := range g.Members {
		if g.Members[i].Name == p {
			l = append([]*bundle.Member{&g.Members[i]}, l...)
		} else {
			l = append(l, &g.Members[i])
		}
	}
	for i, m := range l {
		if h, ok := d.ownerOf(m); ok && h.ID == d.c.Host.ID {
			return i
		}
	}
	return len(l)
}

func (d *Daemon) groupChanged(group string, c failover.PrimaryChanged) {
	d.router.learn(group, failover.View{Term: c.Term, Primary: c.Primary})
	d.owner.PrimaryReplaced(group, c.Primary)
	d.record(group, c)
	if c.Stages != (failover.Stages{}) {
		d.publish(group)
	}
}

// reconcile watches the groups of which this daemon owns a member. The owned
// groups are computed anew only when the hosts or the bundle have changed.
func (d *Daemon) reconcile(x context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	var b *bundle.Bundle
	var v uint64
	var owned []string
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		c, w := d.bundle(), d.generation()
		if c == nil {
			continue
		}
		if c != b || w != v {
			b, v, owned = c, w, d.ownedGroups(c)
		}
		for _, n := range owned {
			d.watch(n)
		}
		d.dropWatches()
	}
}

func (d *Daemon) generation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Generation(time.Now())
}

func (d *Daemon) ownedGroups(b *bundle.Bundle) []string {
	var o []string
	for i := range b.Groups {
		if d.ownsAny(&b.Groups[i]) {
			o = append(o, b.Groups[i].Name)
		}
	}
	return o
}

func (d *Daemon) ownsAny(g *bundle.Group) bool {
	for i := range g.Members {
		if d.owns(&g.Members[i]) {
			return true
		}
	}
	return false
}

func (d *Daemon) owns(m *bundle.Member) bool {
	h, ok := d.ownerOf(m)
	return ok && h.ID == d.c.Host.ID
}

func (d *Daemon) dropWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, w := range d.watches {
		if time.Since(w.needed) > watchLinger && w.m.InFlight() == 0 {
			w.stop()
			delete(d.watches, n)
		}
	}
}
