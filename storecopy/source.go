package storecopy

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
)

// Timing of watches and exchanges.
const (
	// WatchDelay is the delay between two watches, so that changes shortly after
	// one another cost one call.
	WatchDelay = 60 * time.Millisecond
	// WatchPollTime is how long the store holds a watch without changes. A
	// connection that fails silently delays changes by no more than this, and the
	// copies of all hosts are older than this by at most their exchanges.
	WatchPollTime = 1500 * time.Millisecond
	// WatchTimeout bounds a watch.
	WatchTimeout = WatchPollTime + 700*time.Millisecond
	// ExchangeInterval is the mean delay between two rounds of exchanges.
	ExchangeInterval = 300 * time.Millisecond
	// firstExchangeInterval is the same for a host that has no copy of the store
	// yet.
	firstExchangeInterval = 60 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call,
	// before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// upstreamTimeout is how long no upstream may be up to date before a daemon
	// watches the store itself: three rounds.
	upstreamTimeout = 3 * ExchangeInterval
)

// Backoff returns the delay after the given number of failed calls in a row, with
// jitter.
func Backoff(n int, r *rand.Rand) time.Duration {
	d := min(minRetryDelay<<min(n, 10), maxRetryDelay)
	return d/2 + randomDuration(d, r)
}

// ExchangeDelay returns the delay before the next round of exchanges. A host without
// a copy of the store can't serve, so that it asks more often.
func ExchangeDelay(hasCopy bool, r *rand.Rand) time.Duration {
	d := ExchangeInterval
	if !hasCopy {
		d = firstExchangeInterval
	}
	return d/2 + randomDuration(d, r)
}

// randomDuration returns a random duration below d; r may be nil.
func randomDuration(d time.Duration, r *rand.Rand) time.Duration {
	if r == nil {
		return rand.N(d)
	}
	return time.Duration(r.Int64N(int64(d)))
}

// Source decides whether a daemon's copy of the store is kept up to date by others,
// or whether it has to watch the store itself. It is not safe for concurrent use.
type Source struct {
	// watching is set while a watch of this daemon is pending, from its first
	// success until a failure.
	watching bool
	// currentAt is when an upstream last reported that it is up to date.
	currentAt time.Time
	// next is the index of the upstream that is asked next. It advances when an
	// upstream fails or isn't up to date.
	next int
}

// NewSource returns the source of a daemon that starts now.
func NewSource(now time.Time) *Source { return &Source{currentAt: now} }

// ShouldWatch reports whether the daemon has to watch the store itself. age is that
// of its copy.
func (s *Source) ShouldWatch(o gossip.Overlay, _ time.Duration, now time.Time) bool {
	return o.Watches || now.Sub(s.currentAt) > upstreamTimeout
}

// IsStale reports whether others can't rely on this daemon for changes.
func (s *Source) IsStale(_ gossip.Overlay, _ time.Duration, now time.Time) bool {
	return !s.watching && now.Sub(s.currentAt) > upstreamTimeout
}

// WatchEnded records whether this daemon's last watch succeeded.
func (s *Source) WatchEnded(ok bool) { s.watching = ok }

// Upstream returns the host to fetch changes from next, or false if there is none.
func (s *Source) Upstream(o gossip.Overlay) (membership.Host, bool) {
	if len(o.Upstreams) == 0 {
		return membership.Host{}, false
	}
	return o.Upstreams[s.next%len(o.Upstreams)], true
}

// UpstreamAsked records an exchange with an upstream. usable is set if it answered
// and isn't stale.
func (s *Source) UpstreamAsked(usable bool, now time.Time) {
	if usable {
		s.currentAt = now
	} else {
		s.next++
	}
}
