package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/rollout"
)

// Timing of the exchange with peers.
const (
	// exchangeInterval is the longest pause between two exchanges with a
	// neighbour.
	exchangeInterval = 1500 * time.Millisecond
	// notifyInterval follows news told to the neighbours, so that a flood of changes
	// becomes few calls.
	notifyInterval = 300 * time.Millisecond
	// fetchTimeout bounds fetching a bundle or a host list.
	fetchTimeout = 5 * time.Second
	// maxShutdownCalls is the number of hosts told of a leave at a time.
	maxShutdownCalls = 32
)

// versionParams tells what the calling daemon has.
type versionParams struct {
	Host    membership.Host `json:"host"`
	Version uint64          `json:"version"`
	Digest  string          `json:"digest"`
	Roster  rollout.Stamp   `json:"roster"`
}

// versionResult tells what the called daemon has.
type versionResult struct {
	Version uint64        `json:"version"`
	Digest  string        `json:"digest"`
	Roster  rollout.Stamp `json:"roster"`
	// WatcherSilence is the time in nanoseconds since the last sign of a watcher.
	WatcherSilence time.Duration `json:"silence"`
	// UnlistedHosts are live hosts that the platform doesn't list.
	UnlistedHosts []membership.Host `json:"hosts,omitempty"`
	// ShuttingDown maps the IDs of hosts that leave to the time in nanoseconds that the
	// notice still holds.
	ShuttingDown map[string]time.Duration `json:"left,omitempty"`
}

func (d *Daemon) localParams() versionParams {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := versionParams{Host: d.config.Host, Roster: d.roster.Stamp()}
	if d.signedBundle != nil {
		p.Version, p.Digest = d.signedBundle.Bundle.Version, d.signedBundle.Digest
	}
	return p
}

// localVersion answers another daemon, and fetches what that one has newer.
func (d *Daemon) localVersion(p versionParams) versionResult {
	o := d.localParams()
	d.mu.Lock()
	now := time.Now()
	v := versionResult{
		Version: o.Version, Digest: o.Digest, Roster: o.Roster, WatcherSilence: now.Sub(d.watcherSeen),
		UnlistedHosts: d.hostView.Hearsay(now), ShuttingDown: d.hostView.Left(now),
	}
	d.mu.Unlock()
	if p.Host.ID != "" && (p.Version > o.Version || p.Roster.After(o.Roster)) {
		d.startTask(func() error {
			d.fetchNewer(d.ctx, p.Host, p.Version, p.Roster)
			return nil
		})
	}
	return v
}

// exchangeVersions asks a neighbour at a time what it has, so that bundles and
// host lists spread without the platform.
func (d *Daemon) exchangeVersions(x context.Context) error {
	for x.Err() == nil {
		g := &errgroup.Group{}
		for _, h := range d.exchangePartners() {
			g.Go(func() error {
				d.exchangeWith(x, h)
				return nil
			})
		}
		_ = g.Wait()
		sleep(x, jitter(exchangeInterval))
	}
	return nil
}

// exchangePartners picks a neighbour, or a seed while there is none, and a host that
// is passed over, so that its return is noticed.
func (d *Daemon) exchangePartners() []membership.Host {
	d.mu.Lock()
	now := time.Now()
	n := rollout.Neighbours(d.config.Host, d.hostView.Live(now))
	s := d.hostView.Suspects(now)
	d.mu.Unlock()
	if len(n) == 0 {
		for _, a := range d.config.Seeds {
			n = append(n, peer.Seed(a))
		}
	}
	var o []membership.Host
	for _, l := range [][]membership.Host{n, s} {
		if len(l) > 0 {
			o = append(o, l[rand.IntN(len(l))])
		}
	}
	return o
}

func (d *Daemon) exchangeWith(x context.Context, h membership.Host) {
	x, stop := context.WithTimeout(x, callTimeout)
	defer stop()
	p := d.localParams()
	var v versionResult
	if err := d.node.Call(x, h, methodVersion, p, &v); err != nil {
		d.config.Log.Debug("peer gives no version", "host", h.ID, "error", err)
		return
	}
	d.mu.Lock()
	if t := time.Now().Add(-v.WatcherSilence); t.After(d.watcherSeen) {
		d.watcherSeen = t
	}
	d.mu.Unlock()
	for _, k := range v.UnlistedHosts {
		d.handleMembership(membership.Met{Host: k})
	}
	for id, t := range v.ShuttingDown {
		d.handleMembership(membership.Left{ID: id, Remaining: t})
	}
	if v.Version == p.Version && v.Digest != p.Digest {
		d.config.Log.Error("bundle refused", "from", h.ID, "version", v.Version, "error", "the version is taken by another bundle")
	}
	d.fetchNewer(x, h, v.Version, v.Roster)
}

// fetchNewer gets from a peer what it has newer, unless another fetch runs.
func (d *Daemon) fetchNewer(x context.Context, h membership.Host, version uint64, s rollout.Stamp) {
	if !d.fetchMu.TryLock() {
		return
	}
	defer d.fetchMu.Unlock()
	x, stop := context.WithTimeout(context.WithoutCancel(x), fetchTimeout)
	defer stop()
	if version > d.version() {
		var b []byte
		if err := d.node.Call(x, h, methodBundle, nil, &b); err != nil {
			d.config.Log.Debug("peer gives no bundle", "host", h.ID, "error", err)
			return
		}
		d.applyBundle(x, b, h.ID)
	}
	p := d.localParams()
	if !s.After(p.Roster) {
		return
	}
	var u rollout.Update
	if err := d.node.Call(x, h, methodHosts, p, &u); err != nil {
		d.config.Log.Debug("peer gives no hosts", "host", h.ID, "error", err)
		return
	}
	d.mu.Lock()
	ok := d.roster.Apply(u)
	d.mu.Unlock()
	if ok {
		d.applyHostList()
	}
}

func (d *Daemon) localHosts(s rollout.Stamp) rollout.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Since(s)
}

// notifyNeighbours has the neighbours told of news.
func (d *Daemon) notifyNeighbours() {
	select {
	case d.notify <- struct{}{}:
	default:
	}
}

// sendNotifications passes news on to the neighbours.
func (d *Daemon) sendNotifications(x context.Context) error {
	for {
		select {
		case <-x.Done():
			return nil
		case <-d.notify:
		}
		g := &errgroup.Group{}
		for _, h := range d.neighbours() {
			g.Go(func() error {
				d.exchangeWith(x, h)
				return nil
			})
		}
		_ = g.Wait()
		sleep(x, jitter(notifyInterval))
	}
}

func (d *Daemon) neighbours() []membership.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rollout.Neighbours(d.config.Host, d.hostView.Live(time.Now()))
}

// announceShutdown tells all live hosts that this one leaves.
func (d *Daemon) announceShutdown() {
	d.mu.Lock()
	l := d.hostView.Live(time.Now())
	d.mu.Unlock()
	d.sendShutdownNotice(l, d.config.Host.ID)
}

// handleShutdownNotice passes a leave notice on that is new.
func (d *Daemon) handleShutdownNotice(id string) {
	if !d.handleMembership(membership.Left{ID: id}) {
		return
	}
	d.startTask(func() error {
		d.sendShutdownNotice(d.neighbours(), id)
		return nil
	})
}

func (d *Daemon) sendShutdownNotice(l []membership.Host, id string) {
	x, stop := context.WithTimeout(d.ctx, callTimeout)
	defer stop()
	g := &errgroup.Group{}
	g.SetLimit(maxShutdownCalls)
	for _, h := range l {
		g.Go(func() error {
			if err := d.node.Call(x, h, methodLeave, hostParams{ID: id}, nil); err != nil {
				d.config.Log.Debug("leave not announced", "host", h.ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}
