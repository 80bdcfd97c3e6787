// Package daemon connects the components of one proxy process and runs them: the
// server for callers, the router, the owner of backend servers, the links to other
// daemons, the monitors of groups and the server for operators. Package
// platformdaemon is the counterpart for the users' platform.
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

	"github.com/dragonflypick/dragonflypick/admin"
	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/caller"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/owner"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

// Timing of the daemon's periodic tasks.
const (
	// reconcileInterval is how often the set of watched groups is updated.
	reconcileInterval = 250 * time.Millisecond
	// watchIdleTimeout is how long a group stays watched after its last use.
	watchIdleTimeout = 10 * time.Second
	// maintenanceInterval is how often idle connections are checked.
	maintenanceInterval = 500 * time.Millisecond
)

// Config holds a daemon's settings.
type Config struct {
	// Host describes this host; New fills in PeerAddress.
	Host membership.Host
	// CallerListen, PeerListen and AdminListen are IP addresses with ports.
	CallerListen string
	PeerListen   string
	AdminListen  string
	// PeerAdvertise is the address that other daemons connect to; empty for
	// that of PeerListen.
	PeerAdvertise string
	// PlatformAddress is the address of the platform's service.
	PlatformAddress string
	// Seeds are addresses of peers to contact while no neighbor is known, such
	// as when the platform doesn't answer.
	Seeds []string
	// Trust holds the keys that may sign bundles.
	Trust bundle.Trust
	// Secret is the shared secret of all daemons.
	Secret string
	// BackendUser and BackendPassword are the credentials for backend servers.
	BackendUser     string
	BackendPassword string
	// DrainTimeout limits the drain.
	DrainTimeout time.Duration
	// TLS is the configuration offered to callers; nil disables TLS.
	TLS *tls.Config
	// AcknowledgeAtCommit sets owner.Config.AcknowledgeAtCommit; for measurements
	// only.
	AcknowledgeAtCommit bool
	// RegionLinkRate is this host's share of the link between regions, in bytes a
	// second; zero for DefaultRegionLinkRate.
	RegionLinkRate float64
	// LogEvery N logs one in N routing decisions; zero logs all.
	LogEvery uint64
	Log      hclog.Logger
}

// Daemon is one proxy process.
type Daemon struct {
	config         Config
	platform       *consul.Client
	node           *peer.Node
	callerServer   *caller.Server
	adminServer    *admin.Server
	owner          *owner.Owner
	router         *router
	routingMetrics *routingMetrics
	// tasks runs background tasks; ctx ends with the daemon.
	tasks *errgroup.Group
	ctx   context.Context
	// tasksMu guards stopped, which is set before tasks is waited for.
	tasksMu sync.Mutex
	stopped bool

	mu           sync.Mutex
	signedBundle *bundle.Signed
	hostView     *membership.View
	hostList     *gossip.HostList
	// watcherSeen is when some daemon was last known to watch the platform.
	watcherSeen time.Time
	// platformHeard is when the newest query was sent that the platform is known to
	// have answered, to whichever daemon.
	platformHeard      time.Time
	groupWatches       map[string]*groupWatch
	controlConnections map[string]*backend.Control

	// fetchMu is held while a bundle or host list is fetched from a peer.
	fetchMu sync.Mutex
	// notifyPending holds an element while an update for the neighbors is
	// pending.
	notifyPending chan struct{}
	// delisted holds an element once the platform's list has lost this host, until it
	// registers again.
	delisted chan struct{}
}

// New returns a daemon whose listening sockets are open.
func New(c Config) (*Daemon, error) {
	d := &Daemon{
		config: c, platform: consul.New(consul.Config{Address: c.PlatformAddress}),
		groupWatches: map[string]*groupWatch{}, controlConnections: map[string]*backend.Control{},
		hostList: gossip.NewHostList(), watcherSeen: time.Now(), platformHeard: time.Now(), notifyPending: make(chan struct{}, 1), delisted: make(chan struct{}, 1),
		tasks: &errgroup.Group{}, ctx: context.Background(),
	}
	d.owner = owner.New(owner.Config{
		Host: c.Host.ID, Bundle: d.bundle, Monitor: d.watchGroup, User: c.BackendUser, Password: c.BackendPassword, Log: c.Log.Named("owner"),
		AcknowledgeAtCommit: c.AcknowledgeAtCommit,
	})
	d.routingMetrics = newRoutingMetrics(c.LogEvery)
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.hostView = membership.New(d.config.Host)
	d.router = newRouter(d)
	return d, nil
}

// listen creates the node and the servers, which opens their listening sockets.
func (d *Daemon) listen() error {
	var err error
	d.node, err = peer.New(peer.Config{
		Listen: d.config.PeerListen, Secret: d.config.Secret, Self: d.config.Host, Log: d.config.Log.Named("peer"), HandleCall: d.handleCall,
		HandleStream:    func(x context.Context, s *peer.Stream) { d.owner.Serve(x, s) },
		OnLinkFailed:    func(id string, ended bool) { d.handleMembership(membership.LinkFailed{ID: id, Ended: ended}) },
		OnAnswer:        func(id string) { d.handleMembership(membership.HostAnswered{ID: id}) },
		OnHostConnected: func(h membership.Host) { d.handleMembership(membership.HostDiscovered{Host: h, Direct: true}) },
	})
	if err != nil {
		return err
	}
	d.config.Host.PeerAddress = d.config.PeerAdvertise
	if d.config.Host.PeerAddress == "" {
		d.config.Host.PeerAddress = d.node.Address()
	}
	d.node.SetSelf(d.config.Host)
	d.callerServer, err = caller.New(caller.Config{
		Listen: d.config.CallerListen, TLS: d.config.TLS, Bundle: d.bundle, Router: forwardingRouter{d}, Log: d.config.Log.Named("caller"),
		HostID: d.config.Host.ID, ForwardCancel: d.forwardCancel,
	})
	if err != nil {
		return err
	}
	d.adminServer, err = admin.New(admin.Config{
		Listen: d.config.AdminListen, Status: d.Status, Ready: d.Ready,
		Collectors: slices.Concat(d.owner.Collectors(), d.node.Collectors(), contain.Collectors(), d.routingMetrics.collectors()),
	})
	return err
}

// forwardingRouter forwards to the daemon's router, which is created after the
// server for callers.
type forwardingRouter struct{ *Daemon }

// CallerAddress returns the address for callers.
func (d *Daemon) CallerAddress() string { return d.callerServer.Address() }

// AdminAddress returns the address for operators.
func (d *Daemon) AdminAddress() string { return d.adminServer.Address() }

// PeerAddress returns the address for other daemons.
func (d *Daemon) PeerAddress() string { return d.node.Address() }

// Ready reports whether a verified bundle is in force.
func (d *Daemon) Ready() bool { return d.bundle() != nil }

func (d *Daemon) bundle() *bundle.Bundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.signedBundle == nil {
		return nil
	}
	return d.signedBundle.Bundle
}

// Version returns the version of the bundle in force; zero if there is none.
func (d *Daemon) Version() uint64 { return d.version() }

func (d *Daemon) version() uint64 {
	if b := d.bundle(); b != nil {
		return b.Version
	}
	return 0
}

// service is a component of the daemon that runs until its context ends.
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
		d.config.Log.Warn("service event", "event", e.String())
	}})
	for _, p := range []service{
		{"peers", d.node.Run},
		{"callers", d.callerServer.Run},
		{"admin", d.adminServer.Run},
		{"platform", d.watchPlatform},
		{"register", d.keepRegistered},
		{"versions", d.exchangeVersions},
		{"notify", d.sendNotifications},
		{"reconcile", d.reconcileWatches},
		{"sweep", d.maintainConnections},
	} {
		s.Add(p)
	}
	e := s.ServeBackground(y)
	d.config.Log.Info("daemon started", "id", d.config.Host.ID, "callers", d.CallerAddress(), "peers", d.PeerAddress(), "admin", d.AdminAddress())
	<-x.Done()
	d.drain()
	stop()
	<-e
	d.stopTasks()
	return nil
}

// drain sends the drain notice, hands over the owned servers, and waits up to
// DrainTimeout for open transactions and running statements.
func (d *Daemon) drain() {
	d.config.Log.Info("drain started", "id", d.config.Host.ID)
	d.handleMembership(membership.DrainAnnounced{ID: d.config.Host.ID})
	d.announceDrain()
	d.owner.HandOver()
	x, stop := context.WithTimeout(d.ctx, d.config.DrainTimeout)
	defer stop()
	d.callerServer.Drain(x)
	d.owner.Drain(x)
	d.config.Log.Info("drain finished", "id", d.config.Host.ID, "sessions", d.callerServer.SessionCount())
}

// handleMembership applies a membership event to the view of the hosts, and
// reports whether it changed the view.
func (d *Daemon) handleMembership(e membership.Event) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hostView == nil {
		return false
	}
	if !d.hostView.Handle(e, time.Now()) {
		return false
	}
	switch y := e.(type) {
	case membership.LinkFailed:
		d.config.Log.Debug("host suspected", "host", y.ID)
	case membership.DrainAnnounced:
		d.config.Log.Info("host draining", "host", y.ID)
	}
	return true
}

// ownerOf returns the live host that owns a member.
func (d *Daemon) ownerOf(m *bundle.Member) (membership.Host, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hostView.Owner(m, time.Now())
}

// maintainConnections maintains the idle connections to owned servers, and
// releases unused connections to servers that this daemon no longer owns.
func (d *Daemon) maintainConnections(x context.Context) error {
	t := time.NewTicker(maintenanceInterval)
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
