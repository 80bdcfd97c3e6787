package budget

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// ThrottleConfig holds the limits of requests to overloaded backend servers.
type ThrottleConfig struct {
	// SentPerAccepted is the number of requests that are sent for each one accepted; it
	// is greater than 1.
	SentPerAccepted float64
	// Allowance is the number of requests that are sent besides.
	Allowance float64
	// DecayTime is the time constant with which older requests fade.
	DecayTime time.Duration
}

// DefaultThrottle returns the limits that entries use.
func DefaultThrottle() ThrottleConfig {
	return ThrottleConfig{SentPerAccepted: 1.5, Allowance: 5, DecayTime: 5 * time.Second}
}

// Flow is the work of one caller and rank for one backend server.
type Flow struct {
	Member string
	Rank   bundle.Rank
	Caller string
}

// Throttle refuses at the entry what an overloaded backend server's owner would
// refuse most likely, so that refusals don't fill the region link. It is not
// safe for concurrent use.
type Throttle struct {
	c     ThrottleConfig
	flows map[Flow]*decayingCounts
}

// decayingCounts are the fading numbers of a flow.
type decayingCounts struct {
	attempts, accepted float64
	updated            time.Time
	// retryAfter is the come-back time of the last refusal.
	retryAfter time.Duration
}

// NewThrottle returns a throttle that lets everything pass.
func NewThrottle(c ThrottleConfig) *Throttle {
	return &Throttle{c: c, flows: map[Flow]*decayingCounts{}}
}

// Pass reports whether a request may be sent, and the come-back time if not.
// Chance is a random number from 0 to 1.
func (t *Throttle) Pass(f Flow, chance float64, now time.Time) (bool, time.Duration) {
	n := t.flows[f]
	if n == nil {
		return true, 0
	}
	t.decay(n, now)
	p := (n.attempts - t.c.SentPerAccepted*n.accepted - t.c.Allowance) / (n.attempts + 1)
	if chance >= p {
		return true, 0
	}
	n.attempts++
	return false, n.retryAfter
}

// Accepted tells that a request that was sent got a slot.
func (t *Throttle) Accepted(f Flow, now time.Time) {
	if n := t.flows[f]; n != nil {
		t.decay(n, now)
		n.attempts++
		n.accepted++
	}
}

// Refused tells that a request that was sent was refused for load.
func (t *Throttle) Refused(f Flow, retryAfter time.Duration, now time.Time) {
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
	k := math.Exp(-max(now.Sub(n.updated), 0).Seconds() / t.c.DecayTime.Seconds())
	n.attempts, n.accepted, n.updated = n.attempts*k, n.accepted*k, now
}

// prune drops the flows that have faded and reports whether there is room.
func (t *Throttle) prune(now time.Time) bool {
	for f, n := range t.flows {
		if t.decay(n, now); n.attempts < 1 {
			delete(t.flows, f)
		}
	}
	return len(t.flows) < maxKeys
}
