package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// Timing and limits of exchanges.
const (
	// maxReportedSuspects is the number of suspects that a reply contains.
	maxReportedSuspects = 8
	// suspectCheckInterval is how often a host that another daemon suspects is
	// checked at most.
	suspectCheckInterval = 2 * time.Second
	// pingTimeout is how long a silent host has to answer a ping, ten round trips to
	// another region. Until then its groups are without a holder.
	pingTimeout = 600 * time.Millisecond
)

// exchangeParams requests the items that changed after a position of the store.
type exchangeParams struct {
	store.Position
	// ConfigurationVersion is the version in force at the asker.
	ConfigurationVersion uint64 `json:"configuration-version,omitempty"`
	// Unpacks is set if the asker can unpack values.
	Unpacks bool `json:"unpacks,omitempty"`
}

// exchangeReply returns these items with the position of the daemon's own copy.
type exchangeReply struct {
	store.Position
	Items []store.Item `json:"items"`
	// Packed holds the compressed values that are missing from Items, by key.
	Packed map[string][]byte `json:"packed,omitempty"`
	// Complete is set if the items are all items of the store: the copy is of a later
	// era, or the daemon doesn't know all removals since the requested position any
	// more.
	Complete bool `json:"complete,omitempty"`
	// StoreEra is the highest era of the store that the daemon has heard of, if EraAge
	// isn't zero: the time since some daemon first heard of it.
	StoreEra uint64        `json:"store-era,omitempty"`
	EraAge   time.Duration `json:"era-age,omitempty"`
	// FirstEra is set if no process ran in an earlier era, as far as the daemon knows.
	FirstEra bool `json:"first-era,omitempty"`
	// Records are the groups' records that the daemon knows and that the store may
	// have lost.
	Records map[string]lease.Record `json:"records,omitempty"`
	// Configuration is the encoding of a newer configuration than the asker's that
	// the store has lost.
	Configuration []byte `json:"configuration,omitempty"`
	// Hosts are live hosts that the platform doesn't list.
	Hosts []membership.Host `json:"hosts"`
	// Age is the time since the daemon's copy was known to be current.
	Age time.Duration `json:"age"`
	// Suspects are the IDs of hosts that don't answer the daemon.
	Suspects []string `json:"suspects,omitempty"`
}

// currentOverlay returns the hosts that this daemon exchanges with; f.mu is held.
func (f *Daemon) currentOverlay() gossip.Overlay {
	return f.overlay.Overlay(f.config.Self, f.view, time.Now())
}

// runExchange fetches changes of the store from other daemons until the context
// ends: from an upstream and from a neighbor in each round, and every other round
// from a host that is suspected, which may be back.
func (f *Daemon) runExchange(x context.Context) error {
	for n := 0; sleep(x, storecopy.ExchangeDelay(f.copy.Position().Revision > 0, nil)); n++ {
		f.mu.Lock()
		o := f.currentOverlay()
		var suspects []membership.Host
		if n%2 == 0 {
			suspects = f.view.Suspects(time.Now())
		}
		u, ok := f.source.Upstream(o)
		f.mu.Unlock()
		if ok {
			f.startExchange(u, true)
		}
		for _, l := range [][]membership.Host{o.Neighbors, suspects} {
			if len(l) > 0 {
				f.startExchange(l[rand.IntN(len(l))], false)
			}
		}
		if s, ok := f.randomSeed(); ok && len(o.Neighbors) == 0 {
			f.startExchange(peer.SeedHost(s), true)
		}
	}
	return nil
}

// randomSeed returns the address of a seed other than this host.
func (f *Daemon) randomSeed() (string, bool) {
	l := slices.DeleteFunc(slices.Clone(f.config.Seeds), func(s string) bool { return s == f.config.Self.PeerAddress })
	if len(l) == 0 {
		return "", false
	}
	return l[rand.IntN(len(l))], true
}

// startExchange starts an exchange with a host, unless one is under way, so that a
// silent host doesn't delay the others.
func (f *Daemon) startExchange(h membership.Host, upstream bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exchanging[h.ID] {
		return
	}
	f.exchanging[h.ID] = true
	f.spawn(func(x context.Context) {
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.exchanging, h.ID)
		}()
		f.exchangeWith(x, h, upstream)
	})
}

// exchangeWith fetches changes of the store and reports about hosts from a daemon;
// upstream states that this daemon relies on it for changes.
func (f *Daemon) exchangeWith(x context.Context, h membership.Host, upstream bool) {
	y, stop := context.WithTimeout(x, controlTimeout)
	defer stop()
	t := now()
	var o exchangeReply
	err := f.node.Call(y, h, methodExchange, exchangeParams{Position: f.copy.Position(), ConfigurationVersion: f.configurationVersion(), Unpacks: true}, &o)
	if err == nil {
		err = unpackValues(o.Items, o.Packed)
	}
	if upstream {
		f.observeUpstream(o, err)
	}
	if err != nil {
		f.config.Log.Debug("exchange failed", "host", h.ID, "error", err)
		return
	}
	if !storecopy.IsCurrent(o.Age) && f.copy.Position().Revision == 0 && !f.staleCopyAllowed.Load() {
		f.config.Log.Info("copy of the store declined", "host", h.ID, "position", o.Position.String(), "age-ms", o.Age.Milliseconds())
		return
	}
	for _, h := range o.Hosts {
		f.updateView(membership.HostDiscovered{Host: h})
	}
	if o.EraAge > 0 {
		f.observeEra(o.StoreEra, t.Add(-o.EraAge), o.FirstEra)
	}
	// The reply was computed after t, so that the copy was current at t minus Age
	// or later.
	f.applyUpdate(storecopy.Update{Items: o.Items, Position: o.Position, CurrentAt: t.Add(-o.Age), Complete: o.Complete}, h.ID)
	f.applyReportedRecords(o.Records)
	if len(o.Configuration) > 0 {
		f.applyConfiguration(store.Item{Key: f.config.Decoder.ConfigurationKey, Value: o.Configuration}, h.ID)
	}
	f.observeConfirmation(h.ID)
	f.checkReportedSuspects(o.Suspects)
}

// observeUpstream records the result of an exchange with an upstream.
func (f *Daemon) observeUpstream(o exchangeReply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.source.UpstreamFailed()
		return
	}
	f.source.UpstreamAnswered(f.currentOverlay(), o.Age)
}

// answerExchange returns what changed after the requested revision.
func (f *Daemon) answerExchange(p exchangeParams) exchangeReply {
	u := f.copy.ChangesSince(p.Position)
	k := f.newerConfiguration(p.ConfigurationVersion)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	o := exchangeReply{
		Position: u.Position, Items: u.Items, Complete: u.Complete, Hosts: f.view.UnlistedHosts(n),
		Age: now().Sub(u.CurrentAt), Records: f.reportedRecords(), Configuration: k,
	}
	if p.Unpacks {
		o.Items, o.Packed = f.packValues(u.Items)
	}
	if f.era.known {
		o.StoreEra, o.EraAge, o.FirstEra = f.era.era, max(now().Sub(f.era.since), 1), f.era.first
	}
	for _, h := range f.view.Suspects(n) {
		if f.view.IsSuspect(h.ID, n) && len(o.Suspects) < maxReportedSuspects {
			o.Suspects = append(o.Suspects, h.ID)
		}
	}
	return o
}

// checkReportedSuspects checks the live hosts that don't answer another daemon. The
// report alone isn't believed: the other daemon may be the one that is cut off.
func (f *Daemon) checkReportedSuspects(l []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := time.Now()
	for _, id := range l {
		h, ok := f.view.Host(id)
		if !ok || id == f.config.Self.ID || !f.isLive(id) || n.Sub(f.lastSeen[id]) < storecopy.ExchangeInterval || n.Sub(f.lastPinged[id]) < suspectCheckInterval {
			continue
		}
		f.startPing(h, n)
	}
}

// startPing pings a host, unless that is under way already; f.mu is held.
func (f *Daemon) startPing(h membership.Host, n time.Time) {
	if f.pinging[h.ID] {
		return
	}
	f.pinging[h.ID], f.lastPinged[h.ID] = true, n
	f.spawn(func(x context.Context) {
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.pinging, h.ID)
		}()
		f.pingHost(x, h)
	})
}

// pingHost checks whether a host's process still answers, and marks it as not
// reachable otherwise.
func (f *Daemon) pingHost(x context.Context, h membership.Host) {
	y, stop := context.WithTimeout(x, pingTimeout)
	defer stop()
	err := f.node.Call(y, h, methodPing, nil, nil)
	if err == nil {
		return
	}
	f.mu.Lock()
	known := f.isSuspect(h.ID)
	f.mu.Unlock()
	f.config.Log.Info("host does not answer", "host", h.ID, "error", err, "known", known)
	// A failed link has been reported already.
	if !known {
		f.updateView(membership.LinkFailed{ID: h.ID, Ended: peer.ShowsEnd(err)})
	}
}

// isWatcher reports whether this host watches the store, and logs a change.
func (f *Daemon) isWatcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.currentOverlay()
	age, ok := f.copy.Age(now())
	w := !ok || f.source.ShouldWatch(o, age)
	if w != f.watcher {
		f.watcher = w
		f.config.Log.Info("store watcher changed", "watches", w, "designated", o.Watches, "copy-age-ms", f.copyAgeMillis())
	}
	return w
}
