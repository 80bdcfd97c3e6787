package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/gossip"
)

// Timing of calls to the platform.
const (
	// watchWait is how long a blocking query waits.
	watchWait = 30 * time.Second
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 200 * time.Millisecond
	retryMost  = 10 * time.Second
	// watchInterval is how often a daemon considers whether it is a watcher.
	watchInterval = 500 * time.Millisecond
	// watchDelay is how long a daemon that has a bundle and a host list waits
	// before it begins to watch, so that a host passed over for a moment costs no
	// calls.
	watchDelay = 2 * time.Second
	// listPause follows each new host list, so that many changes are read at
	// once.
	listPause = time.Second
	// callTimeout bounds a control call to a peer.
	callTimeout = time.Second
)

// backoff is a pause that grows with each failure.
type backoff struct{ d time.Duration }

func (b *backoff) reset() { b.d = 0 }

// wait pauses for up to most; half of the time is random.
func (b *backoff) wait(x context.Context, most time.Duration) {
	b.d = min(max(2*b.d, retryLeast), most)
	pause(x, jitter(b.d))
}

// jitter returns a random time from half of d up to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

func pause(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}

// watchPlatform follows the platform's service while this daemon is one of its
// failure domain's watchers.
func (d *Daemon) watchPlatform(x context.Context) error {
	for x.Err() == nil {
		if !d.isWatcher() {
			pause(x, watchInterval)
			continue
		}
		if d.informed() {
			pause(x, watchDelay)
			if !d.isWatcher() {
				continue
			}
		}
		d.c.Log.Info("watches the platform", "host", d.c.Host.ID)
		y, stop := context.WithCancel(x)
		g, y := errgroup.WithContext(y)
		g.Go(func() error { return d.watchBundle(y) })
		g.Go(func() error { return d.watchHosts(y) })
		for x.Err() == nil && d.isWatcher() {
			pause(x, watchInterval)
		}
		stop()
		_ = g.Wait()
		d.c.Log.Info("leaves the platform to others", "host", d.c.Host.ID)
	}
	return nil
}

// informed reports whether this daemon has a bundle and a host list.
func (d *Daemon) informed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held != nil && d.roster.Version() != gossip.ListVersion{}
}

// isWatcher reports whether this daemon is to watch the platform, and counts as
// a sign of a watcher if so.
func (d *Daemon) isWatcher() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	w := gossip.ShouldWatch(d.c.Host, d.view.Live(now), now.Sub(d.watcher))
	if w {
		d.watcher = now
	}
	return w
}

// watchBundle follows the bundle in the platform's service.
func (d *Daemon) watchBundle(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		r, err := d.platform.Get(x, consul.BundleKey, i, watchWait)
		if err != nil {
			d.c.Log.Debug("bundle not read", "error", err)
			b.wait(x, retryMost)
			continue
		}
		b.reset()
		i = r.Index
		for _, p := range r.Pairs {
			d.adopt(x, p.Value, "platform")
		}
		if i == 0 {
			b.wait(x, retryMost)
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
		if n := d.callers.Revoke(); n > 0 {
			d.c.Log.Info("sessions of removed callers end", "sessions", n)
		}
		d.tellSoon()
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
