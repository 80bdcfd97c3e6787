// Package fleet implements the daemon for the users' platform. It routes requests
// to the members of database groups, holds groups and replaces failed primaries.
// The daemons coordinate through the platform's store, which holds the hosts, the
// configuration, the members and the record of each database group.
//
// Package platformdaemon configures and runs this daemon, package platform
// implements the platform's protocols for it. Package daemon is the counterpart
// for callers that use the PostgreSQL protocol.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/assignment"
	"github.com/dragonflypick/dragonflypick/boottime"
	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/drain"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/outlier"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// Error is the class of all failures of this package.
var Error = errs.Class("fleet")

// Prefixes of the keys that the daemons write to the store.
const (
	hostPrefix  = "dragonflypick/hosts/"
	groupPrefix = "dragonflypick/groups/"
)

// Promoter requests promotions of members from the platform.
type Promoter interface {
	// Promote makes a member the primary of its group. It returns false if the
	// member isn't running.
	Promote(x context.Context, group, member, holder string, token uint64) (bool, error)
}

// Decoder finds and decodes the store's items that the platform writes.
type Decoder struct {
	// ConfigurationKey is the key of the configuration; MemberPrefix is the prefix
	// of the keys of member records.
	ConfigurationKey string
	MemberPrefix     string
	Configuration    func(value []byte) (*catalog.Catalog, error)
	// Redact returns an encoded configuration without secrets. Only this is kept and
	// passed on to other daemons. Nil leaves it as it is.
	Redact func(value []byte) ([]byte, error)
	// Member returns a member and the sequence of its record, which rises with each
	// of the member's reports since its start.
	Member func(key string, value []byte) (m catalog.Member, sequence uint64, err error)
	// Status decodes a member's reply to query.GetStatus.
	Status func(query.Reply) (query.Status, error)
}

// Config holds a daemon's settings.
type Config struct {
	// Self describes this process. Its ID differs from those of all earlier
	// processes.
	Self membership.Host
	// PeerListen is the IP address and port on which other daemons connect.
	PeerListen string
	// Secret is shared by all daemons.
	Secret string
	// Seeds are peer addresses of some daemons, which are queried while no other
	// host is known to be live.
	Seeds []string
	// Bootstrap is set if the whole system starts for the first time.
	Bootstrap bool
	Store     store.Store
	// StoreWritesPerSecond is the number of writes that the store accepts from all
	// daemons together; zero if that isn't known.
	StoreWritesPerSecond int
	Promoter             Promoter
	Dialer               pool.Dialer
	Decoder              Decoder
	// DrainTime is how long a member that is to be returned may get new work, from its report
	// in the store on; zero for a few seconds.
	DrainTime time.Duration
	// LogEvery logs one in this many successful requests; zero logs none. Of the failed
	// ones maxFailureLines are logged in a second.
	LogEvery uint64
	// Features are the optional features in use.
	Features Features
	Log      hclog.Logger
}

// Features are the features that a deployment has to ask for. The zero value
// asks for none.
type Features struct {
	// UnevenMembers adapts to members that are slow, cold or fail.
	UnevenMembers bool
	// Pressure refuses the least urgent work at the entry while a member is
	// overloaded.
	Pressure bool
	// Rates bounds the operations of teams; nil leaves them unbounded.
	Rates *RateBounds
}

// RateBounds state how the rate of a team is measured. In any Window at most
// (rate * Window + burst) * (1 + Overage) + Slack operations may arrive at
// members.
type RateBounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Daemon serves requests as one of the daemons that share a store. It is safe
// for concurrent use.
type Daemon struct {
	config   Config
	node     *peer.Node
	copy     *storecopy.Copy
	metrics  *metrics
	room     *room
	overload *overloadState
	catalog  atomic.Pointer[catalog.Catalog]
	draining atomic.Bool
	// meanTeamRate is that of the configuration last used by teamWeight.
	meanTeamRate atomic.Pointer[meanRate]
	// applying is held while an update changes copy and its items are applied, so that
	// the items of two updates take effect in the order in which copy took them.
	applying sync.Mutex
	// appliedAfter is the latest time at which the store was known not to have the items that
	// are being applied; guarded by applying.
	appliedAfter time.Time
	// configurationConfirmed is set once confirmation is given.
	configurationConfirmed atomic.Bool
	// staleCopyAllowed is set once the store couldn't be read. Before that, a daemon
	// without a copy doesn't take one that may name members which have left since.
	staleCopyAllowed atomic.Bool
	// packed is the value that was compressed last.
	packed atomic.Pointer[packedValue]
	// attempts counts the attempts to open a transaction; each gets its own name
	// from it.
	attempts atomic.Uint64
	// succeeded counts the successful requests, and failureLines bounds the log lines
	// about the others.
	succeeded    atomic.Uint64
	failureLines lineLimit
	// tasks runs functions that outlive the call that started them; ctx ends with
	// the daemon.
	tasks errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
	// failed receives the failure that ends the daemon.
	failed chan error
	// registerAgain receives a value when the store has lost the record of this host.
	registerAgain chan struct{}

	mu   sync.Mutex
	view *membership.View
	// table holds the members in use, and the groups that this host may have to act
	// for. evictAt is when a member whose record was removed is evicted.
	table   *assignment.Table
	evictAt map[string]time.Time
	groups  map[string]*group
	// unheldLogged is when a group without a holder was last logged.
	unheldLogged map[string]time.Time
	// replicaReads holds the groups whose replicas have served reads at this host
	// within replicaReadWindow.
	replicaReads map[*group]bool
	pools        map[string]*ownedPool
	// closingPools accept no new requests; they are kept until their running
	// requests and open transactions have ended.
	closingPools []*pool.Pool
	loads        *loadTable
	// paces holds what is known of the members' pace, by member ID.
	paces map[string]knownPace
	// outliers judges members by the reads of this daemon's callers; hedges is the
	// budget of reads that are sent to a second member, by group.
	outliers *outlier.Detector
	hedges   *budget.Retry
	// lastSeen is when each host last answered any call. lastPinged is when each
	// holder was last pinged.
	lastSeen   map[string]time.Time
	lastPinged map[string]time.Time
	// lastExecuteReply is when each host last answered a call of methodExecute.
	lastExecuteReply map[string]time.Time
	// source tells whether this daemon has to watch the store.
	source storecopy.Source
	// watcher is the last result of isWatcher.
	watcher bool
	overlay gossip.OverlayCache
	// exchanging and pinging hold the IDs of the hosts with which an exchange is
	// under way, and that are being pinged.
	exchanging map[string]bool
	pinging    map[string]bool
	// hostRecords holds the hosts' records in the store, by key.
	hostRecords map[string]hostRecord
	// drains holds the members that are to be returned.
	drains *drain.Notices
	// era is what is known of the store's era.
	era eraState
	// confirmation decides whether callers with keys may be served.
	confirmation storecopy.Confirmation
	// configuration is the encoding of the configuration in force.
	configuration []byte
	// sequences holds the sequence of each member's newest record, by ID.
	sequences map[string]uint64
	// hostLease is the store's lease of this host's record; zero before the first.
	hostLease uint64
	// movedUntil is until when the accountants of teams under earlier groups may lend.
	movedUntil time.Time
	rates      rates
}

// New returns a daemon whose listening socket for other daemons is open.
func New(c Config) (*Daemon, error) {
	x, stop := context.WithCancel(context.Background())
	m := storecopy.New()
	f := &Daemon{
		config: c, copy: m, failed: make(chan error, 1), registerAgain: make(chan struct{}, 1), sequences: map[string]uint64{}, metrics: newMetrics(m), room: newRoom(), overload: newOverloadState(), ctx: x, stop: stop, view: membership.New(c.Self),
		unheldLogged: map[string]time.Time{}, replicaReads: map[*group]bool{}, evictAt: map[string]time.Time{}, groups: map[string]*group{}, lastExecuteReply: map[string]time.Time{}, lastSeen: map[string]time.Time{}, lastPinged: map[string]time.Time{},
		pools: map[string]*ownedPool{}, loads: newLoadTable(), paces: map[string]knownPace{}, outliers: outlier.New(), hedges: budget.NewRetry(hedgeBudget()), exchanging: map[string]bool{}, pinging: map[string]bool{}, hostRecords: map[string]hostRecord{}, drains: drain.New(newWorkLimit(c)),
	}
	f.rates.borrowers = map[string]*borrower{}
	f.table = assignment.New(c.Self.ID, f.view)
	if c.Features.UnevenMembers {
		f.table.Balance()
	}
	var err error
	f.node, err = peer.New(peer.Config{
		Listen: c.PeerListen, Secret: c.Secret, Self: c.Self, Log: c.Log.Named("peer"), HandleCall: f.handleCall,
		HandleStream:    func(_ context.Context, s *peer.Stream) { _ = s.Close() },
		OnLinkFailed:    func(id string, ended bool) { f.updateView(membership.LinkFailed{ID: id, Ended: ended}) },
		OnAnswer:        func(id string) { f.updateView(membership.HostAnswered{ID: id}) },
		OnHostConnected: func(h membership.Host) { f.updateView(membership.HostDiscovered{Host: h, Direct: true}) },
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
	g.Go(func() error { return f.watchStore(x) })
	g.Go(func() error { return f.maintainHostRecord(x) })
	g.Go(func() error { return f.runExchange(x) })
	g.Go(func() error { return f.reconcile(x) })
	g.Go(func() error { return f.watchProcessor(x) })
	g.Go(func() error {
		select {
		case err := <-f.failed:
			return err
		case <-x.Done():
			return nil
		}
	})
	err := g.Wait()
	f.stop()
	_ = f.tasks.Wait()
	return err
}

// Catalog returns the configuration in force, or nil before the first one was
// read.
func (f *Daemon) Catalog() *catalog.Catalog { return f.catalog.Load() }

// Ready reports whether the daemon can serve callers.
func (f *Daemon) Ready() bool {
	if f.draining.Load() || f.CallerCatalog() == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.MemberCount() > 0 && !f.cutOff()
}

// CutOff reports whether this daemon can't serve because it is cut off from all
// other daemons, or from the holders of all groups.
func (f *Daemon) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff()
}

// cutOff is CutOff; f.mu is held.
func (f *Daemon) cutOff() bool {
	if f.isolated() {
		return true
	}
	n, held := time.Now(), false
	for _, name := range f.table.Groups() {
		r, ok := f.group(name).Record()
		if !ok || r.Holder.ID == "" {
			continue
		}
		held = true
		if !f.view.CutOff(r.Holder.ID, n) {
			return false
		}
	}
	return held
}

// updateView applies an event to the view of the hosts and logs a change.
func (f *Daemon) updateView(e membership.Event) {
	f.mu.Lock()
	n := time.Now()
	c := f.view.Handle(e, n)
	if e, ok := e.(membership.HostAnswered); ok {
		f.lastSeen[e.ID] = n
	}
	f.mu.Unlock()
	if !c {
		return
	}
	switch e := e.(type) {
	case membership.LinkFailed:
		f.config.Log.Info("host not reachable", "host", e.ID)
	case membership.HostAnswered:
		f.config.Log.Info("host reachable again", "host", e.ID)
	case membership.HostDiscovered:
		f.config.Log.Info("host discovered", "host", e.Host.ID)
	}
}

// lockTimeout is how long the daemon's state may be locked after a panic before the
// daemon ends. Critical sections take microseconds.
const lockTimeout = 2 * time.Second

// sleep waits for d and returns true, or returns false if the context ends
// first.
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

// now reads the boot-time clock (CLOCK_BOOTTIME), by which group leases and
// positions are timed.
func now() time.Time { return boottime.Now() }
