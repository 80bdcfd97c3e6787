// Package cluster runs a complete system in one process on loopback: the stand-in
// platform, stand-in database groups, and daemons with a signed bundle. Package
// process runs such a system as separate processes.
package cluster

import (
	"context"
	"crypto/rand"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/daemon"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/standin/database"
	"github.com/dragonflypick/dragonflypick/standin/kv"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin cluster")

// Credentials of the cluster.
const (
	CallerName      = "shop"
	CallerPassword  = "amber"
	backendPassword = "backend"
	peerSecret      = "loopback"
)

// Limits and intervals of the cluster.
const (
	// startTimeout limits the wait until all daemons are ready.
	startTimeout = 20 * time.Second
	// startTimeoutPerDaemon is added to startTimeout for each daemon.
	startTimeoutPerDaemon = 300 * time.Millisecond
	// startPollInterval is the interval of the readiness checks during a start.
	startPollInterval = 20 * time.Millisecond
	drainTimeout      = 3 * time.Second
	// maxSeeds is the maximum number of seeds of a new daemon.
	maxSeeds = 3
)

// Config holds a cluster's settings.
type Config struct {
	// Groups are the names of the database groups.
	Groups []string
	// Daemons is the number of daemons that Start starts.
	Daemons int
	// FailureDomains are the failure domains, all in Region; daemons and
	// members are assigned to them round-robin.
	FailureDomains []string
	Region         string
	// Listen is the IP address and the first daemon's port for callers; further
	// daemons take the following ports. Port 0 selects free ports.
	Listen string
	// Lag is the replication delay of the members.
	Lag time.Duration
	// Slots and Connections are each member's maximum numbers of concurrent
	// statements and of connections.
	Slots       int
	Connections int
	// ConnectCost and StatementCost are the processing times of a login and of a
	// statement on each member.
	ConnectCost   time.Duration
	StatementCost time.Duration
	Log           hclog.Logger
	// AcknowledgeAtCommit acknowledges writes at commit, without waiting for a
	// majority; for measurements only.
	AcknowledgeAtCommit bool
	// RelayPlatform puts a relay between the daemons and the platform.
	RelayPlatform bool
}

// DefaultConfig returns the settings of the demo.
func DefaultConfig() Config {
	return Config{
		Groups: []string{"orders", "stock"}, Daemons: 3, FailureDomains: []string{"west-1", "west-2"}, Region: "west",
		Listen: "127.0.0.1:0", Slots: 3, Connections: 20, ConnectCost: 12 * time.Millisecond,
		StatementCost: time.Millisecond, Lag: time.Millisecond, Log: hclog.NewNullLogger(),
	}
}

// Member is a running member of a group.
type Member struct {
	*database.Member
	Name  string
	Group string
	stop  context.CancelFunc
}

// Daemon is a running daemon.
type Daemon struct {
	*daemon.Daemon
	ID   string
	stop context.CancelFunc
	done chan struct{}
}

// Cluster is a running system of platform, members and daemons.
type Cluster struct {
	Config   Config
	Platform *kv.Server
	// PlatformRelay forwards the daemons' connections to the platform; nil without
	// Config.RelayPlatform.
	PlatformRelay *relay.Relay
	Members       []*Member
	Daemons       []*Daemon
	Bundle        *bundle.Bundle
	authorKey     *bundle.Key
	approverKey   *bundle.Key
	ctx           context.Context
	stop          context.CancelFunc
	tasks         *errgroup.Group
}

// Start runs a cluster and returns when it is ready.
func Start(x context.Context, c Config) (*Cluster, error) {
	x, stop := context.WithCancel(x)
	g, x := errgroup.WithContext(x)
	o := &Cluster{Config: c, ctx: x, stop: stop, tasks: g}
	if err := o.start(); err != nil {
		o.Stop()
		return nil, err
	}
	return o, nil
}

func (c *Cluster) start() error {
	var err error
	if c.authorKey, err = bundle.NewKey("author"); err != nil {
		return err
	}
	if c.approverKey, err = bundle.NewKey("approver"); err != nil {
		return err
	}
	c.Platform, err = kv.NewServer(kv.Config{Listen: "127.0.0.1:0", HostPrefix: consul.HostPrefix, HostLag: 200 * time.Millisecond})
	if err != nil {
		return err
	}
	c.tasks.Go(func() error { return c.Platform.Run(c.ctx) })
	if c.Config.RelayPlatform {
		c.PlatformRelay, err = relay.Start(relay.Config{Listen: "127.0.0.1:0", Target: c.Platform.Address()})
		if err != nil {
			return err
		}
	}
	for _, n := range c.Config.Groups {
		if err := c.startGroup(n); err != nil {
			return err
		}
	}
	if c.Bundle, err = c.firstBundle(); err != nil {
		return err
	}
	if err := c.Push(c.Bundle); err != nil {
		return err
	}
	for i := range c.Config.Daemons {
		if _, err := c.StartDaemon(i); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// membersPerGroup is the number of members of each group.
const membersPerGroup = 3

func (c *Cluster) startGroup(n string) error {
	first := ""
	for i := range membersPerGroup {
		m, err := database.New(database.Config{
			Listen: "127.0.0.1:0", Password: backendPassword, Primary: first, Lag: c.Config.Lag,
			ConnectCost: c.Config.ConnectCost, StatementCost: c.Config.StatementCost,
			Slots: c.Config.Slots, MaxConnections: c.Config.Connections,
		})
		if err != nil {
			return err
		}
		if first == "" {
			first = m.Address()
		}
		x, stop := context.WithCancel(c.ctx)
		c.Members = append(c.Members, &Member{Member: m, Name: n + "-" + strconv.Itoa(i+1), Group: n, stop: stop})
		c.tasks.Go(func() error { return m.Run(x) })
	}
	return nil
}

func (c *Cluster) failureDomain(i int) string {
	return c.Config.FailureDomains[i%len(c.Config.FailureDomains)]
}

// firstBundle returns the bundle of version 1, with one caller and all groups.
func (c *Cluster) firstBundle() (*bundle.Bundle, error) {
	b := NewBundle()
	salt := make([]byte, 16)
	_, _ = rand.Read(salt)
	v, err := bundle.NewVerifier(CallerName, CallerPassword, salt)
	if err != nil {
		return nil, err
	}
	b.Callers = []bundle.Caller{{Name: CallerName, Scram: v, Rank: "routine", Groups: c.Config.Groups}}
	for _, n := range c.Config.Groups {
		g := bundle.Group{Name: n}
		for _, m := range c.Members {
			if m.Group == n {
				g.Members = append(g.Members, bundle.Member{
					Name: m.Name, Address: m.Address(), Region: c.Config.Region, FailureDomain: c.failureDomain(len(g.Members)),
					Slots: c.Config.Slots, Connections: c.Config.Connections,
				})
			}
		}
		b.Groups = append(b.Groups, g)
	}
	return b, nil
}

// NewBundle returns a bundle with the stand-in's ranks, read classes and limits,
// without groups and callers.
func NewBundle() *bundle.Bundle {
	d := func(t time.Duration) bundle.Duration { return bundle.Duration(t) }
	return &bundle.Bundle{
		Version: 1,
		Ranks: bundle.Ranks{
			Urgent:     bundle.RankLimits{Deadline: d(5 * time.Second), Share: 0.88, IdleInTransaction: d(5 * time.Second)},
			Routine:    bundle.RankLimits{Deadline: d(5 * time.Second), Share: 0.10, IdleInTransaction: d(5 * time.Second)},
			Background: bundle.RankLimits{Deadline: d(20 * time.Second), Share: 0.02, IdleInTransaction: d(5 * time.Second)},
		},
		ReadClasses: []bundle.ReadClass{
			{Name: "swatch", Age: d(5 * time.Second)},
			{Name: "invoice", Age: d(30 * time.Second), OwnWrites: true},
		},
		Limits: bundle.Limits{Callers: 10000, StatementBytes: 1 << 20, ReplicaAge: d(2 * time.Second), Tolerance: d(time.Minute)},
	}
}

func (c *Cluster) trust() bundle.Trust {
	return bundle.Trust{Authors: []*bundle.Key{c.authorKey}, Approvers: []*bundle.Key{c.approverKey}}
}

// Push signs a bundle and writes it to the platform.
func (c *Cluster) Push(b *bundle.Bundle) error {
	e, err := bundle.Sign(c.ctx, b, c.authorKey, c.approverKey)
	if err != nil {
		return err
	}
	_, err = consul.Push(c.ctx, consul.New(consul.Config{Address: c.Platform.Address()}), e, c.trust())
	return err
}

// StartDaemon starts a daemon; i selects its failure domain and caller port.
func (c *Cluster) StartDaemon(i int) (*Daemon, error) {
	l, err := c.callerListenAddress(i)
	if err != nil {
		return nil, err
	}
	id := "daemon-" + strconv.Itoa(len(c.Daemons)+1)
	d, err := daemon.New(daemon.Config{
		Host:         membership.Host{ID: id, Region: c.Config.Region, FailureDomain: c.failureDomain(i)},
		CallerListen: l, PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PlatformAddress: c.platformAddress(),
		Trust: c.trust(), Secret: peerSecret, BackendUser: "dragonflypick", BackendPassword: backendPassword,
		DrainTimeout: drainTimeout, Log: c.Config.Log.Named(id), Seeds: c.seedAddresses(),
		AcknowledgeAtCommit: c.Config.AcknowledgeAtCommit,
	})
	if err != nil {
		return nil, err
	}
	x, stop := context.WithCancel(c.ctx)
	r := &Daemon{Daemon: d, ID: id, stop: stop, done: make(chan struct{})}
	c.Daemons = append(c.Daemons, r)
	c.tasks.Go(func() error {
		defer close(r.done)
		return d.Run(x)
	})
	return r, nil
}

// platformAddress returns where the daemons reach the platform.
func (c *Cluster) platformAddress() string {
	if c.PlatformRelay != nil {
		return c.PlatformRelay.Address()
	}
	return c.Platform.Address()
}

// seedAddresses returns the peer addresses of the first maxSeeds daemons.
func (c *Cluster) seedAddresses() []string {
	var o []string
	for _, d := range c.Daemons[:min(len(c.Daemons), maxSeeds)] {
		o = append(o, d.PeerAddress())
	}
	return o
}

// Drain shuts a daemon down gracefully and waits until it has stopped.
func (d *Daemon) Drain() {
	d.stop()
	<-d.done
}

func (c *Cluster) callerListenAddress(i int) (string, error) {
	h, p, err := net.SplitHostPort(c.Config.Listen)
	if err != nil {
		return "", Error.Wrap(err)
	}
	n, err := strconv.Atoi(p)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if n == 0 {
		return c.Config.Listen, nil
	}
	return net.JoinHostPort(h, strconv.Itoa(n+i)), nil
}

// awaitReady waits until every daemon has the bundle and lists all hosts, and
// every group has a confirmed primary.
func (c *Cluster) awaitReady() error {
	t := time.Now().Add(startTimeout + time.Duration(c.Config.Daemons)*startTimeoutPerDaemon)
	for !c.ready() {
		if time.Now().After(t) {
			return Error.Wrap(&StartTimeoutError{})
		}
		time.Sleep(startPollInterval)
	}
	return nil
}

func (c *Cluster) ready() bool {
	confirmed := map[string]bool{}
	for _, d := range c.Daemons {
		s := d.Status()
		if s.BundleVersion == 0 || len(s.HostIDs) < len(c.Daemons) {
			return false
		}
		for _, g := range s.Groups {
			confirmed[g.Name] = confirmed[g.Name] || g.Confirmed
		}
	}
	for _, g := range c.Config.Groups {
		if !confirmed[g] {
			return false
		}
	}
	return true
}

// ConnectionURL returns the connection string for a group through the daemon.
func (d *Daemon) ConnectionURL(group string) string {
	return "postgres://" + CallerName + ":" + CallerPassword + "@" + d.CallerAddress() + "/" + group + "?sslmode=disable"
}

// Primary returns the group's running primary of the highest term, or nil.
func (c *Cluster) Primary(group string) *Member {
	var b *Member
	for _, m := range c.Members {
		s := m.Status()
		if m.Group == group && m.Running() && s.Role == database.Primary && (b == nil || s.Term > b.Status().Term) {
			b = m
		}
	}
	return b
}

// Kill stops a member immediately.
func (m *Member) Kill() { m.stop() }

// Stop drains the daemons, then stops the members and the platform.
func (c *Cluster) Stop() {
	for _, d := range c.Daemons {
		d.stop()
	}
	for _, d := range c.Daemons {
		<-d.done
	}
	if c.PlatformRelay != nil {
		c.PlatformRelay.Stop()
	}
	c.stop()
	_ = c.tasks.Wait()
}

// StartTimeoutError reports a cluster that was not ready in time.
type StartTimeoutError struct{}

func (e *StartTimeoutError) Error() string {
	return "cluster not ready in time: a daemon lacks the bundle or a host, or a group lacks a confirmed primary"
}
