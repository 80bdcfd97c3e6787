// Package daemon puts the parts of one proxy process together and runs them.
package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/operator"
	"github.com/dragonflypick/dragonflypick/owner"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/platform"
	"github.com/dragonflypick/dragonflypick/rollout"
)

// Error is the class of all failures of this package.
var Error = errs.Class("daemon")

// Timing of the daemon's own work.
const (
	// reconcileInterval is how often the watched groups are reconsidered.
	reconcileInterval = 250 * time.Millisecond
	// watchLinger is how long a group that isn't needed stays watched.
	watchLinger = 10 * time.Second
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 500 * time.Millisecond
)

// Config holds a daemon's settings.
type Config struct {
	// Host describes this host; PeerAddress is filled in.
	Host membership.Host
	// CallerListen, PeerListen and AdminListen are IP addresses with ports.
	CallerListen string
	PeerListen   string
	AdminListen  string
	// PeerAdvertise is the address that other daemons are told; empty for that
	// of PeerListen.
	PeerAdvertise string
	// Platform is the address of the platform's service.
	Platform string
	// Seeds are peer addresses to ask while the platform doesn't answer.
	Seeds []string
	// Trust holds the keys whose signatures on bundles count.
	Trust bundle.Trust
	// Secret is shared by all daemons.
	Secret string
	// BackendUser and BackendPassword are for backend servers.
	BackendUser     string
	BackendPassword string
	// DrainTime bounds the drain.
	DrainTime time.Duration
	// TLS is offered to callers; nil for none.
	TLS *tls.Config
	// AcknowledgeAtCommit is as in owner.Config; it is only for measurements.
	AcknowledgeAtCommit bool
	// RegionLink is this host's part of the link between regions in bytes a
	// second, zero for DefaultRegionLink.
	RegionLink float64
	// LogEvery is N if one in N routing decisions is logged; zero logs all.
	LogEvery uint64
	Log      hclog.Logger
}

// Daemon is one proxy process.
type Daemon struct {
	c         Config
	platform  *platform.Client
	node      *peer.Node
	callers   *caller.Server
	admin     *operator.Server
	owner     *owner.Owner
	router    *router
	decisions *decisions
	// group runs short work; ctx ends with the daemon.
	group *errgroup.Group
	ctx   context.Context
	// working guards ended, which tells that group is waited for.
	working sync.Mutex
	ended   bool

	mu     sync.Mutex
	held   *bundle.Signed
	view   *membership.View
	roster *rollout.Roster
	// watcher is the time of the last sign of a watcher of the platform.
	watcher  time.Time
	watches  map[string]*watch
	controls map[string]*backend.Control

	// fetching is held while a bundle or a host list is fetched from a peer.
	fetching sync.Mutex
	// news holds a token while the neighbours are to be told something.
	news chan struct{}
}

// watch is a running monitor.
type watch struct {
	m      *monitor.Monitor
	g      *bundle.Group
	stop   context.CancelFunc
	needed time.Time
}

// New returns a daemon with open listening sockets.
func New(c Config) (*Daemon, error) {
	d := &Daemon{
		c: c, platform: platform.New(platform.Config{Address: c.Platform}),
		watches: map[string]*watch{}, controls: map[string]*backend.Control{},
		roster: rollout.NewRoster(), watcher: time.Now(), news: make(chan struct{}, 1),
		group: &errgroup.Group{}, ctx: context.Background(),
	}
	d.owner = owner.New(owner.Config{
		Host: c.Host.ID, Bundle: d.bundle, Monitor: d.watch, User: c.BackendUser, Password: c.BackendPassword, Log: c.Log.Named("owner"),
		AcknowledgeAtCommit: c.AcknowledgeAtCommit,
	})
	d.decisions = newDecisions(c.LogEvery)
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.view = membership.New(d.c.Host)
	d.router = newRouter(d)
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	d.node, err = peer.New(peer.Config{
		Listen: d.c.PeerListen, Secret: d.c.Secret, Self: d.c.Host, Log: d.c.Log.Named("peer"), Handle: d.handle,
		Serve: func(x context.Context, s *peer.Stream) { d.owner.Serve(x, s) },
		Lost:  func(id string) { d.noteMember(membership.Lost{ID: id}) },
		Seen:  func(id string) { d.noteMember(membership.Seen{ID: id}) },
		Met:   func(h membership.Host) { d.noteMember(membership.Met{Host: h, Direct: true}) },
	})
	if err != nil {
		return err
	}
	d.c.Host.PeerAddress = d.c.PeerAdvertise
	if d.c.Host.PeerAddress == "" {
		d.c.Host.PeerAddress = d.node.Address()
	}
	d.node.SetSelf(d.c.Host)
	d.callers, err = caller.New(caller.Config{
		Listen: d.c.CallerListen, TLS: d.c.TLS, Bundle: d.bundle, Router: routerOf{d}, Log: d.c.Log.Named("caller"),
		Host: d.c.Host.ID, Forward: d.forwardCancel,
	})
	if err != nil {
		return err
	}
	d.admin, err = operator.New(operator.Config{
		Listen: d.c.AdminListen, Status: d.Status, Ready: d.Ready,
		Collectors: slices.Concat(d.owner.Collectors(), d.node.Collectors(), d.decisions.collectors()),
	})
	return err
}

// routerOf gives callers the router, which is made after their server.
type routerOf struct{ *Daemon }

// CallerAddress returns the address for callers.
func (d *Daemon) CallerAddress() string { return d.callers.Address() }

// AdminAddress returns the address for operators.
func (d *Daemon) AdminAddress() string { return d.admin.Address() }

// PeerAddress returns the address for other daemons.
func (d *Daemon) PeerAddress() string { return d.node.Address() }

// Ready reports whether a verified bundle is in force.
func (d *Daemon) Ready() bool { return d.bundle() != nil }

func (d *Daemon) bundle() *bundle.Bundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held == nil {
		return nil
	}
	return d.held.Bundle
}

// Version returns the bundle version in force; zero if none is.
func (d *Daemon) Version() uint64 { return d.version() }

func (d *Daemon) version() uint64 {
	if b := d.bundle(); b != nil {
		return b.Version
	}
	return 0
}

// service is a part of the daemon that runs until its context ends.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(x context.Context) error { return s.run(x) }

func (s service) String() string { return s.name }

// Run runs the daemon until the context ends, and then drains it.
func (d *Daemon) Run(x context.Context) error {
	y, stop := context.WithCancel(context.WithoutCancel(x))
	defer stop()
	d.ctx = y
	s := suture.New("dragonflypick", suture.Spec{EventHook: func(e suture.Event) {
		d.c.Log.Warn("service event", "event", e.String())
	}})
	for _, p := range []service{
		{"peers", d.node.Run},
		{"callers", d.callers.Run},
		{"admin", d.admin.Run},
		{"platform", d.watchPlatform},
		{"register", d.register},
		{"versions", d.exchangeVersions},
		{"news", d.tell},
		{"reconcile", d.reconcile},
		{"sweep", d.sweep},
	} {
		s.Add(p)
	}
	e := s.ServeBackground(y)
	d.c.Log.Info("daemon started", "id", d.c.Host.ID, "callers", d.CallerAddress(), "peers", d.PeerAddress(), "admin", d.AdminAddress())
	<-x.Done()
	d.drain()
	stop()
	<-e
	d.end()
	return nil
}

// drain ends the daemon's work in order.
func (d *Daemon) drain() {
	d.c.Log.Info("drain begins", "id", d.c.Host.ID)
	d.noteMember(membership.Left{ID: d.c.Host.ID})
	d.announceLeave()
	d.owner.Leave()
	x, stop := context.WithTimeout(d.ctx, d.c.DrainTime)
	defer stop()
	d.callers.Drain(x)
	d.owner.Drain(x)
	d.c.Log.Info("drain ends", "id", d.c.Host.ID, "sessions", d.callers.Sessions())
}

// noteMember reports whether the event changed what is known.
func (d *Daemon) noteMember(e membership.Event) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil {
		return false
	}
	if !d.view.Handle(e, time.Now()) {
		return false
	}
	switch y := e.(type) {
	case membership.Lost:
		d.c.Log.Debug("host passed over", "host", y.ID)
	case membership.Left:
		d.c.Log.Info("host leaves", "host", y.ID)
	}
	return true
}

func (d *Daemon) ownerOf(m *bundle.Member) (membership.Host, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Owner(m, time.Now())
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
		Place:   func() int { return d.place(d.groupNow(g)) },
		Near:    near,
		Status:  func(x context.Context, m *bundle.Member) (failover.Status, error) { return d.askStatus(x, g, m) },
		Control: func(m *bundle.Member) *backend.Control { return d.control(g, m) },
		Changed: func(group string, c failover.Changed) { d.groupChanged(group, c) },
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

func (d *Daemon) groupChanged(group string, c failover.Changed) {
	d.router.learn(group, failover.View{Term: c.Term, Primary: c.Primary})
	d.owner.Replaced(group, c.Primary)
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

func (d *Daemon) sweep(x context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
			d.owner.Sweep()
			if d.Ready() {
				d.owner.Release(d.owns)
			}
		}
	}
}
