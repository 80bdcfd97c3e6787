// Package daemon puts the parts of one proxy process together and runs them.
package daemon

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/operator"
	"github.com/dragonflypick/dragonflypick/owner"
	"github.com/dragonflypick/dragonflypick/peer"
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
	// PlatformAddress is the address of the platform's service.
	PlatformAddress string
	// Seeds are peer addresses to ask while the platform doesn't answer.
	Seeds []string
	// Trust holds the keys whose signatures on bundles count.
	Trust bundle.Trust
	// Secret is shared by all daemons.
	Secret string
	// BackendUser and BackendPassword are for backend servers.
	BackendUser     string
	BackendPassword string
	// DrainTimeout bounds the drain.
	DrainTimeout time.Duration
	// TLS is offered to callers; nil for none.
	TLS *tls.Config
	// AcknowledgeAtCommit is as in owner.Config; it is only for measurements.
	AcknowledgeAtCommit bool
	// RegionLinkRate is this host's part of the link between regions in bytes a
	// second, zero for DefaultRegionLink.
	RegionLinkRate float64
	// LogEvery is N if one in N routing decisions is logged; zero logs all.
	LogEvery uint64
	Log      hclog.Logger
}

// Daemon is one proxy process.
type Daemon struct {
	c         Config
	platform  *consul.Client
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
	roster *gossip.HostList
	// watcher is the time of the last sign of a watcher of the platform.
	watcher  time.Time
	watches  map[string]*watch
	controls map[string]*backend.Control

	// fetching is held while a bundle or a host list is fetched from a peer.
	fetching sync.Mutex
	// news holds a token while the neighbours are to be told something.
	news chan struct{}
}

// New returns a daemon with open listening sockets.
func New(c Config) (*Daemon, error) {
	d := &Daemon{
		c: c, platform: consul.New(consul.Config{Address: c.PlatformAddress}),
		watches: map[string]*watch{}, controls: map[string]*backend.Control{},
		roster: gossip.NewHostList(), watcher: time.Now(), news: make(chan struct{}, 1),
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
		Lost:  func(id string) { d.noteMember(membership.LinkFailed{ID: id}) },
		Seen:  func(id string) { d.noteMember(membership.HostAnswered{ID: id}) },
		Met:   func(h membership.Host) { d.noteMember(membership.HostDiscovered{Host: h, Direct: true}) },
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
	d.noteMember(membership.DrainAnnounced{ID: d.c.Host.ID})
	d.announceLeave()
	d.owner.HandOver()
	x, stop := context.WithTimeout(d.ctx, d.c.DrainTimeout)
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
	case membership.LinkFailed:
		d.c.Log.Debug("host passed over", "host", y.ID)
	case membership.DrainAnnounced:
		d.c.Log.Info("host leaves", "host", y.ID)
	}
	return true
}

func (d *Daemon) ownerOf(m *bundle.Member) (membership.Host, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Owner(m, time.Now())
}

func (d *Daemon) sweep(x context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
			d.owner.MaintainConnections()
			if d.Ready() {
				d.owner.ReleaseUnowned(d.owns)
			}
		}
	}
}
