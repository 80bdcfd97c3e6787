// Package outlier detects members that answer worse than the other members of their
// group, from the outcomes of a daemon's own reads. It does no I/O and reads no
// clock.
//
// Load: members that turn slow, fail a part of their requests, lose answers or say
// nothing while their health check is good, and members that are well while it
// isn't. Such a member first gets less work, then none, and gets work again after
// reads that can be repeated have succeeded at it. Each daemon judges for itself: a
// bad path from one failure domain takes a member from that domain's callers only.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Limits.
const (
	// outcomeWeight is the weight of an outcome in the share of bad outcomes, which
	// declines by decayTime without outcomes.
	outcomeWeight = 0.2
	decayTime     = 4 * time.Second
	// reducedFrom and ejectedFrom are shares of bad outcomes: two of the last few,
	// and about half.
	reducedFrom = 0.3
	ejectedFrom = 0.5
	// reducedShare is the part of its usual reads that a reduced member gets.
	reducedShare = 0.25
	// A member is slow if its mean time exceeds slowFactor times the median of the
	// group's other members by slowExcess.
	slowFactor = 4
	slowExcess = 100 * time.Millisecond
	// tookWeight is the weight of a read's time in the mean; minSamples reads are
	// needed to judge it.
	tookWeight = 0.2
	minSamples = 4
	// A member is ejected for minEjection, twice as long after each failed probe, up
	// to maxEjection. probesToReturn probes in a row end the ejection.
	minEjection    = time.Second
	maxEjection    = 8 * time.Second
	probesToReturn = 3
	// probeTimeout is how long a probe may be under way before the next.
	probeTimeout = 2 * time.Second
)

// Event is an input of a Detector.
type Event interface{ event() }

// Answered reports that a member answered a read after Took, without round trip and
// queue.
type Answered struct {
	Member string
	Took   time.Duration
}

// Failed reports that a member failed a read, or that its answer was lost.
type Failed struct{ Member string }

// Silent reports that a member hasn't answered a read long after it was expected.
type Silent struct{ Member string }

// ProbeStarted reports that a read is sent to an ejected member.
type ProbeStarted struct{ Member string }

func (Answered) event()     {}
func (Failed) event()       {}
func (Silent) event()       {}
func (ProbeStarted) event() {}

// Change is what an event changed.
type Change uint8

// Possible values of Change.
const (
	Unchanged Change = iota
	Ejected
	Returned
)

// Standing is how a member is to be used.
type Standing struct {
	// Share is the part of its usual reads that the member gets, from 0 to 1.
	Share float64
	// ProbeDue is set if a read is to be sent to the ejected member.
	ProbeDue bool
}

// member is the state of one member.
type member struct {
	bad   float64
	badAt time.Time
	// took is the mean time of samples reads.
	took    time.Duration
	samples int
	// ejectedUntil is the end of the last ejection; the member stays ejected until
	// enough probes have succeeded.
	ejected      bool
	ejectedUntil time.Time
	ejection     time.Duration
	goodProbes   int
	probingSince time.Time
}

// Detector judges members. It is not safe for concurrent use.
type Detector struct{ members map[string]*member }

// New returns a Detector without members.
func New() *Detector { return &Detector{members: map[string]*member{}} }

// Handle applies an event.
func (d *Detector) Handle(e Event, now time.Time) Change {
	switch e := e.(type) {
	case Answered:
		m := d.member(e.Member)
		m.samples++
		if m.took == 0 {
			m.took = e.Took
		}
		m.took += time.Duration(tookWeight * float64(e.Took-m.took))
		m.record(0, now)
		return m.probeSucceeded(now)
	case Failed:
		return d.bad(e.Member, now)
	case Silent:
		return d.bad(e.Member, now)
	case ProbeStarted:
		d.member(e.Member).probingSince = now
	}
	return Unchanged
}

// Forget deletes what is known of a member that has left.
func (d *Detector) Forget(member string) { delete(d.members, member) }

// Standings returns how the members of one group are to be used. At most half of
// them are ejected, the worst ones.
func (d *Detector) Standings(group []string, now time.Time) []Standing {
	o := make([]Standing, len(group))
	type ejected struct {
		index int
		bad   float64
	}
	var l []ejected
	for i, k := range group {
		o[i].Share = 1
		m := d.members[k]
		switch {
		case m == nil:
		case m.ejected:
			o[i] = Standing{ProbeDue: m.probeDue(now)}
			l = append(l, ejected{i, m.badNow(now)})
		case m.badNow(now) >= reducedFrom || d.isSlow(k, group):
			o[i].Share = reducedShare
		}
	}
	slices.SortStableFunc(l, func(a, b ejected) int {
		if a.bad != b.bad {
			return map[bool]int{true: -1, false: 1}[a.bad > b.bad]
		}
		return a.index - b.index
	})
	for _, e := range l[min(len(group)/2, len(l)):] {
		o[e.index] = Standing{Share: reducedShare}
	}
	return o
}

func (d *Detector) member(id string) *member {
	m := d.members[id]
	if m == nil {
		m = &member{}
		d.members[id] = m
	}
	return m
}

// bad records a bad outcome.
func (d *Detector) bad(id string, now time.Time) Change {
	m := d.member(id)
	m.record(1, now)
	m.goodProbes = 0
	switch {
	case m.ejected && !m.probingSince.IsZero():
		m.ejection = min(2*m.ejection, maxEjection)
		m.ejectedUntil, m.probingSince = now.Add(m.ejection), time.Time{}
	case !m.ejected && m.bad >= ejectedFrom:
		m.ejected, m.probingSince = true, time.Time{}
		m.ejection = minEjection
		m.ejectedUntil = now.Add(m.ejection)
		return Ejected
	}
	return Unchanged
}

// record adds an outcome from 0 (good) to 1 (bad).
func (m *member) record(x float64, now time.Time) {
	m.bad = m.badNow(now)
	m.bad += outcomeWeight * (x - m.bad)
	m.badAt = now
}

func (m *member) badNow(now time.Time) float64 {
	if m.bad == 0 {
		return 0
	}
	return m.bad * math.Exp(-float64(now.Sub(m.badAt))/float64(decayTime))
}

func (m *member) probeDue(now time.Time) bool {
	return !now.Before(m.ejectedUntil) && (m.probingSince.IsZero() || now.Sub(m.probingSince) > probeTimeout)
}

// probeSucceeded records a good answer of an ejected member: to a probe or, after the
// end of the ejection, to any read, since a member that is in use isn't probed.
func (m *member) probeSucceeded(now time.Time) Change {
	if !m.ejected || m.probingSince.IsZero() && now.Before(m.ejectedUntil) {
		return Unchanged
	}
	m.goodProbes++
	m.probingSince = time.Time{}
	if m.goodProbes < probesToReturn {
		return Unchanged
	}
	// The member returns reduced, and is ejected again after one or two failures.
	m.ejected, m.bad = false, reducedFrom
	return Returned
}

// isSlow reports whether a member takes much longer than the others of its group.
func (d *Detector) isSlow(id string, group []string) bool {
	m := d.members[id]
	var l []time.Duration
	for _, k := range group {
		if o := d.members[k]; k != id && o != nil && o.samples >= minSamples {
			l = append(l, o.took)
		}
	}
	if m.samples < minSamples || len(l) == 0 {
		return false
	}
	slices.Sort(l)
	t := l[len(l)/2]
	return m.took > slowFactor*t && m.took > t+slowExcess
}
