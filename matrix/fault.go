package matrix

import (
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

// Fault is a kind of fault that is injected at a step of a write.
type Fault string

// The faults.
const (
	PrimaryCut           Fault = "primary-cut-from-peers"
	PrimaryKilled        Fault = "primary-killed"
	PrimaryFrozen        Fault = "primary-frozen"
	ReplicaLagging       Fault = "replica-lagging"
	SilentConnection     Fault = "silent-connection"
	BrokenConnection     Fault = "broken-connection"
	EntryKilled          Fault = "entry-killed"
	OwnerKilled          Fault = "owner-killed"
	OwnerFrozen          Fault = "owner-frozen"
	PlatformDown         Fault = "platform-down"
	PlatformSlow         Fault = "platform-slow"
	PlatformAnswerLost   Fault = "platform-answer-lost"
	ConcurrentPushes     Fault = "concurrent-pushes"
	ConcurrentPromotions Fault = "concurrent-promotions"
	DomainCut            Fault = "failure-domain-cut"
	HostDraining         Fault = "host-draining"
	PrimaryDraining      Fault = "primary-draining"
	MessagesReordered    Fault = "messages-delayed-duplicated-reordered"
	NewPrimaryKilled     Fault = "new-primary-killed"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		PrimaryCut, PrimaryKilled, PrimaryFrozen, ReplicaLagging, SilentConnection, BrokenConnection, EntryKilled, OwnerKilled,
		OwnerFrozen, PlatformDown, PlatformSlow, PlatformAnswerLost, ConcurrentPushes, ConcurrentPromotions, DomainCut,
		HostDraining, PrimaryDraining, MessagesReordered, NewPrimaryKilled,
	}
}

// Parameters of the faults.
const (
	longReplicaLag          = 3 * time.Second
	shortReplicaLag         = 300 * time.Millisecond
	platformDelay           = 5 * time.Second
	maxMessageDelay         = 2 * time.Second
	messageFaultProbability = 0.3
	daemonReplacementDelay  = 3 * time.Second
)

// injectFault injects a fault now, or as soon as there is a primary. Faults of
// an entry or owner concern the entry of the target write and the owner of the
// primary.
func (r *run) injectFault(f Fault) {
	w := r.world
	p := w.Primary()
	switch {
	case r.faultsEnded:
		return
	case p == nil:
		w.After(pollInterval, func() { r.injectFault(f) })
		return
	}
	e := r.target.Entry()
	var o *model.Daemon
	if e != nil {
		o = w.Owner(e, p)
	}
	switch f {
	case PrimaryCut:
		r.cutPrimary(p)
	case PrimaryKilled:
		p.Kill()
	case PrimaryFrozen:
		p.Freeze()
	case ReplicaLagging:
		r.delayReplicas(p)
	case SilentConnection:
		w.SilenceConnections(p.Node)
	case BrokenConnection:
		w.BreakConnections(p.Node)
	case EntryKilled:
		r.replaceDaemon(e)
	case OwnerKilled:
		r.replaceDaemon(o)
	case OwnerFrozen:
		if o != nil {
			o.Freeze()
		}
	case ConcurrentPromotions:
		r.promoteConcurrently(p)
	case DomainCut:
		w.CutDomain(p.Location.FailureDomain)
		r.addOutsideCaller(p.Location.FailureDomain)
	case HostDraining:
		if o != nil {
			o.Drain()
			w.After(daemonReplacementDelay, o.Terminate)
			w.StartDaemon(o.Location)
		}
	case PrimaryDraining:
		p.SetDraining(true)
	case MessagesReordered:
		w.MessageFaults = model.MessageFaults{DuplicateProbability: messageFaultProbability, DelayProbability: messageFaultProbability, MaxDelay: maxMessageDelay}
	case NewPrimaryKilled:
		r.killNewPrimary = true
		p.Kill()
	default:
		r.injectPlatformFault(f)
	}
}

func (r *run) injectPlatformFault(f Fault) {
	switch f {
	case PlatformDown:
		r.world.Platform.Stop()
	case PlatformSlow:
		r.world.Platform.ExtraDelay = platformDelay
	case PlatformAnswerLost:
		r.world.Platform.LoseAnswers = true
	case ConcurrentPushes:
		r.pushBundlesConcurrently()
		return
	}
	r.pushBundlesConcurrently()
}

// addOutsideCaller adds a caller at a daemon outside of a failure domain that is
// cut off. Without it all callers may by chance be at daemons inside, which can't
// serve, and the gap in service would tell nothing about the others.
func (r *run) addOutsideCaller(domain string) {
	for _, d := range r.world.Daemons {
		if d.Alive() && d.Location.FailureDomain != domain {
			r.world.AddSession(d)
			return
		}
	}
}

// cutPrimary cuts the primary off from its peers and from all daemons outside
// its failure domain.
func (r *run) cutPrimary(p *model.Member) {
	for _, m := range r.world.Members {
		if m != p {
			r.world.Cut(m.Node, p.Node)
		}
	}
	for _, d := range r.world.Daemons {
		if d.Location.FailureDomain != p.Location.FailureDomain {
			r.world.Cut(d.Node, p.Node)
		}
	}
}

// delayReplicas gives one replica a long lag and the others a short one.
func (r *run) delayReplicas(p *model.Member) {
	var last *model.Member
	for _, m := range r.world.Members {
		if m != p {
			m.Lag = shortReplicaLag
			last = m
		}
	}
	last.Lag = longReplicaLag
}

// replaceDaemon kills a daemon and starts another one in its place after
// daemonReplacementDelay.
func (r *run) replaceDaemon(d *model.Daemon) {
	if d == nil || !d.Alive() {
		return
	}
	d.Terminate()
	r.world.After(daemonReplacementDelay, func() { r.world.StartDaemon(d.Location) })
}

// promoteConcurrently cuts two daemons off from the primary and makes both the
// first to replace it, while the primary still serves all others.
func (r *run) promoteConcurrently(p *model.Member) {
	n := 0
	for _, d := range r.world.Daemons {
		if d.Alive() && n < 2 {
			d.ForceFirstWatcher(true)
			r.world.Cut(d.Node, p.Node)
			n++
		}
	}
}

// endFaults ends all faults.
func (r *run) endFaults() {
	r.world.EndNetworkFaults()
	r.faultsEnded, r.killNewPrimary = true, false
	r.world.Platform.ExtraDelay, r.world.Platform.LoseAnswers = 0, false
	r.world.Platform.Restart()
	for _, m := range r.world.Members {
		m.Lag = 0
		m.SetDraining(false)
		m.Restart()
		if m.Frozen() {
			m.Thaw()
		}
	}
	for _, d := range r.world.Daemons {
		d.ForceFirstWatcher(false)
		if d.Frozen() {
			d.Thaw()
		}
	}
}
