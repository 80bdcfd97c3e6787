package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/store"
)

// Timing of calls to the platform and to peers.
const (
	// blockingQueryWait is how long a blocking query waits for a change. A watch on a
	// connection that has gone silent delays a change by this and the query's margin.
	blockingQueryWait = 4 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
	// watcherCheckInterval is how often a daemon checks whether it is one of
	// the hosts that watch the platform.
	watcherCheckInterval = 500 * time.Millisecond
	// watchStartDelay is how long a daemon that has a bundle and a host list
	// waits before it starts watching, so that a short suspicion of the watching
	// host causes no calls.
	watchStartDelay = 2 * time.Second
	// hostListDelay is the maximum delay after each new host list, so that
	// several changes are read at once.
	hostListDelay = time.Second
	// callTimeout limits a control call to a peer.
	callTimeout = time.Second
)

// backoff is a delay that doubles with each failure.
type backoff struct{ delay time.Duration }

func (b *backoff) reset() { b.delay = 0 }

// failing reports whether there was a failure since the last reset.
func (b *backoff) failing() bool { return b.delay > 0 }

// wait sleeps for at most limit; half of the delay is random.
func (b *backoff) wait(x context.Context, limit time.Duration) {
	b.delay = min(max(2*b.delay, minRetryDelay), limit)
	sleep(x, jitter(b.delay))
}

// jitter returns a random duration from half of d up to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

func sleep(x context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-x.Done():
	case <-t.C:
	}
}

// watchPlatform watches the bundle and the host list in the platform's service
// while this daemon is one of the watchers in its failure domain.
func (d *Daemon) watchPlatform(x context.Context) error {
	for x.Err() == nil {
		if !d.isWatcher() {
			sleep(x, watcherCheckInterval)
			continue
		}
		if d.hasBundleAndHosts() {
			sleep(x, watchStartDelay)
			if !d.isWatcher() {
				continue
			}
		}
		d.config.Log.Info("watching the platform", "host", d.config.Host.ID)
		y, stop := context.WithCancel(x)
		g, y := errgroup.WithContext(y)
		g.Go(func() error { return d.watchBundle(y) })
		g.Go(func() error { return d.watchHosts(y) })
		for x.Err() == nil && d.isWatcher() {
			sleep(x, watcherCheckInterval)
		}
		stop()
		_ = g.Wait()
		d.config.Log.Info("stopped watching the platform", "host", d.config.Host.ID)
	}
	return nil
}

// hasBundleAndHosts reports whether this daemon has a bundle and a host list.
func (d *Daemon) hasBundleAndHosts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signedBundle != nil && d.hostList.Version() != store.Position{}
}

// isWatcher reports whether this daemon is to watch the platform. If so, it sets
// watcherSeen to the current time.
func (d *Daemon) isWatcher() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	w := gossip.ShouldWatch(d.config.Host, d.hostView.Live(now), gossip.Silence{Watcher: now.Sub(d.watcherSeen), Platform: now.Sub(d.platformHeard)})
	if w {
		d.watcherSeen = now
	}
	return w
}

// watchBundle watches the bundle in the platform's service.
func (d *Daemon) watchBundle(x context.Context) error {
	var b backoff
	var i uint64
	for x.Err() == nil {
		t := time.Now()
		r, err := d.platform.Get(x, consul.BundleKey, i, blockingQueryWait)
		if x.Err() != nil {
			break
		}
		d.observeQuery("bundle", t, err, &b)
		if err != nil {
			b.wait(x, maxRetryDelay)
			continue
		}
		b.reset()
		i = r.Index
		for _, p := range r.Pairs {
			d.applyBundle(x, p.Value, "platform")
		}
		if i == 0 {
			b.wait(x, maxRetryDelay)
		}
	}
	return nil
}

// observeQuery records the result of a query that was sent at t, and logs the first
// failure after a success and the first success after failures.
func (d *Daemon) observeQuery(what string, t time.Time, err error, b *backoff) {
	d.mu.Lock()
	silence := time.Since(d.platformHeard)
	if err == nil && t.After(d.platformHeard) {
		d.platformHeard = t
	}
	d.mu.Unlock()
	l := d.config.Log.With("query", what, "pending-ms", time.Since(t).Milliseconds(), "silence-ms", silence.Milliseconds())
	switch {
	case err != nil && !b.failing():
		l.Info("platform queries interrupted", "error", err)
	case err == nil && b.failing():
		l.Info("platform queries resumed")
	}
}

// applyBundle puts a bundle in force if its signatures are valid and it is
// newer than the one in force.
func (d *Daemon) applyBundle(x context.Context, envelope []byte, from string) {
	s, err := bundle.Open(x, envelope, d.config.Trust)
	if err != nil {
		d.config.Log.Error("bundle rejected", "from", from, "error", err)
		return
	}
	d.mu.Lock()
	ok, err := bundle.Supersedes(s, d.signedBundle)
	if ok {
		d.signedBundle = s
	}
	d.mu.Unlock()
	if err != nil {
		d.config.Log.Error("bundle rejected", "from", from, "version", s.Bundle.Version, "error", err)
	}
	if ok {
		d.config.Log.Info("bundle in force", "version", s.Bundle.Version, "digest", s.Digest, "from", from)
		d.owner.Configure(s.Bundle)
		if n := d.callerServer.RevokeSessions(); n > 0 {
			d.config.Log.Info("closing sessions that the bundle no longer allows", "sessions", n)
		}
		d.notifyNeighbors()
	}
}

// localEnvelope returns the signed envelope of the bundle in force, or nil.
func (d *Daemon) localEnvelope() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.signedBundle == nil {
		return nil
	}
	return d.signedBundle.Envelope
}
