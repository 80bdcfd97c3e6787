// Package fleet runs a daemon whose fleet is agreed on through the platform's
// store: hosts, configuration, members and the holders of database groups.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/boottime"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
)

// Error is the class of all failures of this package.
var Error = errs.Class("fleet")

// Keys of this product in the store.
const (
	hostPrefix  = "dragonflypick/hosts/"
	groupPrefix = "dragonflypick/groups/"
)

// Promoter has primaries replaced.
type Promoter interface {
	// Promote returns false if the member isn't running.
	Promote(x context.Context, group, member, holder string, token uint64) (bool, error)
}

// Decoder reads what others write to the store.
type Decoder struct {
	// ConfigurationKey and MemberPrefix tell where it stands.
	ConfigurationKey string
	MemberPrefix     string
	Configuration    func(value []byte) (*catalog.Catalog, error)
	Member           func(key string, value []byte) (catalog.Member, error)
	// Status reads a member's reply to query.GetStatus.
	Status func(query.Reply) (query.Status, error)
}

// Config holds a daemon's settings.
type Config struct {
	// Self describes this process; its ID is unique among all that ever ran.
	Self membership.Host
	// PeerListen is the IP address and port for other daemons.
	PeerListen string
	Secret     string
	Seeds      []string
	Store      store.Store
	Promoter   Promoter
	Dialer     pool.Dialer
	Decoder    Decoder
	// LogEvery is N if one in N requests that were done is logged; zero logs none.
	// Those that were not are always logged.
	LogEvery uint64
	Log      hclog.Logger
}

// Daemon is one daemon. It is safe for concurrent use.
type Daemon struct {
	c       Config
	node    *peer.Node
	mirror  *mirror
	metrics *metrics
	catalog atomic.Pointer[catalog.Catalog]
	leaving atomic.Bool
	// attempts counts the attempts to open a transaction.
	attempts atomic.Uint64
	// done counts requests that were done.
	done atomic.Uint64
	// work runs what outlives a call; ctx ends with the daemon.
	work errgroup.Group
	ctx  context.Context
	stop context.CancelFunc

	mu   sync.Mutex
	view *membership.View
	// members are those that may be used; gone maps a removed one to the time
	// at which it is given up.
	members map[string]catalog.Member
	gone    map[string]time.Time
	groups  map[string]*group
	pools   map[string]*owned
	// closing pools still have open transactions.
	closing []*pool.Pool
	table   *table
	// seen is when each host last answered anything, pinged when a holder was last
	// asked whether it lives.
	seen   map[string]time.Time
	pinged map[string]time.Time
	// answered is when each host last answered a request.
	answered map[string]time.Time
	// level is when a host that watches the store last brought this one level.
	level time.Time
	// lease is that of the own entry.
	lease uint64
}

// owned is a pool with the time at which it was last wanted.
type owned struct {
	*pool.Pool
	wanted time.Time
}

// New returns a daemon with an open socket for other daemons.
func New(c Config) (*Daemon, error) {
	x, stop := context.WithCancel(context.Background())
	f := &Daemon{
		c: c, mirror: newMirror(), metrics: newMetrics(), ctx: x, stop: stop, view: membership.New(c.Self),
		members: map[string]catalog.Member{}, gone: map[string]time.Time{}, groups: map[string]*group{}, answered: map[string]time.Time{}, seen: map[string]time.Time{}, pinged: map[string]time.Time{},
		pools: map[string]*owned{}, table: newTable(),
	}
	var err error
	f.node, err = peer.New(peer.Config{
		Listen: c.PeerListen, Secret: c.Secret, Self: c.Self, Log: c.Log.Named("peer"), Handle: f.handle,
		Serve: func(_ context.Context, s *peer.Stream) { _ = s.Close() },
		Lost:  func(id string) { f.note(membership.LinkFailed{ID: id}) },
		Seen:  func(id string) { f.note(membership.HostAnswered{ID: id}) },
		Met:   func(h membership.Host) { f.note(membership.HostDiscovered{Host: h, Direct: true}) },
	})
	if err != nil {
		stop()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

// Run runs the daemon until the context ends.
func (f *Daemon) Run(x context.Context) error {
	defer f.stop()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return f.node.Run(x) })
	g.Go(func() error { return f.follow(x) })
	g.Go(func() error { return f.register(x) })
	g.Go(func() error { return f.exchange(x) })
	g.Go(func() error { return f.reconcile(x) })
	err := g.Wait()
	f.stop()
	_ = f.work.Wait()
	return err
}

// Catalog returns the configuration in force, or nil before the first.
func (f *Daemon) Catalog() *catalog.Catalog { return f.catalog.Load() }

// Ready reports whether callers can be served.
func (f *Daemon) Ready() bool {
	if f.leaving.Load() || f.Catalog() == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) > 0 && !f.isolated()
}

// Isolated reports whether this daemon is cut off from all others.
func (f *Daemon) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated()
}

// note takes in news of a host.
func (f *Daemon) note(e membership.Event) {
	f.mu.Lock()
	n := time.Now()
	c := f.view.Handle(e, n)
	if e, ok := e.(membership.HostAnswered); ok {
		f.seen[e.ID] = n
	}
	f.mu.Unlock()
	if !c {
		return
	}
	switch e := e.(type) {
	case membership.LinkFailed:
		f.c.Log.Info("host lost", "host", e.ID)
	case membership.HostAnswered:
		f.c.Log.Info("host answers again", "host", e.ID)
	case membership.HostDiscovered:
		f.c.Log.Info("host met", "host", e.Host.ID)
	}
}

// background runs work that outlives the call, until the daemon ends.
func (f *Daemon) background(w func(x context.Context)) {
	f.work.Go(func() error {
		w(f.ctx)
		return nil
	})
}

// pause waits, or returns false if the context ends first.
func pause(x context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.Done():
		return false
	}
}

// now reads the clock that validity is measured with.
func now() time.Time { return boottime.Now() }
