package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Timing of the exchange with peers.
const (
	// exchangeInterval is the longest pause between two exchanges with a
	// neighbour.
	exchangeInterval = 1500 * time.Millisecond
	// tellPause follows news told to the neighbours, so that a flood of changes
	// becomes few calls.
	tellPause = 300 * time.Millisecond
	// bundleTimeout bounds fetching a bundle or a host list.
	bundleTimeout = 5 * time.Second
	// leaveCalls is the number of hosts told of a leave at a time.
	leaveCalls = 32
)

// versionParams tells what the calling daemon has.
type versionParams struct {
	Host    membership.Host    `json:"host"`
	Version uint64             `json:"version"`
	Digest  string             `json:"digest"`
	Roster  gossip.ListVersion `json:"roster"`
}

// versionResult tells what the called daemon has.
type versionResult struct {
	Version uint64             `json:"version"`
	Digest  string             `json:"digest"`
	Roster  gossip.ListVersion `json:"roster"`
	// Silence is the time in nanoseconds since the last sign of a watcher.
	Silence time.Duration `json:"silence"`
	// Hosts are live hosts that the platform doesn't list.
	Hosts []membership.Host `json:"hosts,omitempty"`
	// Left maps the IDs of hosts that leave to the time in nanoseconds that the
	// notice still holds.
	Left map[string]time.Duration `json:"left,omitempty"`
}

func (d *Daemon) localParams() versionParams {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := versionParams{Host: d.c.Host, Roster: d.roster.Version()}
	if d.held != nil {
		p.Version, p.Digest = d.held.Bundle.Version, d.held.Digest
	}
	return p
}

// localVersion answers another daemon, and fetches what that one has newer.
func (d *Daemon) localVersion(p versionParams) versionResult {
	o := d.localParams()
	d.mu.Lock()
	now := time.Now()
	v := versionResult{
		Version: o.Version, Digest: o.Digest, Roster: o.Roster, Silence: now.Sub(d.watcher),
		Hosts: d.view.UnlistedHosts(now), Left: d.view.DrainNotices(now),
	}
	d.mu.Unlock()
	if p.Host.ID != "" && (p.Version > o.Version || p.Roster.After(o.Roster)) {
		d.start(func() error {
			d.fetch(d.ctx, p.Host, p.Version, p.Roster)
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
		for _, h := range d.partners() {
			g.Go(func() error {
				d.exchangeWith(x, h)
				return nil
			})
		}
		_ = g.Wait()
		pause(x, jitter(exchangeInterval))
	}
	return nil
}

// partners picks a neighbour, or a seed while there is none, and a host that
// is passed over, so that its return is noticed.
func (d *Daemon) partners() []membership.Host {
	d.mu.Lock()
	now := time.Now()
	n := gossip.Neighbours(d.c.Host, d.view.Live(now))
	s := d.view.Suspects(now)
	d.mu.Unlock()
	if len(n) == 0 {
		for _, a := range d.c.Seeds {
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
		d.c.Log.Debug("peer gives no version", "host", h.ID, "error", err)
		return
	}
	d.mu.Lock()
	if t := time.Now().Add(-v.Silence); t.After(d.watcher) {
		d.watcher = t
	}
	d.mu.Unlock()
	for _, k := range v.Hosts {
		d.noteMember(membership.HostDiscovered{Host: k})
	}
	for id, t := range v.Left {
		d.noteMember(membership.DrainAnnounced{ID: id, Remaining: t})
	}
	if v.Version == p.Version && v.Digest != p.Digest {
		d.c.Log.Error("bundle refused", "from", h.ID, "version", v.Version, "error", "the version is taken by another bundle")
	}
	d.fetch(x, h, v.Version, v.Roster)
}

// fetch gets from a peer what it has newer, unless another fetch runs.
func (d *Daemon) fetch(x context.Context, h membership.Host, version uint64, s gossip.ListVersion) {
	if !d.fetching.TryLock() {
		return
	}
	defer d.fetching.Unlock()
	x, stop := context.WithTimeout(context.WithoutCancel(x), bundleTimeout)
	defer stop()
	if version > d.version() {
		var b []byte
		if err := d.node.Call(x, h, methodBundle, nil, &b); err != nil {
			d.c.Log.Debug("peer gives no bundle", "host", h.ID, "error", err)
			return
		}
		d.adopt(x, b, h.ID)
	}
	p := d.localParams()
	if !s.After(p.Roster) {
		return
	}
	var u gossip.Update
	if err := d.node.Call(x, h, methodHosts, p, &u); err != nil {
		d.c.Log.Debug("peer gives no hosts", "host", h.ID, "error", err)
		return
	}
	d.mu.Lock()
	ok := d.roster.Apply(u)
	d.mu.Unlock()
	if ok {
		d.listHosts()
	}
}

func (d *Daemon) localHosts(s gossip.ListVersion) gossip.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Since(s)
}

// tellSoon has the neighbours told of news.
func (d *Daemon) tellSoon() {
	select {
	case d.news <- struct{}{}:
	default:
	}
}

// tell passes news on to the neighbours.
func (d *Daemon) tell(x context.Context) error {
	for {
		select {
		case <-x.Done():
			return nil
		case <-d.news:
		}
		g := &errgroup.Group{}
		for _, h := range d.neighbours() {
			g.Go(func() error {
				d.exchangeWith(x, h)
				return nil
			})
		}
		_ = g.Wait()
		pause(x, jitter(tellPause))
	}
}

func (d *Daemon) neighbours() []membership.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return gossip.Neighbours(d.c.Host, d.view.Live(time.Now()))
}

// announceLeave tells all live hosts that this one leaves.
func (d *Daemon) announceLeave() {
	d.mu.Lock()
	l := d.view.Live(time.Now())
	d.mu.Unlock()
	d.sendLeave(l, d.c.Host.ID)
}

// heardLeave passes a leave notice on that is new.
func (d *Daemon) heardLeave(id string) {
	if !d.noteMember(membership.DrainAnnounced{ID: id}) {
		return
	}
	d.start(func() error {
		d.sendLeave(d.neighbours(), id)
		return nil
	})
}

func (d *Daemon) sendLeave(l []membership.Host, id string) {
	x, stop := context.WithTimeout(d.ctx, callTimeout)
	defer stop()
	g := &errgroup.Group{}
	g.SetLimit(leaveCalls)
	for _, h := range l {
		g.Go(func() error {
			if err := d.node.Call(x, h, methodLeave, hostParams{ID: id}, nil); err != nil {
				d.c.Log.Debug("leave not announced", "host", h.ID, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}
