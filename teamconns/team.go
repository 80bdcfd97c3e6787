package teamconns

import (
	"math"
	"time"
)

const (
	// memoryTime is the time constant with which past use is forgotten: shorter than
	// the connections of a team that is no longer large could go unused, and longer
	// than the pauses of the small teams that are to keep theirs.
	memoryTime = 20 * time.Second
	// busyMemoryTime is the same for the number of connections in use, which follows a
	// surge of a team.
	busyMemoryTime = 2 * time.Second
	// minRemembered is the number of remembered requests below which a team without
	// connections is forgotten.
	minRemembered = 0.01
	// maxForgotten is the number of teams without a connection that are remembered
	// for each connection before some are forgotten.
	maxForgotten = 8
)

// team is what a Set remembers of a team's use of the member.
type team struct {
	// at is when the remembered use was last updated.
	at time.Time
	// requests is the number of remembered requests. busy is the number of connections
	// in use, and meanBusy its mean over the past.
	requests float64
	meanBusy float64
	busy     int
	// waiting is the number of waiting requests, and waited how long requests have
	// waited since the team last opened a connection; it is forgotten like the others.
	waiting int
	waited  time.Duration
}

// team returns a team, with its remembered use as of now.
func (s *Set) team(name string, now time.Time) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{at: now}
		s.teams[name] = t
	}
	t.advance(now)
	return t
}

// advance updates the remembered use.
func (t *team) advance(now time.Time) {
	d := now.Sub(t.at)
	if d <= 0 {
		return
	}
	k, b := decay(d, memoryTime), decay(d, busyMemoryTime)
	t.at = now
	t.requests *= k
	t.meanBusy = t.meanBusy*b + float64(t.busy)*(1-b)
	t.waited = time.Duration(float64(t.waited)*k) + time.Duration(t.waiting)*d
}

// decay returns the share of what happened a time ago that is remembered.
func decay(ago, memory time.Duration) float64 { return math.Exp(-ago.Seconds() / memory.Seconds()) }

func (t *team) setBusy(n int, now time.Time) {
	t.advance(now)
	t.busy = n
}

// opened takes note that the team opens a connection, with which n are in use.
func (t *team) opened(n int, now time.Time) {
	t.setBusy(n, now)
	t.waited = 0
}

// untilWorthOpening returns how long the team's waiting requests have to wait before an
// opening is worth its time.
func (t *team) untilWorthOpening(openingTime time.Duration) time.Duration {
	return max(openingTime-t.waited, 0) / time.Duration(max(t.waiting, 1))
}

// needOf returns the rate at which the team is expected to need its n-th connection:
// that of the requests that find n-1 others in use.
func (t *team) needOf(n int) float64 {
	p, below := math.Exp(-t.meanBusy), 0.0
	for i := range n - 1 {
		below += p
		p *= t.meanBusy / float64(i+1)
	}
	return t.requests / memoryTime.Seconds() * max(1-below, 0)
}

// forgetTeams forgets teams that have no connection and hardly any remembered use.
func (s *Set) forgetTeams(now time.Time) {
	if len(s.teams) < max(s.forgetAt, (1+maxForgotten)*s.config.Connections) {
		return
	}
	used := map[string]bool{}
	for _, c := range s.conns {
		used[c.team] = true
	}
	for _, r := range s.waiting {
		used[r.Team] = true
	}
	for n, t := range s.teams {
		t.advance(now)
		if !used[n] && t.requests < minRemembered {
			delete(s.teams, n)
		}
	}
	// A look at all of them is paid for by as many new ones.
	s.forgetAt = 2 * len(s.teams)
}

// lenOf returns the number of connections of a team, busyOf that of those in use or
// being opened, and runningOf that of those which will be released soon.
func (s *Set) lenOf(team string) int {
	return s.countOf(team, func(connState) bool { return true })
}

func (s *Set) busyOf(team string) int {
	return s.countOf(team, func(c connState) bool { return c != idle })
}

func (s *Set) runningOf(team string) int {
	return s.countOf(team, func(c connState) bool { return c == running || c == opening })
}

func (s *Set) countOf(team string, f func(connState) bool) int {
	n := 0
	for _, c := range s.conns {
		if c.team == team && f(c.state) {
			n++
		}
	}
	return n
}
