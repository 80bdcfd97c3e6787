package fleet

import (
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

const (
	// strongerFactor is by how much a host has to be stronger than this one to be given
	// the only group that this one holds.
	strongerFactor = 2
	// minHandoverPause and maxHandoverPause bound the time between two handovers of a
	// group by this host, which doubles with each.
	minHandoverPause = 10 * time.Second
	maxHandoverPause = 2 * time.Minute
)

// handovers bounds how often a host hands a group over so that its failure domain is
// balanced. Two hosts that see different hosts, for example because a link between a
// third one and one of them is cut, may each take the other for the owner.
type handovers struct {
	at    time.Time
	pause time.Duration
}

// due reports whether the group may be handed over.
func (h *handovers) due(t time.Time) bool { return h.at.IsZero() || t.Sub(h.at) >= h.pause }

// record records a handover.
func (h *handovers) record(t time.Time) {
	if t.Sub(h.at) > 2*maxHandoverPause {
		h.pause = 0
	}
	h.at, h.pause = t, min(max(2*h.pause, minHandoverPause), maxHandoverPause)
}

// strongerHostExists reports whether a group that this host holds is to be held by
// its owner in the same failure domain: this host holds several groups, or the owner
// is much stronger. f.mu is held.
func (f *Daemon) strongerHostExists(owner membership.Host) bool {
	if owner.ID == f.config.Self.ID || owner.FailureDomain != f.config.Self.FailureDomain {
		return false
	}
	if owner.Weight >= strongerFactor*f.config.Self.Weight && owner.Weight > 0 {
		return true
	}
	held := 0
	for _, g := range f.groups {
		if g.Holder().ID == f.config.Self.ID {
			held++
		}
	}
	return held > 1
}
