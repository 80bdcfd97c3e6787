// Package budget limits what an entry sends to owners: retries to a fraction of
// the successful requests, requests to an overloaded backend server to about as
// many as it accepts, the number of unanswered requests, and the bytes of lower
// ranks on the link between regions. It does no I/O and reads no clock.
package budget

import "time"

// RetryConfig holds the limits of retries.
type RetryConfig struct {
	// Ratio is the number of retries that each success adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
	// Rate is the number of retries per second that are added regardless of
	// successes.
	Rate float64
}

// DefaultRetry returns the limits that entries use by default.
func DefaultRetry() RetryConfig { return RetryConfig{Ratio: 0.2, Burst: 500, Rate: 500} }

// Bounds of the backoff before a retry, without jitter.
const (
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 480 * time.Millisecond
)

// Backoff returns the backoff before a retry, given the number of previous retries.
// jitter is a random number from 0 to 1.
func Backoff(retries int, jitter float64) time.Duration {
	d := maxBackoff
	if retries < 4 {
		d = initialBackoff << max(retries, 0)
	}
	return d/2 + time.Duration(jitter*float64(d)/2)
}

// maxKeys bounds the number of keys in a Retry and of flows in a Throttle.
const maxKeys = 8192

// Retry is a budget of retries for each key, such as an owner or a caller. It is
// not safe for concurrent use.
type Retry struct {
	c RetryConfig
	// buckets holds the budgets that aren't full, by key.
	buckets map[string]*bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens  float64
	updated time.Time
}

// NewRetry returns a Retry whose budgets are full.
func NewRetry(c RetryConfig) *Retry { return &Retry{c: c, buckets: map[string]*bucket{}} }

// RecordSuccess adds RetryConfig.Ratio to the budget of a key.
func (r *Retry) RecordSuccess(key string, now time.Time) {
	b := r.buckets[key]
	if b == nil {
		return
	}
	r.refill(b, now)
	b.tokens += r.c.Ratio
	if b.tokens >= r.c.Burst {
		delete(r.buckets, key)
	}
}

// Take takes one retry from the budget of each key. If one of the budgets is
// empty, it takes none and returns false.
func (r *Retry) Take(now time.Time, keys ...string) bool {
	for _, k := range keys {
		if !r.canTake(k, now) {
			return false
		}
	}
	for _, k := range keys {
		r.bucket(k, now).tokens--
	}
	return true
}

func (r *Retry) canTake(key string, now time.Time) bool {
	b := r.buckets[key]
	if b == nil {
		return r.c.Burst >= 1 && (len(r.buckets) < maxKeys || r.prune(now))
	}
	r.refill(b, now)
	return b.tokens >= 1
}

func (r *Retry) bucket(key string, now time.Time) *bucket {
	b := r.buckets[key]
	if b == nil {
		b = &bucket{tokens: r.c.Burst, updated: now}
		r.buckets[key] = b
	}
	return b
}

func (r *Retry) refill(b *bucket, now time.Time) {
	b.tokens = min(b.tokens+r.c.Rate*max(now.Sub(b.updated), 0).Seconds(), r.c.Burst)
	b.updated = now
}

// prune deletes full budgets and reports whether a key can be added.
func (r *Retry) prune(now time.Time) bool {
	for k, b := range r.buckets {
		if r.refill(b, now); b.tokens >= r.c.Burst {
			delete(r.buckets, k)
		}
	}
	return len(r.buckets) < maxKeys
}
