package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Timing of the calls to the store.
const (
	// storeTimeout bounds a call other than a watch.
	storeTimeout = 1500 * time.Millisecond
	// hostLeaseTime is how long the record of this host outlives the process.
	// It is longer than the store's usual outages, and about as long as a group's
	// lease: the groups of a host that reaches neither the store nor the others
	// are then free.
	hostLeaseTime = 12 * time.Second
	// hostLeaseInterval is how often the lease of that record is renewed.
	hostLeaseInterval = 4 * time.Second
	// evictDelay is how long a member is kept after its record was removed: a
	// record that expired while the store was unavailable is back within two
	// seconds.
	evictDelay = 2500 * time.Millisecond
)

// watchStore keeps the local copy of the store up to date until the context
// ends.
func (f *Daemon) watchStore(x context.Context) error {
	reload := false
	for n := 0; x.Err() == nil; {
		reload = reload && f.isWatcher() || f.copy.Position().Revision == 0 || f.eraReadDue()
		var err error
		started := time.Now()
		if reload {
			err = f.loadStore(x)
		} else {
			err = f.watchOnce(x)
		}
		if err == nil {
			if n > 0 {
				f.config.Log.Info("store updates resumed", "position", f.copy.Position().String(), "failures", n, "copy-age-ms", f.copyAgeMillis())
			}
			n, reload = 0, false
			continue
		}
		if x.Err() != nil {
			break
		}
		if n == 0 {
			f.config.Log.Info("store updates interrupted", "error", err, "position", f.copy.Position().String(), "pending-ms", time.Since(started).Milliseconds(), "copy-age-ms", f.copyAgeMillis())
		}
		n++
		if needsReload(err) && !reload {
			reload = true
			continue
		}
		sleep(x, storecopy.Backoff(n, nil))
	}
	return nil
}

// needsReload reports whether a watch failed because the copy can't be brought up to
// date by changes alone.
func needsReload(err error) bool {
	var c *store.CompactedError
	var e *store.EraChangedError
	return errors.As(err, &c) || errors.As(err, &e)
}

// copyAgeMillis returns the age of the local copy of the store in milliseconds, or -1
// if it was never known to be current.
func (f *Daemon) copyAgeMillis() int64 {
	d, ok := f.copy.Age(now())
	if !ok {
		return -1
	}
	return d.Milliseconds()
}

// loadStore reads all items of the store.
func (f *Daemon) loadStore(x context.Context) error {
	y, stop := context.WithTimeout(x, 2*storeTimeout)
	defer stop()
	t := now()
	f.metrics.countStoreCall(purposeLoad)
	l, p, err := f.config.Store.Range(y, "")
	f.observeStoreEra()
	if err != nil {
		f.staleCopyAllowed.Store(true)
		return err
	}
	f.applyUpdate(storecopy.Update{Items: f.redact(l), Position: p, CurrentAt: t, Complete: true}, fromStore)
	f.observeConfirmation(fromStore)
	f.config.Log.Info("store read", "position", p.String(), "items", len(l))
	return nil
}

// watchOnce waits for the next changes of the store and applies them. On a host
// that doesn't watch the store it only waits: exchanges fetch the changes there.
func (f *Daemon) watchOnce(x context.Context) error {
	if !sleep(x, storecopy.WatchDelay) {
		return Error.Wrap(x.Err())
	}
	if !f.isWatcher() {
		sleep(x, storecopy.WatchDelay)
		return nil
	}
	t := now()
	f.metrics.countStoreCall(purposeWatch)
	y, stop := context.WithTimeout(x, storecopy.WatchTimeout)
	defer stop()
	l, p, err := f.config.Store.Watch(y, "", f.copy.Position(), storecopy.WatchPollTime)
	if err != nil {
		return err
	}
	f.applyUpdate(storecopy.Update{Items: f.redact(l), Position: p, CurrentAt: t}, fromStore)
	f.observeStoreEra()
	f.observeConfirmation(fromStore)
	return nil
}

// fromStore is where an update comes from that the store itself returned, in logs.
const fromStore = "store"

// applyUpdate updates the local copy of the store and applies the items that were new
// to it. from is fromStore or the ID of the daemon that sent the update.
func (f *Daemon) applyUpdate(u storecopy.Update, from string) {
	f.applying.Lock()
	defer f.applying.Unlock()
	was, listed := f.copy.Position(), f.hostListed()
	f.appliedAfter = time.Time{}
	if t := now(); f.copy.Position().Era == u.Position.Era {
		if age, ok := f.copy.Age(t); ok {
			f.appliedAfter = t.Add(-age)
		}
	}
	f.applyItems(f.copy.Apply(u, time.Now()), from)
	// If the copy before had not shown this host's record yet, no removal tells that a later
	// era lacks it, and the number of its lease may have been given out again.
	if was.Revision > 0 && f.copy.Position().Era > was.Era && !listed && !f.hostListed() {
		f.hostRecordLost()
	}
}

// hostListed reports whether the local copy of the store holds this host's record.
func (f *Daemon) hostListed() bool {
	i, _ := f.copy.Item(hostPrefix + f.config.Self.ID)
	return i.Revision > 0 && !i.Removed
}

// applyItems applies changed items of the store.
func (f *Daemon) applyItems(l []store.Item, from string) {
	hosts := false
	for _, i := range l {
		f.contain("store item", func() { hosts = f.applyItem(i, from) || hosts })
	}
	if hosts {
		f.updateHosts()
	}
}

// applyItem applies a changed item of the store, and reports whether it changed a
// host.
func (f *Daemon) applyItem(i store.Item, from string) bool {
	switch {
	case i.Key == f.config.Decoder.ConfigurationKey:
		f.applyConfiguration(i, from)
	case strings.HasPrefix(i.Key, f.config.Decoder.MemberPrefix):
		f.applyMember(i)
	case strings.HasPrefix(i.Key, groupPrefix):
		f.applyRecord(i, time.Time{})
	case strings.HasPrefix(i.Key, hostPrefix):
		return f.applyHostRecord(i)
	}
	return false
}

// applyConfiguration puts a configuration in force if its version is newer.
func (f *Daemon) applyConfiguration(i store.Item, from string) {
	if i.Removed {
		return
	}
	k, err := f.config.Decoder.Configuration(i.Value)
	if err != nil {
		f.config.Log.Error("invalid configuration", "position", i.Position.String(), "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.catalog.Load()
	if old != nil && k.Version <= old.Version {
		return
	}
	f.observeGroups(old, k)
	f.catalog.Store(k)
	f.configuration = i.Value
	f.metrics.configurationVersion.Set(float64(k.Version))
	f.config.Log.Info("configuration in force", "version", k.Version, "databases", len(k.Databases), "groups", len(k.Groups), "teams", len(k.Teams), "position", i.Position.String(), "from", from, "copy-age-ms", f.copyAgeMillis())
}

// applyMember updates a member from its record. A removed member is kept for
// evictDelay; a record that can't be decoded changes nothing.
func (f *Daemon) applyMember(i store.Item) {
	id := strings.TrimPrefix(i.Key, f.config.Decoder.MemberPrefix)
	var m catalog.Member
	var sequence uint64
	var err error
	if !i.Removed {
		m, sequence, err = f.config.Decoder.Member(i.Key, i.Value)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.table.Member(id)
	switch {
	case err != nil:
		f.config.Log.Warn("invalid member record", "member", id, "error", err)
		return
	case i.Removed:
		if known && f.evictAt[id].IsZero() {
			f.evictAt[id] = time.Now().Add(evictDelay)
			f.config.Log.Info("member removed", "member", id, "group", old.Group)
		}
		return
	}
	if f.isOutdated(m, sequence) {
		f.config.Log.Info("member record outdated", "member", id, "position", i.Position.String(), "sequence", sequence, "known", f.sequences[id])
		return
	}
	delete(f.evictAt, id)
	f.sequences[id] = sequence
	if !f.config.Features.UnevenMembers {
		m.ColdRemaining = 0
	}
	f.table.SetMember(m)
	f.observeDrain(m, known, f.appliedAfter)
	if known {
		f.observeRestart(old, m)
	}
	// The remaining time changes with each report of a cold member.
	if old.ColdRemaining = m.ColdRemaining; old != m {
		f.config.Log.Info("member updated", "member", id, "group", m.Group, "failure-domain", m.FailureDomain, "draining", m.Draining, "primary", m.Primary, "born", m.StartMillis)
	}
}

// applyRecord updates a group from its record. requested is when the record was
// requested from the store; zero if a watch or an exchange returned it.
func (f *Daemon) applyRecord(i store.Item, requested time.Time) {
	var r lease.Record
	if len(i.Value) > 0 && !i.Removed {
		if err := json.Unmarshal(i.Value, &r); err != nil {
			f.config.Log.Error("invalid group record", "key", i.Key, "error", err)
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(strings.TrimPrefix(i.Key, groupPrefix))
	was, _ := g.Record()
	before := g.RecordPosition()
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: i.Position, Removed: i.Removed, RequestedAt: requested}}, now())
	if before.Before(i.Position) {
		f.config.Log.Info("group record updated", "group", g.name, "position", i.Position.String(), "restored", g.RecordRestored(), "holder", r.Holder.ID, "was", was.Holder.ID, "prior", r.PreviousHolders, "primary", r.Primary, "term", r.Term, "target", r.Target, "target-term", r.TargetTerm, "earlier-targets", r.EarlierTargets, "calls-pending", r.CallsPending)
	}
}

// maintainHostRecord keeps the record of this host in the store until the
// context ends.
func (f *Daemon) maintainHostRecord(x context.Context) error {
	for n := 0; x.Err() == nil; {
		err := f.registerHost(x)
		if err == nil {
			n = 0
			err = f.keepHostLease(x)
		}
		if x.Err() != nil {
			break
		}
		f.config.Log.Info("host registration failed", "error", err)
		n++
		sleep(x, storecopy.Backoff(n, nil))
	}
	return nil
}

// keepHostLease renews the lease until it has ended or the context ends. A renewal
// that wasn't answered is repeated soon: the lease outlasts few of them.
func (f *Daemon) keepHostLease(x context.Context) error {
	for n := 0; ; {
		d := hostLeaseInterval
		if n > 0 {
			d = storecopy.Backoff(n, nil)
		}
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-f.registerAgain:
			t.Stop()
			sleep(x, f.registrationDelay())
			return Error.Wrap(&store.LeaseEndedError{LeaseID: f.currentHostLease()})
		case <-x.Done():
			t.Stop()
			return Error.Wrap(x.Err())
		}
		err := f.renewHostLease(x)
		var e *store.LeaseEndedError
		switch {
		case errors.As(err, &e):
			return err
		case err == nil:
			n = 0
		default:
			n++
			f.config.Log.Debug("host lease renewal failed", "error", err, "failures", n)
		}
	}
}

// registerHost obtains a new lease from the store and writes the record of this
// host under it.
func (f *Daemon) registerHost(x context.Context) error {
	x, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	f.metrics.countStoreCall(purposeHostLease)
	l, err := f.config.Store.GrantLease(x, hostLeaseTime)
	f.observeStoreEra()
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
	h := f.config.Self
	h.Draining = f.draining.Load()
	v, err := json.Marshal(h)
	if err != nil {
		return Error.Wrap(err)
	}
	f.metrics.countStoreCall(purposeHostRecord)
	_, err = f.config.Store.Put(x, store.Write{Key: hostPrefix + h.ID, Value: v, LeaseID: l})
	return err
}

// renewHostLease renews the lease. Only *store.LeaseEndedError means that it has
// ended: a delayed or missing answer doesn't.
func (f *Daemon) renewHostLease(x context.Context) error {
	x, stop := context.WithTimeout(x, storeTimeout)
	defer stop()
	f.metrics.countStoreCall(purposeHostRenewal)
	return f.config.Store.RenewLease(x, f.currentHostLease())
}

func (f *Daemon) currentHostLease() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostLease
}
