package matrix

import (
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

// Fault is something that goes wrong.
type Fault string

// The faults of the matrix.
const (
	PrimaryCut         Fault = "primary-cut-from-peers"
	PrimaryKilled      Fault = "primary-killed"
	PrimaryFrozen      Fault = "primary-frozen"
	ReplicaBehind      Fault = "replica-far-behind"
	SilentConnection   Fault = "silent-connection"
	BrokenConnection   Fault = "broken-connection"
	EntryKilled        Fault = "entry-killed"
	OwnerKilled        Fault = "owner-killed"
	OwnerFrozen        Fault = "owner-frozen"
	PlatformDown       Fault = "platform-down"
	PlatformSlow       Fault = "platform-slow"
	PlatformAnswerLost Fault = "platform-answer-lost"
	RacingOperators    Fault = "racing-operators"
	TwoPromoting       Fault = "two-daemons-promoting"
	DomainCut          Fault = "failure-domain-cut"
	HostLeaving        Fault = "host-leaving"
	MemberLeaving      Fault = "primary-leaving"
	LateAnswers        Fault = "late-duplicate-reordered"
	SuccessorKilled    Fault = "promoted-primary-killed"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		PrimaryCut, PrimaryKilled, PrimaryFrozen, ReplicaBehind, SilentConnection, BrokenConnection, EntryKilled, OwnerKilled,
		OwnerFrozen, PlatformDown, PlatformSlow, PlatformAnswerLost, RacingOperators, TwoPromoting, DomainCut,
		HostLeaving, MemberLeaving, LateAnswers, SuccessorKilled,
	}
}

// Sizes of faults.
const (
	farBehind    = 3 * time.Second
	littleBehind = 300 * time.Millisecond
	platformLag  = 5 * time.Second
	lateBy       = 2 * time.Second
	lateShare    = 0.3
	replaceTime  = 3 * time.Second
)

// inject makes a fault happen now, or as soon as there is a primary. The
// target is the write at whose step it happens; e is the entry of the write and
// o the owner of the primary.
func (r *run) inject(f Fault) {
	w := r.w
	p := w.Primary()
	switch {
	case r.healed:
		return
	case p == nil:
		w.After(lookInterval, func() { r.inject(f) })
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
	case ReplicaBehind:
		r.slowReplicas(p)
	case SilentConnection:
		w.SilenceConnections(p.Node)
	case BrokenConnection:
		w.BreakConnections(p.Node)
	case EntryKilled:
		r.replace(e)
	case OwnerKilled:
		r.replace(o)
	case OwnerFrozen:
		if o != nil {
			o.Freeze()
		}
	case TwoPromoting:
		r.promoteTwice(p)
	case DomainCut:
		w.CutDomain(p.Location.FailureDomain)
	case HostLeaving:
		if o != nil {
			o.Drain()
			w.After(replaceTime, o.Terminate)
			w.AddDaemon(o.Location)
		}
	case MemberLeaving:
		p.SetDraining(true)
	case LateAnswers:
		w.Noise = model.Noise{DuplicateProbability: lateShare, DelayProbability: lateShare, MaxDelay: lateBy}
	case SuccessorKilled:
		r.killSuccessor = true
		p.Kill()
	default:
		r.injectPlatform(f)
	}
}

func (r *run) injectPlatform(f Fault) {
	switch f {
	case PlatformDown:
		r.w.Platform.Down()
	case PlatformSlow:
		r.w.Platform.ExtraDelay = platformLag
	case PlatformAnswerLost:
		r.w.Platform.LoseAnswers = true
	case RacingOperators:
		r.race()
		return
	}
	r.race()
}

// cutPrimary separates the primary from its peers and from all daemons outside
// its failure domain.
func (r *run) cutPrimary(p *model.Member) {
	for _, m := range r.w.Members {
		if m != p {
			r.w.Cut(m.Node, p.Node)
		}
	}
	for _, d := range r.w.Daemons {
		if d.Location.FailureDomain != p.Location.FailureDomain {
			r.w.Cut(d.Node, p.Node)
		}
	}
}

// slowReplicas lets one replica fall far behind, and the others a little.
func (r *run) slowReplicas(p *model.Member) {
	var last *model.Member
	for _, m := range r.w.Members {
		if m != p {
			m.Lag = littleBehind
			last = m
		}
	}
	last.Lag = farBehind
}

// replace kills a daemon; another host takes its place.
func (r *run) replace(d *model.Daemon) {
	if d == nil || !d.Alive() {
		return
	}
	d.Terminate()
	r.w.After(replaceTime, func() { r.w.AddDaemon(d.Location) })
}

// promoteTwice makes two daemons lose the primary at once, while it goes on
// for everyone else.
func (r *run) promoteTwice(p *model.Member) {
	n := 0
	for _, d := range r.w.Daemons {
		if d.Alive() && n < 2 {
			d.ForceFirst(true)
			r.w.Cut(d.Node, p.Node)
			n++
		}
	}
}

// heal ends all faults.
func (r *run) heal() {
	r.w.Heal()
	r.healed, r.killSuccessor = true, false
	r.w.Platform.ExtraDelay, r.w.Platform.LoseAnswers = 0, false
	r.w.Platform.Up()
	for _, m := range r.w.Members {
		m.Lag = 0
		m.SetDraining(false)
		m.Restart()
		if m.Frozen() {
			m.Thaw()
		}
	}
	for _, d := range r.w.Daemons {
		d.ForceFirst(false)
		if d.Frozen() {
			d.Thaw()
		}
	}
}
