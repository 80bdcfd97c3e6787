package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Timing of the calls to the store.
const (
	// storeTimeout bounds a call other than a watch.
	storeTimeout = 1500 * time.Millisecond
	// watchDelay is the delay between two watches, so that changes in quick
	// succession cost one call.
	watchDelay = 60 * time.Millisecond
	// watchersPerDomain is the number of hosts in each failure domain that watch
	// the store; the others poll these for changes.
	watchersPerDomain = 2
	// syncTimeout is how long a host goes without an exchange with a watching host
	// before it watches the store itself.
	syncTimeout = 3 * time.Second
	// watchPollTime is how long the store holds a watch without changes. A
	// connection that fails silently delays changes by no more than this.
	watchPollTime = 8 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call,
	// before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// hostLeaseTime is how long the record of this host outlives the process.
	hostLeaseTime = 10 * time.Second
	// hostLeaseInterval is how often the lease of that record is renewed.
	hostLeaseInterval = 3 * time.Second
	// evictDelay is how long a member is kept after its record was removed: a
	// record that expired while the store was unavailable is back within two
	// seconds.
	evictDelay = 2500 * time.Millisecond
)

// backoff returns the delay after the given number of failures, with jitter.
func backoff(n int) time.Duration {
	d := min(minRetryDelay<<min(n, 10), maxRetryDelay)
	return d/2 + rand.N(d)
}

// watchStore keeps the local copy of the store up to date until the context
// ends.
func (f *Daemon) watchStore(x context.Context) error {
	for n := 0; x.Err() == nil; {
		err := f.loadStore(x)
		for err == nil {
			n = 0
			err = f.watchOnce(x)
		}
		if x.Err() != nil {
			break
		}
		var c *store.CompactedError
		f.c.Log.Info("store updates interrupted", "error", err, "revision", f.cache.currentRevision(), "failures", n)
		if errors.As(err, &c) {
			continue
		}
		n++
		sleep(x, backoff(n))
		for x.Err() == nil && f.cache.currentRevision() > 0 {
			if err = f.watchOnce(x); err == nil {
				if n > 0 {
					f.c.Log.Info("store updates resumed", "revision", f.cache.currentRevision())
				}
				n = 0
				continue
			}
			if errors.As(err, &c) {
				break
			}
			if n == 0 {
				f.c.Log.Info("store updates interrupted", "error", err, "revision", f.cache.currentRevision())
			}
			n++
			sleep(x, backoff(n))
		}
	}
	return nil
}

// loadStore reads all items of the store.
func (f *Daemon) loadStore(x context.Context) error {
	y, stop := context.WithTimeout(x, 2*storeTimeout)
	defer stop()
	l, r, err := f.c.Store.Range(y, "")
	if err != nil {
		return err
	}
	f.applyItems(f.cache.replace(l, r, time.Now()))
	f.c.Log.Info("store read", "revision", r, "items", len(l))
	return nil
}

// watchOnce waits for the next changes of the store and applies them. On a host
// that doesn't watch the store it only waits: exchanges fetch the changes there.
func (f *Daemon) watchOnce(x context.Context) error {
	if !sleep(x, watchDelay) {
		return Error.Wrap(x.Err())
	}
	if !f.isWatcher() {
		sleep(x, watchDelay)
		return nil
	}
	l, r, err := f.c.Store.Watch(x, "", f.cache.currentRevision(), watchPollTime)
	if err != nil {
		return err
	}
	f.applyItems(f.cache.apply(l, r, time.Now()))
	return nil
}

// isWatcher reports whether this host watches the store: it is one of its
// failure domain's watchers, or has not exchanged with one for syncTimeout.
func (f *Daemon) isWatcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.syncedAt) > syncTimeout {
		return true
	}
	return slices.ContainsFunc(f.watchers(), func(h membership.Host) bool { return h.ID == f.c.Self.ID })
}

// watchers returns the hosts that watch the store for this failure domain, the
// first live ones by ID; f.mu is held.
func (f *Daemon) watchers() []membership.Host {
	var o []membership.Host
	for _, h := range f.view.Live(time.Now()) {
		if h.FailureDomain == f.c.Self.FailureDomain && len(o) < watchersPerDomain {
			o = append(o, h)
		}
	}
	return o
}

// applyItems applies changed items of the store.
func (f *Daemon) applyItems(l []store.Item) {
	hosts := false
	for _, i := range l {
		switch {
		case i.Key == f.c.Decoder.ConfigurationKey:
			f.applyConfiguration(i)
		case strings.HasPrefix(i.Key, f.c.Decoder.MemberPrefix):
			f.applyMember(i)
		case strings.HasPrefix(i.Key, groupPrefix):
			f.applyRecord(i, time.Time{})
		case strings.HasPrefix(i.Key, hostPrefix):
			hosts = true
		}
	}
	if hosts {
		f.applyHosts()
	}
}

// applyConfiguration puts a configuration in force if its version is newer.
func (f *Daemon) applyConfiguration(i store.Item) {
	if i.Removed {
		return
	}
	k, err := f.c.Decoder.Configuration(i.Value)
	if err != nil {
		f.c.Log.Error("configuration not usable", "revision", i.Revision, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.catalog.Load()
	if old != nil && k.Version <= old.Version {
		return
	}
	f.catalog.Store(k)
	f.c.Log.Info("configuration in force", "version", k.Version, "databases", len(k.Databases), "groups", len(k.Groups))
}

// applyMember updates a member from its record. A removed member is kept for
// evictDelay; a record that can't be decoded changes nothing.
func (f *Daemon) applyMember(i store.Item) {
	id := strings.TrimPrefix(i.Key, f.c.Decoder.MemberPrefix)
	var m catalog.Member
	var err error
	if !i.Removed {
		m, err = f.c.Decoder.Member(i.Key, i.Value)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.members[id]
	switch {
	case err != nil:
		f.c.Log.Warn("member record not usable", "member", id, "error", err)
		return
	case i.Removed:
		if known && f.evictAt[id].IsZero() {
			f.evictAt[id] = time.Now().Add(evictDelay)
			f.c.Log.Info("member removed", "member", id, "group", old.Group)
		}
		return
	}
	delete(f.evictAt, id)
	if old != m {
		f.members[id] = m
		f.c.Log.Info("member updated", "member", id, "group", m.Group, "failure-domain", m.FailureDomain, "draining", m.Draining, "primary", m.Primary, "born", m.StartMillis)
	}
}

// applyHosts updates the view from the host records in the store.
func (f *Daemon) applyHosts() {
	l, _ := f.cache.changesSince(0)
	var o []membership.Host
	for _, i := range l {
		if i.Removed || !strings.HasPrefix(i.Key, hostPrefix) {
			continue
		}
		var h membership.Host
		if err := json.Unmarshal(i.Value, &h); err != nil {
			f.c.Log.Warn("host record not usable", "key", i.Key, "error", err)
			continue
		}
		o = append(o, h)
	}
	f.updateView(membership.ListReceived{Hosts: o})
}

// applyRecord updates a group from its record. requested is when the record was
// requested from the store; zero if a watch or an exchange returned it.
func (f *Daemon) applyRecord(i store.Item, requested time.Time) {
	var r lease.Record
	if len(i.Value) > 0 && !i.Removed {
		if err := json.Unmarshal(i.Value, &r); err != nil {
			f.c.Log.Error("group record not usable", "key", i.Key, "error", err)
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(strings.TrimPrefix(i.Key, groupPrefix))
	was, rev, _ := g.Record()
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Revision: i.Revision, RequestedAt: requested}}, now())
	if i.Revision > rev {
		f.c.Log.Info("group record updated", "group", g.name, "revision", i.Revision, "holder", r.Holder.ID, "was", was.Holder.ID, "prior", r.PreviousHolders, "primary", r.Primary, "term", r.Term, "target", r.Target)
	}
}

// maintainHostRecord keeps the record of this host in the store until the
// context ends.
func (f *Daemon) maintainHostRecord(x context.Context) error {
	for n := 0; x.Err() == nil; {
		err := f.registerHost(x)
		for err == nil && sleep(x, hostLeaseInterval) {
			n = 0
			err = f.renewHostLease(x)
		}
		if x.Err() != nil {
			break
		}
		f.c.Log.Info("host record not kept in the store", "error", err)
		n++
		sleep(x, backoff(n))
	}
	return nil
}

// registerHost obtains a new lease from the store and writes the record of this
// host under it.
func (f *Daemon) registerHost(x context.Context) error {
	x, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	l, err := f.c.Store.GrantLease(x, hostLeaseTime)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.hostLease = l
	f.mu.Unlock()
	return f.writeHostRecord(x)
}

// writeHostRecord writes the record of this host under the current lease.
func (f *Daemon) writeHostRecord(x context.Context) error {
	f.mu.Lock()
	l := f.hostLease
	f.mu.Unlock()
	h := f.c.Self
	h.Draining = f.draining.Load()
	v, err := json.Marshal(h)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.c.Store.Put(x, store.Write{Key: hostPrefix + h.ID, Value: v, LeaseID: l})
	return err
}

// renewHostLease renews the lease. It returns an error only if the lease has ended:
// a delayed or missing answer doesn't mean that.
func (f *Daemon) renewHostLease(x context.Context) error {
	x, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	f.mu.Lock()
	l := f.hostLease
	f.mu.Unlock()
	err := f.c.Store.RenewLease(x, l)
	var e *store.LeaseEndedError
	if err != nil && !errors.As(err, &e) {
		f.c.Log.Debug("host lease not renewed", "error", err)
		return nil
	}
	return err
}
