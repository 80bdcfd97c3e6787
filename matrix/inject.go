package matrix

import (
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

// injectLater injects a fault, if there is one, after a time and at a step, if that is set.
func (r *takeoverRun) injectLater(f TakeoverFault, step model.TakeoverStep, after time.Duration) {
	switch {
	case f == "":
	case step == "":
		r.world.After(after, func() { r.injectFault(f) })
	default:
		r.world.After(after, func() { r.awaited[step] = append(r.awaited[step], f) })
	}
}

// injectFault injects a fault now.
func (r *takeoverRun) injectFault(f TakeoverFault) {
	if r.faultsEnded {
		return
	}
	if d := r.world.Holder(); d != nil && r.injectHolderFault(f, d) {
		return
	}
	if m := r.world.Primary(); m != nil && r.injectPrimaryFault(f, m) {
		return
	}
	switch f {
	case StoreDown:
		r.world.Platform.Stop()
	case StoreSlow:
		r.world.Platform.ExtraDelay = platformDelay
	case StoreAnswersLost:
		r.world.Platform.LoseAnswers = true
	case StoreWritesLate:
		r.world.Platform.LateWrites = true
		r.world.After(lateWritesTime, func() { r.world.Platform.LateWrites = false })
	case StoreRestored:
		r.restoreStore()
	case StoreRestoredTwice:
		r.restoreStore()
		r.world.After(restoreInterval, r.restoreStore)
	case MessagesDelayed:
		r.world.MessageFaults = model.MessageFaults{DuplicateProbability: messageFaultProbability, DelayProbability: messageFaultProbability, MaxDelay: takeoverMaxMessageDelay}
	case FailureDomainCut:
		r.world.CutDomain("west-2")
	case ReplicasLagging:
		for _, m := range r.world.Members {
			m.Lag = longReplicaLag
		}
	case PromotedMembersCut:
		r.membersToCut = promotedMembersCut
	case AllRestarted:
		for _, d := range slices.Clone(r.world.Daemons) {
			if d.Alive() {
				d.ReplaceProcess(restartDelay)
			}
		}
	case PromotionsLate:
		r.world.LatePromotions = true
		r.world.After(lateWritesTime, func() { r.world.LatePromotions = false })
	}
}

// cutMember cuts a member off from all others and from the daemons, for memberCutTime.
func (r *takeoverRun) cutMember(m *model.PlatformMember) {
	l := r.world.OtherNodes(m.Node)
	for _, n := range l {
		r.world.Cut(m.Node, n)
	}
	r.world.After(memberCutTime, func() {
		for _, n := range l {
			r.world.Heal(m.Node, n)
		}
	})
}

// restoreStore brings the store back from a copy of a drawn age.
func (r *takeoverRun) restoreStore() {
	r.world.RestoreStore(time.Duration(r.plan.Seed*uint64(copyAgeStep)) % maxCopyAge)
}

// injectHolderFault injects a fault of the holder, and reports whether f is
// one.
func (r *takeoverRun) injectHolderFault(f TakeoverFault, d *model.PlatformDaemon) bool {
	switch f {
	case HolderKilled:
		d.Kill()
	case HolderRestarted:
		d.ReplaceProcess(restartDelay)
	case HolderFrozen:
		d.Freeze()
		r.world.After(holderFreezeTime, d.Thaw)
	case HolderFrozenPastLease:
		d.Freeze()
	case HolderRejectedByStore:
		r.world.RejectedByStore[d] = true
	case HolderCutFromMembers:
		for _, m := range r.world.Members {
			r.world.Cut(d.Node, m.Node)
		}
	case HolderCutFromAll:
		for _, n := range r.world.OtherNodes(d.Node) {
			r.world.Cut(d.Node, n)
		}
	case HolderInboundCut:
		for _, n := range r.world.OtherNodes(d.Node) {
			r.world.CutOneWay(n, d.Node)
		}
	case HolderOutboundCut:
		for _, n := range r.world.OtherNodes(d.Node) {
			r.world.CutOneWay(d.Node, n)
		}
	case HolderDraining:
		d.Drain()
	default:
		return false
	}
	return true
}

// injectPrimaryFault injects a fault of the primary or of the most advanced
// replica, and reports whether f is one.
func (r *takeoverRun) injectPrimaryFault(f TakeoverFault, m *model.PlatformMember) bool {
	switch f {
	case GroupPrimaryKilled:
		m.Kill()
	case GroupPrimaryRestartedEmpty:
		m.Kill()
		r.world.After(restartDelay, func() { m.Restart(true) })
	case GroupPrimaryFrozen:
		m.Freeze()
	case GroupPrimaryFrozenBriefly:
		m.Freeze()
		r.world.After(primaryFreezeTime, m.Thaw)
	case GroupPrimaryCut:
		for _, n := range r.world.OtherNodes(m.Node) {
			r.world.Cut(m.Node, n)
		}
	case GroupPrimaryDraining:
		m.SetDraining(true)
	case GroupReplicaDraining:
		for _, o := range r.world.Members {
			if o != m && o.Alive() {
				o.SetDraining(true)
				break
			}
		}
	case MostAdvancedReplicaKilled:
		var h *model.PlatformMember
		for _, o := range r.world.Members {
			if o != m && o.Alive() && (h == nil || h.Log().Last().Less(o.Log().Last())) {
				h = o
			}
		}
		if h != nil {
			h.Kill()
		}
	default:
		return false
	}
	return true
}

// endFaults ends all faults and starts new daemons in place of killed ones.
func (r *takeoverRun) endFaults() {
	r.faultsEnded = true
	r.world.EndNetworkFaults()
	r.world.Platform.ExtraDelay, r.world.Platform.LoseAnswers, r.world.Platform.LateWrites = 0, false, false
	r.world.Platform.Restart()
	r.world.LatePromotions = false
	clear(r.world.RejectedByStore)
	for _, m := range r.world.Members {
		m.Lag = 0
		m.SetDraining(false)
		m.Restart(false)
		if m.Frozen() {
			m.Thaw()
		}
	}
	for _, d := range append([]*model.PlatformDaemon(nil), r.world.Daemons...) {
		switch {
		case d.Frozen():
			d.Thaw()
		case !d.Alive():
			r.world.StartDaemon(d.Location, "")
		}
	}
}
