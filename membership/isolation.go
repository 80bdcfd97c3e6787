package membership

import "time"

// isolationTimeout is how long no other daemon may have answered or called before
// this host counts as isolated. In that time each of them is polled several times.
const isolationTimeout = 1200 * time.Millisecond

// Isolated reports whether this host has lost contact with all other hosts that the
// platform lists.
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

// TakeoverAllowed reports whether the leases of a host may be taken over. They may if
// the host drains or isn't in the view. If it is in the view but not live, they may
// only if this host isn't isolated and at least as many other hosts are live as are
// suspected; otherwise this host may be the one that has lost its connections.
func (v *View) TakeoverAllowed(id string, now time.Time) bool {
	h, ok := v.Host(id)
	if !ok || h.Draining {
		return true
	}
	if v.isLive(h, now) || v.Isolated(now) {
		return false
	}
	others := len(v.Live(now))
	if v.isLive(v.self, now) {
		others--
	}
	return others >= len(v.Suspects(now))
}
