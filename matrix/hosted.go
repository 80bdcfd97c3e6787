package matrix

import (
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/model"
)

// HostedFault is a kind of trouble on the users' platform.
type HostedFault string

// The faults.
const (
	NoFault           HostedFault = "none"
	HolderKilled      HostedFault = "holder-killed"
	HolderRestarted   HostedFault = "holder-restarted"
	HolderFrozen      HostedFault = "holder-frozen"
	HolderFrozenLong  HostedFault = "holder-frozen-past-its-time"
	HolderTurnedAway  HostedFault = "holder-turned-away-by-store"
	HolderOffMembers  HostedFault = "holder-cut-from-members"
	HolderOffAll      HostedFault = "holder-cut-from-all"
	HolderDeaf        HostedFault = "holder-hears-nothing"
	HolderMute        HostedFault = "holder-unheard"
	HolderLeaves      HostedFault = "holder-leaving"
	LeaderKilled      HostedFault = "primary-killed"
	LeaderReborn      HostedFault = "primary-born-empty"
	LeaderFrozen      HostedFault = "primary-frozen"
	LeaderFrozenBrief HostedFault = "primary-frozen-briefly"
	LeaderCut         HostedFault = "primary-cut"
	LeaderDrains      HostedFault = "primary-draining"
	HeirKilled        HostedFault = "most-advanced-replica-killed"
	StoreDown         HostedFault = "store-down"
	StoreSlow         HostedFault = "store-slow"
	StoreLosesAnswers HostedFault = "store-loses-answers"
	MessagesLate      HostedFault = "messages-late-and-doubled"
	RegionCut         HostedFault = "failure-domain-cut"
	ReplicasLag       HostedFault = "replicas-behind"
)

// HostedFaults returns all faults.
func HostedFaults() []HostedFault {
	return []HostedFault{
		HolderKilled, HolderRestarted, HolderFrozen, HolderFrozenLong, HolderTurnedAway, HolderOffMembers, HolderOffAll,
		HolderDeaf, HolderMute, HolderLeaves, LeaderKilled, LeaderReborn, LeaderFrozen, LeaderFrozenBrief, LeaderCut, LeaderDrains, HeirKilled,
		StoreDown, StoreSlow, StoreLosesAnswers, MessagesLate, RegionCut, ReplicasLag,
	}
}

// Timing of a hosted run.
const (
	hostedWarmUp = 3 * time.Second
	// hostedFaultTime is how long faults last; it outlasts a holder's time.
	hostedFaultTime = lease.Validity + 4*time.Second
	// briefFreeze ends within the time in which a successor is promoted.
	briefFreeze = 2500 * time.Millisecond
	// holderFreeze is shorter than a holder's time.
	holderFreeze = 5 * time.Second
	// rebirth is how long a member that is born empty stays away.
	rebirth = 150 * time.Millisecond
	// recovery is how long the group may take to serve again once all faults have
	// ended: an earlier holder's time, and a failover.
	recovery = lease.Validity + 2*time.Second + gapTarget
	// lateness bounds late messages.
	lateness = 800 * time.Millisecond
)

// HostedPlan is what one run raises: Trigger makes a succession happen, First
// comes when it reaches Step, Second After later.
type HostedPlan struct {
	Seed    uint64
	Trigger HostedFault
	Step    model.TakeoverStep
	First   HostedFault
	Second  HostedFault
	After   time.Duration
	Options model.Options
	// Trace is told of what happens; nil if nobody asks.
	Trace func(string)
}

// String describes the plan.
func (p HostedPlan) String() string {
	s := string(p.First) + " at " + string(p.Step) + " after " + string(p.Trigger)
	if p.Second != "" {
		s += " and " + string(p.Second) + " " + p.After.String() + " later"
	}
	return s + ", seed " + strconv.FormatUint(p.Seed, 10)
}

// HostedReport is what a run has shown.
type HostedReport struct {
	Violations []string
	// Raised tells that Step was reached.
	Raised bool
	// Done counts acknowledged writes, Shown answered reads.
	Done, Shown int
	// Gap is the longest time without an acknowledged write.
	Gap time.Duration
}

type hostedRun struct {
	p      HostedPlan
	w      *model.PlatformWorld
	healed bool
	report HostedReport
	// done and since are the acknowledged writes at the last look, and when they
	// last grew.
	done  int
	since time.Time
}

// RunHosted carries out a plan.
func RunHosted(p HostedPlan) HostedReport {
	r := &hostedRun{p: p, w: model.NewPlatformWorld(model.Config{Seed: p.Seed, Options: p.Options})}
	r.w.Trace = p.Trace
	r.w.Advance(hostedWarmUp)
	r.since, r.done = r.w.Now(), r.w.AcknowledgedWrites
	r.w.OnTakeoverStep = r.reached
	r.inject(p.Trigger)
	r.reached(model.Idle, r.w.Holder())
	r.pass(hostedFaultTime)
	r.heal()
	n := r.w.AcknowledgedWrites
	r.pass(recovery)
	if r.w.AcknowledgedWrites == n {
		r.w.Violations = append(r.w.Violations, "no write was acknowledged after the faults")
	}
	if r.since.Add(gapTarget).Before(r.w.Now()) {
		r.w.Violations = append(r.w.Violations, "writes have stopped after the faults")
	}
	r.report.Violations, r.report.Done, r.report.Shown = r.w.Violations, r.w.AcknowledgedWrites, r.w.AnsweredReads
	return r.report
}

// RunAllHosted carries out plans side by side; the reports are in order of the
// plans.
func RunAllHosted(p []HostedPlan) []HostedReport {
	o := make([]HostedReport, len(p))
	g := &errgroup.Group{}
	g.SetLimit(parallel)
	for i := range p {
		g.Go(func() error {
			o[i] = RunHosted(p[i])
			return nil
		})
	}
	_ = g.Wait()
	return o
}

// pass lets time go by and measures gaps in service.
func (r *hostedRun) pass(d time.Duration) {
	end := r.w.Now().Add(d)
	for r.w.Now().Before(end) {
		r.w.Advance(lookInterval)
		if r.w.AcknowledgedWrites > r.done {
			r.report.Gap = max(r.report.Gap, r.w.Now().Sub(r.since))
			r.done, r.since = r.w.AcknowledgedWrites, r.w.Now()
		}
	}
	r.report.Gap = max(r.report.Gap, r.w.Now().Sub(r.since))
}

// reached raises the faults at the planned step. The holder at that step is the
// one that is struck.
func (r *hostedRun) reached(s model.TakeoverStep, _ *model.PlatformDaemon) {
	if s != r.p.Step || r.report.Raised || r.healed {
		return
	}
	r.report.Raised = true
	r.inject(r.p.First)
	if r.p.Second != "" {
		r.w.After(r.p.After, func() { r.inject(r.p.Second) })
	}
}

// inject makes a fault happen now.
func (r *hostedRun) inject(f HostedFault) {
	if r.healed {
		return
	}
	if d := r.w.Holder(); d != nil && r.injectHolder(f, d) {
		return
	}
	if m := r.w.Primary(); m != nil && r.injectLeader(f, m) {
		return
	}
	switch f {
	case StoreDown:
		r.w.Platform.Down()
	case StoreSlow:
		r.w.Platform.ExtraDelay = platformLag
	case StoreLosesAnswers:
		r.w.Platform.LoseAnswers = true
	case MessagesLate:
		r.w.Noise = model.Noise{DuplicateProbability: lateShare, DelayProbability: lateShare, MaxDelay: lateness}
	case RegionCut:
		r.w.CutDomain("west-2")
	case ReplicasLag:
		for _, m := range r.w.Members {
			m.Lag = farBehind
		}
	}
}

// injectHolder strikes the holder and reports whether the fault is one of a
// holder.
func (r *hostedRun) injectHolder(f HostedFault, d *model.PlatformDaemon) bool {
	switch f {
	case HolderKilled:
		d.Kill()
	case HolderRestarted:
		d.ReplaceProcess(rebirth)
	case HolderFrozen:
		d.Freeze()
		r.w.After(holderFreeze, d.Thaw)
	case HolderFrozenLong:
		d.Freeze()
	case HolderTurnedAway:
		r.w.RejectedByStore[d] = true
	case HolderOffMembers:
		for _, m := range r.w.Members {
			r.w.Cut(d.Node, m.Node)
		}
	case HolderOffAll:
		for _, n := range r.w.OtherNodes(d.Node) {
			r.w.Cut(d.Node, n)
		}
	case HolderDeaf:
		for _, n := range r.w.OtherNodes(d.Node) {
			r.w.CutOneWay(n, d.Node)
		}
	case HolderMute:
		for _, n := range r.w.OtherNodes(d.Node) {
			r.w.CutOneWay(d.Node, n)
		}
	case HolderLeaves:
		d.Drain()
	default:
		return false
	}
	return true
}

// injectLeader strikes the primary and reports whether the fault is one of a
// primary.
func (r *hostedRun) injectLeader(f HostedFault, m *model.PlatformMember) bool {
	switch f {
	case LeaderKilled:
		m.Kill()
	case LeaderReborn:
		m.Kill()
		r.w.After(rebirth, func() { m.Restart(true) })
	case LeaderFrozen:
		m.Freeze()
	case LeaderFrozenBrief:
		m.Freeze()
		r.w.After(briefFreeze, m.Thaw)
	case LeaderCut:
		for _, n := range r.w.OtherNodes(m.Node) {
			r.w.Cut(m.Node, n)
		}
	case LeaderDrains:
		m.Draining = true
	case HeirKilled:
		var h *model.PlatformMember
		for _, o := range r.w.Members {
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

// heal ends all faults. Killed daemons are replaced by others.
func (r *hostedRun) heal() {
	r.healed = true
	r.w.Heal()
	r.w.Platform.ExtraDelay, r.w.Platform.LoseAnswers = 0, false
	r.w.Platform.Up()
	clear(r.w.RejectedByStore)
	for _, m := range r.w.Members {
		m.Lag, m.Draining = 0, false
		m.Restart(false)
		if m.Frozen() {
			m.Thaw()
		}
	}
	for _, d := range append([]*model.PlatformDaemon(nil), r.w.Daemons...) {
		switch {
		case d.Frozen():
			d.Thaw()
		case !d.Alive():
			r.w.StartDaemon(d.Location, "")
		}
	}
}
