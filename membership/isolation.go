package membership

import "time"

// isolationTimeout is how long no other daemon may have answered or called before
// this host counts as isolated. In that time each of them is polled several times.
const isolationTimeout = 1200 * time.Millisecond

// Isolated reports whether this host has lost contact with all other hosts that
// the platform lists.
func (v *View) Isolated(now time.Time) bool {
	if v.lastContact.IsZero() || now.Sub(v.lastContact) < isolationTimeout {
		return false
	}
	for id, h := range v.listed {
		if id != v.self.ID && !h.Draining {
			return true
		}
	}
	return false
}

// evidenceTime is how long an observation of a host counts when this host decides
// whether it is itself the one that has lost its connections. In that time each
// neighbor is polled several times.
const evidenceTime = 3 * time.Second

// evidence is what this daemon last observed of a host.
type evidence struct {
	// answeredAt is when the host last answered or called.
	answeredAt time.Time
	// failedAt is when a link to it failed after that; zero if none did. ended is
	// LinkFailed.Ended of that failure.
	failedAt time.Time
	ended    bool
}

func (e evidence) latest() time.Time {
	if e.failedAt.After(e.answeredAt) {
		return e.failedAt
	}
	return e.answeredAt
}

func (v *View) observeFailure(x LinkFailed, now time.Time) {
	e := v.evidence[x.ID]
	e.failedAt, e.ended = now, x.Ended
	v.evidence[x.ID] = e
	if x.Ended {
		v.lastContact = now
	}
}

// CutOff reports whether this host can't reach a host whose leases it may not take
// over either, since it may itself be the one that has lost its connections.
func (v *View) CutOff(id string, now time.Time) bool {
	_, suspect := v.suspects[id]
	return id != v.self.ID && suspect && !v.TakeoverAllowed(id, now)
}

// TakeoverAllowed reports whether the leases of a host may be taken over. They
// may if the host drains, isn't in the view, or has ended.
//
// If it is silent, this host may be the one that has lost its connections. The
// daemon exchanges with a bounded number of hosts, so that it decides from these:
// of the hosts that it has observed since the silent one last answered, at least
// as many must have shown that they are reachable as were silent, the one in
// question included. With a fraction p of all hosts cut off from this one and a
// sample of n, a takeover is wrongly allowed with the probability that at most
// half of the sample is cut off: for a sample of 7 and p = 0.9 this is 0.003.
func (v *View) TakeoverAllowed(id string, now time.Time) bool {
	h, ok := v.Host(id)
	if !ok || h.Draining {
		return true
	}
	if v.isLive(h, now) || v.Isolated(now) {
		return false
	}
	q := v.evidence[id]
	if q.ended {
		return true
	}
	since := now.Add(-evidenceTime)
	if q.answeredAt.After(since) {
		since = q.answeredAt
	}
	reachable, silent := 0, 1
	for o, e := range v.evidence {
		if o == id || o == v.self.ID || e.latest().Before(since) {
			continue
		}
		if e.failedAt.IsZero() || e.ended {
			reachable++
		} else {
			silent++
		}
	}
	return reachable >= silent
}
