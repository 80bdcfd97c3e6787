package budget

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// ThrottleConfig holds the limits of requests to overloaded backend servers.
type ThrottleConfig struct {
	// SentPerAccepted is the number of requests that are sent for each accepted
	// one. It must be greater than 1.
	SentPerAccepted float64
	// Allowance is the number of requests that are sent in addition.
	Allowance float64
	// DecayTime is the time constant of the counts' exponential decay.
	DecayTime time.Duration
}

// DefaultThrottle returns the limits that entries use by default.
func DefaultThrottle() ThrottleConfig {
	return ThrottleConfig{SentPerAccepted: 1.5, Allowance: 5, DecayTime: 5 * time.Second}
}

// Flow identifies the requests of one caller and rank to one backend server.
type Flow struct {
	Member string
	Rank   bundle.Rank
	Caller string
}

// Throttle refuses requests at the entry that the owner of an overloaded backend
// server would probably refuse, so that these requests and their refusals don't
// load the link between regions. It is not safe for concurrent use.
type Throttle struct {
	config ThrottleConfig
	flows  map[Flow]*decayingCounts
}

// decayingCounts are counts of a flow's requests that decay exponentially.
type decayingCounts struct {
	// attempts includes the requests that the throttle refused.
	attempts, accepted float64
	updated            time.Time
	// retryAfter is the retry-after interval of the owner's last refusal.
	retryAfter time.Duration
}

// NewThrottle returns a throttle without flows, which refuses nothing.
func NewThrottle(c ThrottleConfig) *Throttle {
	return &Throttle{config: c, flows: map[Flow]*decayingCounts{}}
}

// Allow reports whether a request may be sent, and the retry-after interval if
// not. It refuses with a probability that grows with the number of attempts
// beyond SentPerAccepted times the accepted ones plus Allowance. chance is a
// random number from 0 to 1.
func (t *Throttle) Allow(f Flow, chance float64, now time.Time) (bool, time.Duration) {
	n := t.flows[f]
	if n == nil {
		return true, 0
	}
	t.decay(n, now)
	p := (n.attempts - t.config.SentPerAccepted*n.accepted - t.config.Allowance) / (n.attempts + 1)
	if chance >= p {
		return true, 0
	}
	n.attempts++
	return false, n.retryAfter
}

// RecordAccepted records that a sent request got a slot.
func (t *Throttle) RecordAccepted(f Flow, now time.Time) {
	if n := t.flows[f]; n != nil {
		t.decay(n, now)
		n.attempts++
		n.accepted++
	}
}

// RecordRefused records that a sent request was refused because of overload.
func (t *Throttle) RecordRefused(f Flow, retryAfter time.Duration, now time.Time) {
	n := t.flows[f]
	if n == nil {
		if len(t.flows) >= maxKeys && !t.prune(now) {
			return
		}
		n = &decayingCounts{updated: now}
		t.flows[f] = n
	}
	t.decay(n, now)
	n.attempts++
	n.retryAfter = retryAfter
}

func (t *Throttle) decay(n *decayingCounts, now time.Time) {
	k := math.Exp(-max(now.Sub(n.updated), 0).Seconds() / t.config.DecayTime.Seconds())
	n.attempts, n.accepted, n.updated = n.attempts*k, n.accepted*k, now
}

// prune deletes flows whose counts have decayed below one attempt and reports
// whether a flow can be added.
func (t *Throttle) prune(now time.Time) bool {
	for f, n := range t.flows {
		if t.decay(n, now); n.attempts < 1 {
			delete(t.flows, f)
		}
	}
	return len(t.flows) < maxKeys
}
