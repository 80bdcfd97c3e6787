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

// groupWatch is the running monitor of a group.
type groupWatch struct {
	monitor    *monitor.Monitor
	group      *bundle.Group
	stop       context.CancelFunc
	lastNeeded time.Time
}

// watchGroup returns the monitor of a group, started if needed; nil if the
// bundle in force doesn't have the group.
func (d *Daemon) watchGroup(group string) *monitor.Monitor {
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
	w, ok := d.groupWatches[group]
	if !ok {
		return d.startWatch(g)
	}
	w.lastNeeded = time.Now()
	if !reflect.DeepEqual(w.group, g) {
		w.group = g
		w.monitor.Configure(g)
	}
	return w.monitor
}

// startWatch starts the monitor of a group; d.mu must be held.
func (d *Daemon) startWatch(g *bundle.Group) *monitor.Monitor {
	m := monitor.New(monitor.Config{
		Group: g, Holder: newHolderID(d.config.Host.ID), Log: d.config.Log.Named("monitor"),
		WatcherIndex:    func() int { return d.watcherIndex(d.currentGroup(g)) },
		Preference:      sameRegionCount,
		RequestStatus:   func(x context.Context, m *bundle.Member) (failover.Status, error) { return d.queryStatus(x, g, m) },
		Control:         func(m *bundle.Member) *backend.Control { return d.controlConnection(g, m) },
		OnPrimaryChange: func(group string, c failover.PrimaryChanged) { d.handlePrimaryChange(group, c) },
	})
	x, stop := context.WithCancel(d.ctx)
	d.groupWatches[g.Name] = &groupWatch{monitor: m, group: g, stop: stop, lastNeeded: time.Now()}
	d.startTask(func() error { return m.Run(x) })
	d.startTask(func() error {
		d.restorePrimary(x, g.Name)
		return nil
	})
	return m
}

// newHolderID returns an ID for one monitor in fences. It is unique also among
// monitors of one host and across restarts: a delayed promotion from an earlier
// monitor must not match the fence of a later one.
func newHolderID(host string) string { return host + "#" + strconv.FormatUint(rand.Uint64(), 36) }

// currentGroup returns the group from the bundle in force, or g if it is no
// longer there.
func (d *Daemon) currentGroup(g *bundle.Group) *bundle.Group {
	if n, ok := d.bundle().Group(g.Name); ok {
		return n
	}
	return g
}

// sameRegionCount counts the other members in a member's region. A primary with
// more of them more often reaches a majority without the link between regions.
func sameRegionCount(g *bundle.Group, m *bundle.Member) int {
	n := 0
	for i := range g.Members {
		if g.Members[i].Name != m.Name && g.Members[i].Region == m.Region {
			n++
		}
	}
	return n
}

// watcherIndex returns this daemon's index among those that watch the group:
// the owner of the primary comes first, then the owners of the other members.
func (d *Daemon) watcherIndex(g *bundle.Group) int {
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
		if h, ok := d.ownerOf(m); ok && h.ID == d.config.Host.ID {
			return i
		}
	}
	return len(l)
}

// handlePrimaryChange applies a new primary of a group; if this daemon promoted
// it, also publishes it and notifies the other owners.
func (d *Daemon) handlePrimaryChange(group string, c failover.PrimaryChanged) {
	d.router.observeView(group, failover.View{Term: c.Term, Primary: c.Primary})
	d.owner.PrimaryReplaced(group, c.Primary)
	d.publishPrimary(group, c)
	if c.Stages != (failover.Stages{}) {
		d.notifyGroupChanged(group)
	}
}

// reconcileWatches watches the groups of which this daemon owns a member, and
// drops watches that are no longer needed. The owned groups are computed again
// only when the hosts or the bundle have changed.
func (d *Daemon) reconcileWatches(x context.Context) error {
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
		c, w := d.bundle(), d.hostViewGeneration()
		if c == nil {
			continue
		}
		if c != b || w != v {
			b, v, owned = c, w, d.ownedGroups(c)
		}
		for _, n := range owned {
			d.watchGroup(n)
		}
		d.dropIdleWatches()
	}
}

// hostViewGeneration returns a number that changes with the view of the hosts.
func (d *Daemon) hostViewGeneration() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hostView.Generation(time.Now())
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
	return ok && h.ID == d.config.Host.ID
}

// dropIdleWatches stops the monitors of groups that are no longer needed and
// have no requests in flight.
func (d *Daemon) dropIdleWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, w := range d.groupWatches {
		if time.Since(w.lastNeeded) > watchIdleTimeout && w.monitor.InFlight() == 0 {
			w.stop()
			delete(d.groupWatches, n)
		}
	}
}
