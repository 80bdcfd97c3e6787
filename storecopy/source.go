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
	// WatchPollTime is how long the store holds a watch without changes.
	WatchPollTime = 700 * time.Millisecond
	// WatchTimeout bounds a watch.
	WatchTimeout = WatchPollTime + 700*time.Millisecond
	// maxWatcherAge is the age up to which the copy of a watcher counts as kept up
	// to date. While nothing changes, a watch proves after WatchPollTime what was
	// current when it was sent, and the next one ends WatchPollTime later; the rest
	// is for the delay between them and two round trips.
	maxWatcherAge = 2*WatchPollTime + 400*time.Millisecond
	// maxLevelAge is the age that each level of the overlay adds: the longest delay
	// between two exchanges and a round trip.
	maxLevelAge = 500 * time.Millisecond
	// maxLevel is the level of the lowest hosts in a fleet of 5,000.
	maxLevel = 4
	// ExchangeInterval is the mean delay between two rounds of exchanges.
	ExchangeInterval = 300 * time.Millisecond
	// firstExchangeInterval is the same for a host that has no copy of the store
	// yet.
	firstExchangeInterval = 60 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call,
	// before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
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

// maxAge returns the age up to which the copy of a host at a level of the overlay
// counts as kept up to date.
func maxAge(level int) time.Duration { return maxWatcherAge + time.Duration(level)*maxLevelAge }

// IsCurrent reports whether a copy of the given age is kept up to date, at whatever
// level its host is.
func IsCurrent(age time.Duration) bool { return age <= maxAge(maxLevel) }

// Source decides whether a daemon's copy of the store is kept up to date by others,
// or whether it has to watch the store itself. It goes by the age of the copies alone:
// a call that is pending or an upstream that answers doesn't show that changes arrive.
// It is not safe for concurrent use.
type Source struct {
	// next is the index of the upstream that is asked next. It advances when an
	// upstream fails or its copy isn't kept up to date.
	next int
}

// ShouldWatch reports whether the daemon has to watch the store itself. age is that
// of its copy.
func (s *Source) ShouldWatch(o gossip.Overlay, age time.Duration) bool {
	return o.Watches || IsLate(o, age)
}

// IsLate reports whether a copy of the given age isn't kept up to date: neither the store
// nor an upstream has told anything for longer than changes take to arrive.
func IsLate(o gossip.Overlay, age time.Duration) bool { return age > maxAge(o.Level) }

// Upstream returns the host to fetch changes from next, or false if there is none.
func (s *Source) Upstream(o gossip.Overlay) (membership.Host, bool) {
	if len(o.Upstreams) == 0 {
		return membership.Host{}, false
	}
	return o.Upstreams[s.next%len(o.Upstreams)], true
}

// UpstreamAnswered records an exchange with an upstream whose copy has the given age.
func (s *Source) UpstreamAnswered(o gossip.Overlay, age time.Duration) {
	if age > maxAge(o.Level-1) {
		s.next++
	}
}

// UpstreamFailed records an exchange with an upstream that didn't answer.
func (s *Source) UpstreamFailed() { s.next++ }
