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
	// Status reads a member's reply to query.AskStatus.
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

// Fleet is one daemon. It is safe for concurrent use.
type Fleet struct {
	c        Config
	node     *peer.Node
	cache    *storeCache
	metrics  *metrics
	catalog  atomic.Pointer[catalog.Catalog]
	draining atomic.Bool
	// attempts counts the attempts to open a transaction.
	attempts atomic.Uint64
	// completed counts requests that were done.
	completed atomic.Uint64
	// tasks runs what outlives a call; ctx ends with the daemon.
	tasks errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc

	mu   sync.Mutex
	view *membership.View
	// members are those that may be used; gone maps a removed one to the time
	// at which it is given up.
	members map[string]catalog.Member
	evictAt map[string]time.Time
	groups  map[string]*group
	pools   map[string]*ownedPool
	// closingPools pools still have open transactions.
	closingPools []*pool.Pool
	loads        *loadTable
	// lastSeen is when each host last answered anything, pinged when a holder was last
	// asked whether it lives.
	lastSeen   map[string]time.Time
	lastPinged map[string]time.Time
	// lastAnswered is when each host last answered a request.
	lastAnswered map[string]time.Time
	// syncedAt is when a host that watches the store last brought this one level.
	syncedAt time.Time
	// hostLease is that of the own entry.
	hostLease uint64
}

// ownedPool is a pool with the time at which it was last wanted.
type ownedPool struct {
	*pool.Pool
	lastUsed time.Time
}

// New returns a daemon with an open socket for other daemons.
func New(c Config) (*Fleet, error) {
	x, stop := context.WithCancel(context.Background())
	f := &Fleet{
		c: c, cache: newStoreCache(), metrics: newMetrics(), ctx: x, stop: stop, view: membership.New(c.Self),
		members: map[string]catalog.Member{}, evictAt: map[string]time.Time{}, groups: map[string]*group{}, lastAnswered: map[string]time.Time{}, lastSeen: map[string]time.Time{}, lastPinged: map[string]time.Time{},
		pools: map[string]*ownedPool{}, loads: newLoadTable(),
	}
	var err error
	f.node, err = peer.New(peer.Config{
		Listen: c.PeerListen, Secret: c.Secret, Self: c.Self, Log: c.Log.Named("peer"), Handle: f.handleCall,
		Serve: func(_ context.Context, s *peer.Stream) { _ = s.Close() },
		Lost:  func(id string) { f.updateView(membership.Lost{ID: id}) },
		Seen:  func(id string) { f.updateView(membership.Seen{ID: id}) },
		Met:   func(h membership.Host) { f.updateView(membership.Met{Host: h, Direct: true}) },
	})
	if err != nil {
		stop()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

// Run runs the daemon until the context ends.
func (f *Fleet) Run(x context.Context) error {
	defer f.stop()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return f.node.Run(x) })
	g.Go(func() error { return f.watchStore(x) })
	g.Go(func() error { return f.maintainHostRecord(x) })
	g.Go(func() error { return f.runExchange(x) })
	g.Go(func() error { return f.reconcile(x) })
	err := g.Wait()
	f.stop()
	_ = f.tasks.Wait()
	return err
}

// Catalog returns the configuration in force, or nil before the first.
func (f *Fleet) Catalog() *catalog.Catalog { return f.catalog.Load() }

// Ready reports whether callers can be served.
func (f *Fleet) Ready() bool {
	if f.draining.Load() || f.Catalog() == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) > 0 && !f.isolated()
}

// Isolated reports whether this daemon is cut off from all others.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated()
}

// updateView takes in news of a host.
func (f *Fleet) updateView(e membership.Event) {
	f.mu.Lock()
	n := time.Now()
	c := f.view.Handle(e, n)
	if e, ok := e.(membership.Seen); ok {
		f.lastSeen[e.ID] = n
	}
	f.mu.Unlock()
	if !c {
		return
	}
	switch e := e.(type) {
	case membership.Lost:
		f.c.Log.Info("host lost", "host", e.ID)
	case membership.Seen:
		f.c.Log.Info("host answers again", "host", e.ID)
	case membership.Met:
		f.c.Log.Info("host met", "host", e.Host.ID)
	}
}

// spawn runs work that outlives the call, until the daemon ends.
func (f *Fleet) spawn(w func(x context.Context)) {
	f.tasks.Go(func() error {
		w(f.ctx)
		return nil
	})
}

// sleep waits, or returns false if the context ends first.
func sleep(x context.Context, d time.Duration) bool {
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
