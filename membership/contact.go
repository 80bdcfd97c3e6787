package membership

import "time"

// contactTime is how long no other daemon may have answered until the host takes
// itself for cut off; each is asked for news several times in it.
const contactTime = 1200 * time.Millisecond

// Isolated reports whether the host is cut off from all others that the platform
// lists.
func (v *View) Isolated(now time.Time) bool {
	if v.contact.IsZero() || now.Sub(v.contact) < contactTime {
		return false
	}
	for id, h := range v.listed {
		if id != v.self.ID && !h.Draining {
			return true
		}
	}
	return false
}

// TakeoverAllowed reports whether what a host holds may be taken from it: the platform has
// given it up or it leaves, or it doesn't answer this host while most others do,
// so that it is not this host that is cut off.
func (v *View) TakeoverAllowed(id string, now time.Time) bool {
	h, ok := v.Host(id)
	if !ok || h.Draining {
		return true
	}
	if v.live(h, now) || v.Isolated(now) {
		return false
	}
	others := len(v.Live(now))
	if v.live(v.self, now) {
		others--
	}
	return others >= len(v.Suspects(now))
}
