package fleet

import "github.com/dragonflypick/dragonflypick/membership"

// strongerFactor is by how much a host has to be stronger than this one to be given
// the only group that this one holds.
const strongerFactor = 2

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
