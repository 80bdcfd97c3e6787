package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/platform"
)

// Timing of the exchange with the platform and with peers.
const (
	// watchWait is how long a blocking query waits.
	watchWait = 30 * time.Second
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 200 * time.Millisecond
	retryMost  = 10 * time.Second
	// sessionTTL is how long the host's entry outlives its last renewal.
	sessionTTL = 10 * time.Second
	// versionInterval is how often a peer is asked for its version.
	versionInterval = time.Second
	// callTimeout bounds a control call to a peer.
	callTimeout = time.Second
)

// backoff is a pause that grows with each failure.
type backoff struct{ d time.Duration }

func (b *backoff) reset() { b.d = 0 }

// wait pauses; half of the time is random.
func (b *backoff) wait(x context.Context) {
	b.d = min(max(2*b.d, retryLeast), retryMost)
	pause(x, b.d/2+time.Duration(rand.Int64N(int64(b.d/2))))
}

func pause(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}

// watchBundle follows the bundle in the platform's service.
func (d *Daemon) watchBundle(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		r, err := d.platform.Get(x, platform.BundleKey, i, watchWait)
		if err != nil {
			d.c.Log.Debug("bundle not read", "error", err)
			b.wait(x)
			continue
		}
		b.reset()
		i = r.Index
		for _, p := range r.Pairs {
			d.adopt(x, p.Value, "platform")
		}
		if i == 0 {
			b.wait(x)
		}
	}
	return nil
}

// adopt puts a bundle in force if it is accepted and newer than the one held.
func (d *Daemon) adopt(x context.Context, envelope []byte, from string) {
	s, err := bundle.Open(x, envelope, d.c.Trust)
	if err != nil {
		d.c.Log.Error("bundle refused", "from", from, "error", err)
		return
	}
	d.mu.Lock()
	ok, err := bundle.Supersedes(s, d.held)
	if ok {
		d.held = s
	}
	d.mu.Unlock()
	if err != nil {
		d.c.Log.Error("bundle refused", "from", from, "version", s.Bundle.Version, "error", err)
	}
	if ok {
		d.c.Log.Info("bundle in force", "version", s.Bundle.Version, "digest", s.Digest, "from", from)
		d.owner.Configure(s.Bundle)
	}
}

// localBundle returns the envelope held, or nil.
func (d *Daemon) localBundle() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held == nil {
		return nil
	}
	return d.held.Envelope
}

// watchHosts follows the platform's list of hosts.
func (d *Daemon) watchHosts(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		r, err := d.platform.List(x, platform.HostPrefix, i, watchWait)
		if err != nil {
			d.c.Log.Debug("hosts not read", "error", err)
			b.wait(x)
			continue
		}
		b.reset()
		i = r.Index
		d.noteMember(membership.Listed{Hosts: d.hosts(r.Pairs)})
		if len(r.Pairs) == 0 {
			pause(x, retryLeast)
		}
	}
	return nil
}

func (d *Daemon) hosts(l []platform.Pair) []membership.Host {
	var o []membership.Host
	for _, p := range l {
		var h membership.Host
		if err := json.Unmarshal(p.Value, &h); err != nil || h.ID == "" {
			d.c.Log.Warn("host entry can't be read", "key", p.Key, "error", err)
			continue
		}
		o = append(o, h)
	}
	return o
}

// register keeps this host's entry in the platform's list.
func (d *Daemon) register(x context.Context) error {
	var b backoff
	id := ""
	for x.Err() == nil {
		var err error
		if id == "" {
			id, err = d.enlist(x)
		} else {
			err = d.platform.RenewSession(x, id)
		}
		if err != nil {
			d.c.Log.Debug("host not registered", "error", err)
			id = ""
			b.wait(x)
			continue
		}
		b.reset()
		pause(x, sessionTTL/3)
	}
	if id == "" {
		return nil
	}
	y, stop := context.WithTimeout(context.WithoutCancel(x), callTimeout)
	defer stop()
	return d.platform.DestroySession(y, id)
}

func (d *Daemon) enlist(x context.Context) (string, error) {
	id, err := d.platform.CreateSession(x, sessionTTL)
	if err != nil {
		return "", err
	}
	v, err := json.Marshal(d.c.Host)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if _, err := d.platform.Acquire(x, platform.HostPrefix+d.c.Host.ID, v, id); err != nil {
		return "", err
	}
	return id, nil
}

// exchangeVersions asks one peer at a time for its bundle version, so that a
// bundle spreads while the platform doesn't answer.
func (d *Daemon) exchangeVersions(x context.Context) error {
	for x.Err() == nil {
		if h, ok := d.somePeer(); ok {
			d.exchangeWith(x, h)
		}
		pause(x, versionInterval/2+time.Duration(rand.Int64N(int64(versionInterval))))
	}
	return nil
}

// somePeer picks a random live host, or a seed while none is known.
func (d *Daemon) somePeer() (membership.Host, bool) {
	d.mu.Lock()
	l := d.view.Live(time.Now())
	d.mu.Unlock()
	var o []membership.Host
	for _, h := range l {
		if h.ID != d.c.Host.ID {
			o = append(o, h)
		}
	}
	if len(o) == 0 {
		for _, a := range d.c.Seeds {
			o = append(o, peer.Seed(a))
		}
	}
	if len(o) == 0 {
		return membership.Host{}, false
	}
	return o[rand.IntN(len(o))], true
}

func (d *Daemon) exchangeWith(x context.Context, h membership.Host) {
	x, stop := context.WithTimeout(x, callTimeout)
	defer stop()
	var v versionResult
	if err := d.node.Call(x, h, methodVersion, versionParams{Version: d.version()}, &v); err != nil {
		d.c.Log.Debug("peer gives no version", "host", h.ID, "error", err)
		return
	}
	for _, k := range v.Hosts {
		d.noteMember(membership.Met{Host: k})
	}
	if v.Version <= d.version() {
		return
	}
	var b []byte
	if err := d.node.Call(x, h, methodBundle, nil, &b); err != nil {
		d.c.Log.Debug("peer gives no bundle", "host", h.ID, "error", err)
		return
	}
	d.adopt(x, b, h.ID)
}

// announceLeave tells all known hosts that this one leaves.
func (d *Daemon) announceLeave() {
	d.mu.Lock()
	l := d.view.Live(time.Now())
	d.mu.Unlock()
	x, stop := context.WithTimeout(d.ctx, callTimeout)
	defer stop()
	for _, h := range l {
		if err := d.node.Call(x, h, methodLeave, hostParams{ID: d.c.Host.ID}, nil); err != nil {
			d.c.Log.Debug("leave not announced", "host", h.ID, "error", err)
		}
	}
}
