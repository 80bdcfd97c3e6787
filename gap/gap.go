// Package gap decides when the callers of a database group return that couldn't be
// served because the group has no usable primary, or its replicas no known end of the
// log. It does no I/O, reads no clock and draws no random numbers.
//
// The load that it answers: a failover takes longer than a statement may, and all
// callers of the group return at once, time after time, until they have no attempts
// left. A gap is expected to last as long again as it has lasted. The callers are told
// to return after that, spread, the more urgent ones first.
package gap

import (
	"maps"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

const (
	// minReturnDelay and maxReturnDelay bound the expected rest of a gap.
	minReturnDelay = 250 * time.Millisecond
	maxReturnDelay = 5 * time.Second
	// forgetAfter is how long after the last failed request a gap is assumed to have
	// ended, if nobody has tried since.
	forgetAfter = 3 * time.Second
	// rankSpread is the part of the expected rest over which the callers of one rank
	// return.
	rankSpread = 0.25
)

// Key identifies what can't serve: a group's primary, or the reads of its replicas.
type Key struct {
	Group   string
	Primary bool
}

// Table holds the gaps that one entry knows of. It is not safe for concurrent use.
type Table struct{ gaps map[Key]*gapState }

type gapState struct {
	// since is when the first request arrived that couldn't be served, and lastAt when
	// the last one was known not to be.
	since, lastAt time.Time
}

// New returns a table without gaps.
func New() *Table { return &Table{gaps: map[Key]*gapState{}} }

// Blocked records that a request which arrived at since couldn't be served until now.
func (t *Table) Blocked(k Key, since, now time.Time) {
	g := t.gaps[k]
	if g == nil || now.Sub(g.lastAt) > forgetAfter {
		t.forget(now)
		g = &gapState{since: since}
		t.gaps[k] = g
	}
	g.lastAt = now
}

// Served records that a request was served; the gap has ended.
func (t *Table) Served(k Key) { delete(t.gaps, k) }

// Count forgets old gaps and returns the number of the others.
func (t *Table) Count(now time.Time) int {
	t.forget(now)
	return len(t.gaps)
}

// forget deletes the gaps that are assumed to have ended.
func (t *Table) forget(now time.Time) {
	maps.DeleteFunc(t.gaps, func(_ Key, g *gapState) bool { return now.Sub(g.lastAt) > forgetAfter })
}

// Since returns for how long a gap has been known, or false if none is.
func (t *Table) Since(k Key, now time.Time) (time.Duration, bool) {
	g := t.gaps[k]
	if g == nil || now.Sub(g.lastAt) > forgetAfter {
		return 0, false
	}
	return now.Sub(g.since), true
}

// ReturnAfter returns when a caller is to return that the gap has kept from being
// served, or false if no gap is known. jitter is a random number from 0 to 1.
func (t *Table) ReturnAfter(k Key, r bundle.Rank, jitter float64, now time.Time) (time.Duration, bool) {
	g := t.gaps[k]
	if g == nil {
		return 0, false
	}
	d := float64(min(max(now.Sub(g.since), minReturnDelay), maxReturnDelay))
	return time.Duration(d * (1 + (float64(r)+jitter)*rankSpread)), true
}
