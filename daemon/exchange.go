package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/store"
)

// Timing and limits of the exchange with peers.
const (
	// exchangeInterval is the maximum delay between two exchanges of versions.
	exchangeInterval = 1500 * time.Millisecond
	// notifyInterval is the maximum delay after an update to the neighbors, so
	// that a burst of changes causes few calls.
	notifyInterval = 300 * time.Millisecond
	// fetchTimeout limits fetching a bundle and a host list.
	fetchTimeout = 5 * time.Second
	// maxDrainNoticeCalls limits the concurrent calls that send a drain notice.
	maxDrainNoticeCalls = 32
)

// versionParams are the versions that the calling daemon has.
type versionParams struct {
	Host            membership.Host `json:"host"`
	BundleVersion   uint64          `json:"version"`
	BundleDigest    string          `json:"digest"`
	HostListVersion store.Position  `json:"roster"`
}

// versionResult is what the called daemon has.
type versionResult struct {
	BundleVersion   uint64         `json:"version"`
	BundleDigest    string         `json:"digest"`
	HostListVersion store.Position `json:"roster"`
	// WatcherSilence is the time in nanoseconds since some daemon was last
	// known to watch the platform.
	WatcherSilence time.Duration `json:"silence"`
	// PlatformSilence is the time in nanoseconds since the newest query was sent that
	// the platform is known to have answered, to whichever daemon.
	PlatformSilence time.Duration `json:"platform-silence"`
	// UnlistedHosts are live hosts that the platform doesn't list.
	UnlistedHosts []membership.Host `json:"hosts,omitempty"`
	// DrainNotices maps the IDs of draining hosts to the remaining validity of
	// their notice in nanoseconds.
	DrainNotices map[string]time.Duration `json:"left,omitempty"`
}

// localVersions returns the versions that this daemon has.
func (d *Daemon) localVersions() versionParams {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := versionParams{Host: d.config.Host, HostListVersion: d.hostList.Version()}
	if d.signedBundle != nil {
		p.BundleVersion, p.BundleDigest = d.signedBundle.Bundle.Version, d.signedBundle.Digest
	}
	return p
}

// handleVersionExchange answers another daemon's version exchange, and fetches
// from it what is newer there.
func (d *Daemon) handleVersionExchange(p versionParams) versionResult {
	o := d.localVersions()
	d.mu.Lock()
	now := time.Now()
	v := versionResult{
		BundleVersion: o.BundleVersion, BundleDigest: o.BundleDigest, HostListVersion: o.HostListVersion, WatcherSilence: now.Sub(d.watcherSeen), PlatformSilence: now.Sub(d.platformHeard),
		UnlistedHosts: d.hostView.UnlistedHosts(now), DrainNotices: d.hostView.DrainNotices(now),
	}
	d.mu.Unlock()
	if p.Host.ID != "" && (p.BundleVersion > o.BundleVersion || o.HostListVersion.Before(p.HostListVersion)) {
		d.startTask(func() error {
			d.fetchNewer(d.ctx, p.Host, p.BundleVersion, p.HostListVersion)
			return nil
		})
	}
	return v
}

// exchangeVersions regularly exchanges versions with random hosts, so that
// bundles and host lists are disseminated without the platform.
func (d *Daemon) exchangeVersions(x context.Context) error {
	for x.Err() == nil {
		g := &errgroup.Group{}
		for _, h := range d.exchangePartners() {
			g.Go(func() error {
				d.exchangeVersionsWith(x, h)
				return nil
			})
		}
		_ = g.Wait()
		sleep(x, jitter(exchangeInterval))
	}
	return nil
}

// exchangePartners picks a random neighbor, or a seed while there is none, and
// a random suspected host, so that a host that answers again is detected.
func (d *Daemon) exchangePartners() []membership.Host {
	d.mu.Lock()
	now := time.Now()
	n := gossip.Neighbors(d.config.Host, d.hostView.Live(now))
	s := d.hostView.Suspects(now)
	d.mu.Unlock()
	if len(n) == 0 {
		for _, a := range d.config.Seeds {
			n = append(n, peer.SeedHost(a))
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

// exchangeVersionsWith exchanges versions and membership updates with a host, and
// fetches what is newer there.
func (d *Daemon) exchangeVersionsWith(x context.Context, h membership.Host) {
	x, stop := context.WithTimeout(x, callTimeout)
	defer stop()
	p := d.localVersions()
	var v versionResult
	if err := d.node.Call(x, h, methodVersionExchange, p, &v); err != nil {
		d.config.Log.Debug("version exchange failed", "host", h.ID, "error", err)
		return
	}
	d.observeSilence(v)
	for _, k := range v.UnlistedHosts {
		d.handleMembership(membership.HostDiscovered{Host: k})
	}
	for id, t := range v.DrainNotices {
		d.handleMembership(membership.DrainAnnounced{ID: id, Remaining: t})
	}
	if v.BundleVersion == p.BundleVersion && v.BundleDigest != p.BundleDigest {
		d.config.Log.Error("bundle rejected", "from", h.ID, "version", v.BundleVersion, "error", "another bundle has the same version")
	}
	d.fetchNewer(x, h, v.BundleVersion, v.HostListVersion)
}

// observeSilence records how recently another daemon has heard of a watcher and of
// the platform.
func (d *Daemon) observeSilence(v versionResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if t := now.Add(-v.WatcherSilence); t.After(d.watcherSeen) {
		d.watcherSeen = t
	}
	if t := now.Add(-v.PlatformSilence); t.After(d.platformHeard) {
		d.platformHeard = t
	}
}

// fetchNewer fetches from a peer the bundle and the host list that are newer
// there, unless another fetch is running.
func (d *Daemon) fetchNewer(x context.Context, h membership.Host, bundleVersion uint64, listVersion store.Position) {
	if !d.fetchMu.TryLock() {
		return
	}
	defer d.fetchMu.Unlock()
	x, stop := context.WithTimeout(context.WithoutCancel(x), fetchTimeout)
	defer stop()
	if bundleVersion > d.version() {
		var b []byte
		if err := d.node.Call(x, h, methodBundle, nil, &b); err != nil {
			d.config.Log.Debug("bundle fetch failed", "host", h.ID, "error", err)
			return
		}
		d.applyBundle(x, b, h.ID)
	}
	p := d.localVersions()
	if !p.HostListVersion.Before(listVersion) {
		return
	}
	var u gossip.Update
	if err := d.node.Call(x, h, methodHostList, p, &u); err != nil {
		d.config.Log.Debug("host list fetch failed", "host", h.ID, "error", err)
		return
	}
	d.mu.Lock()
	ok := d.hostList.Apply(u)
	d.mu.Unlock()
	if ok {
		d.applyHostList()
	}
}

// hostListSince returns the changes of the host list since a version.
func (d *Daemon) hostListSince(v store.Position) gossip.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hostList.UpdateSince(v)
}

// notifyNeighbors schedules an exchange with all neighbors.
func (d *Daemon) notifyNeighbors() {
	select {
	case d.notifyPending <- struct{}{}:
	default:
	}
}

// sendNotifications exchanges versions with all neighbors when scheduled.
func (d *Daemon) sendNotifications(x context.Context) error {
	for {
		select {
		case <-x.Done():
			return nil
		case <-d.notifyPending:
		}
		g := &errgroup.Group{}
		for _, h := range d.neighbors() {
			g.Go(func() error {
				d.exchangeVersionsWith(x, h)
				return nil
			})
		}
		_ = g.Wait()
		sleep(x, jitter(notifyInterval))
	}
}

func (d *Daemon) neighbors() []membership.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return gossip.Neighbors(d.config.Host, d.hostView.Live(time.Now()))
}

// announceDrain notifies all live hosts that this one drains.
func (d *Daemon) announceDrain() {
	d.mu.Lock()
	l := d.hostView.Live(time.Now())
	d.mu.Unlock()
	d.sendDrainNotice(l, d.config.Host.ID)
}

// handleDrainNotice records that a host drains, and forwards the
// notice to the neighbors if it is new.
func (d *Daemon) handleDrainNotice(id string) {
	if !d.handleMembership(membership.DrainAnnounced{ID: id}) {
		return
	}
	d.startTask(func() error {
		d.sendDrainNotice(d.neighbors(), id)
		return nil
	})
}

func (d *Daemon) sendDrainNotice(l []membership.Host, id string) {
	x, stop := context.WithTimeout(d.ctx, callTimeout)
	defer stop()
	g := &errgroup.Group{}
	g.SetLimit(maxDrainNoticeCalls)
	for _, h := range l {
		g.Go(func() error {
			if err := d.node.Call(x, h, methodDrainNotice, hostParams{ID: id}, nil); err != nil {
				d.config.Log.Debug("drain notice failed", "host", h.ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}
