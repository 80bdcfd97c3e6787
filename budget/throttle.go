package budget

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// ThrottleConfig holds the limits of requests to overloaded backend servers.
type ThrottleConfig struct {
	// Excess is the number of requests that are sent for each one accepted; it
	// is greater than 1.
	Excess float64
	// Spare is the number of requests that are sent besides.
	Spare float64
	// Window is the time constant with which older requests fade.
	Window time.Duration
}

// DefaultThrottle returns the limits that entries use.
func DefaultThrottle() ThrottleConfig {
	return ThrottleConfig{Excess: 1.5, Spare: 5, Window: 5 * time.Second}
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
	flows map[Flow]*counts
}

// counts are the fading numbers of a flow.
type counts struct {
	sent, accepted float64
	at             time.Time
	// retryAfter is the come-back time of the last refusal.
	retryAfter time.Duration
}

// NewThrottle returns a throttle that lets everything pass.
func NewThrottle(c ThrottleConfig) *Throttle { return &Throttle{c: c, flows: map[Flow]*counts{}} }

// Allow reports whether a request may be sent, and the come-back time if not.
// Chance is a random number from 0 to 1.
func (t *Throttle) Allow(f Flow, chance float64, now time.Time) (bool, time.Duration) {
	n := t.flows[f]
	if n == nil {
		return true, 0
	}
	t.fade(n, now)
	p := (n.sent - t.c.Excess*n.accepted - t.c.Spare) / (n.sent + 1)
	if chance >= p {
		return true, 0
	}
	n.sent++
	return false, n.retryAfter
}

// RecordAccepted tells that a request that was sent got a slot.
func (t *Throttle) RecordAccepted(f Flow, now time.Time) {
	if n := t.flows[f]; n != nil {
		t.fade(n, now)
		n.sent++
		n.accepted++
	}
}

// RecordRefused tells that a request that was sent was refused for load.
func (t *Throttle) RecordRefused(f Flow, retryAfter time.Duration, now time.Time) {
	n := t.flows[f]
	if n == nil {
		if len(t.flows) >= maxKeys && !t.prune(now) {
			return
		}
		n = &counts{at: now}
		t.flows[f] = n
	}
	t.fade(n, now)
	n.sent++
	n.retryAfter = retryAfter
}

func (t *Throttle) fade(n *counts, now time.Time) {
	k := math.Exp(-max(now.Sub(n.at), 0).Seconds() / t.c.Window.Seconds())
	n.sent, n.accepted, n.at = n.sent*k, n.accepted*k, now
}

// prune drops the flows that have faded and reports whether there is room.
func (t *Throttle) prune(now time.Time) bool {
	for f, n := range t.flows {
		if t.fade(n, now); n.sent < 1 {
			delete(t.flows, f)
		}
	}
	return len(t.flows) < maxKeys
}
