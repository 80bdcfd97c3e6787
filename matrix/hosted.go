package matrix

import (
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/model"
)

// TakeoverFault is a kind of fault that is injected at a step of the takeover of
// a group on the users' platform.
type TakeoverFault string

// The faults of takeovers.
const (
	NoFault                    TakeoverFault = "none"
	HolderKilled               TakeoverFault = "holder-killed"
	HolderRestarted            TakeoverFault = "holder-restarted"
	HolderFrozen               TakeoverFault = "holder-frozen"
	HolderFrozenPastLease      TakeoverFault = "holder-frozen-past-lease"
	HolderRejectedByStore      TakeoverFault = "holder-rejected-by-store"
	HolderCutFromMembers       TakeoverFault = "holder-cut-from-members"
	HolderCutFromAll           TakeoverFault = "holder-cut-from-all"
	HolderInboundCut           TakeoverFault = "holder-inbound-cut"
	HolderOutboundCut          TakeoverFault = "holder-outbound-cut"
	HolderDraining             TakeoverFault = "holder-draining"
	GroupPrimaryKilled         TakeoverFault = "primary-killed"
	GroupPrimaryRestartedEmpty TakeoverFault = "primary-restarted-empty"
	GroupPrimaryFrozen         TakeoverFault = "primary-frozen"
	GroupPrimaryFrozenBriefly  TakeoverFault = "primary-frozen-briefly"
	GroupPrimaryCut            TakeoverFault = "primary-cut"
	GroupPrimaryDraining       TakeoverFault = "primary-draining"
	MostAdvancedReplicaKilled  TakeoverFault = "most-advanced-replica-killed"
	StoreDown                  TakeoverFault = "store-down"
	StoreSlow                  TakeoverFault = "store-slow"
	StoreAnswersLost           TakeoverFault = "store-answers-lost"
	MessagesDelayed            TakeoverFault = "messages-delayed-and-duplicated"
	FailureDomainCut           TakeoverFault = "failure-domain-cut"
	ReplicasLagging            TakeoverFault = "replicas-lagging"
)

// TakeoverFaults returns all faults except NoFault.
func TakeoverFaults() []TakeoverFault {
	return []TakeoverFault{
		HolderKilled, HolderRestarted, HolderFrozen, HolderFrozenPastLease, HolderRejectedByStore, HolderCutFromMembers, HolderCutFromAll,
		HolderInboundCut, HolderOutboundCut, HolderDraining, GroupPrimaryKilled, GroupPrimaryRestartedEmpty, GroupPrimaryFrozen,
		GroupPrimaryFrozenBriefly, GroupPrimaryCut, GroupPrimaryDraining, MostAdvancedReplicaKilled, StoreDown, StoreSlow, StoreAnswersLost,
		MessagesDelayed, FailureDomainCut, ReplicasLagging,
	}
}

// Timing of a run with takeovers.
const (
	takeoverWarmUp = 3 * time.Second
	// takeoverFaultDuration is how long faults last; it is longer than the lease's
	// validity.
	takeoverFaultDuration = lease.Validity + 4*time.Second
	// briefFreeze ends while a new primary is being promoted.
	briefFreeze = 2500 * time.Millisecond
	// shortHolderFreeze is shorter than the lease's validity.
	shortHolderFreeze = 5 * time.Second
	// restartDelay is the downtime of a process that is restarted.
	restartDelay = 150 * time.Millisecond
	// takeoverRecoveryTime is the time in which the group must serve again after
	// all faults have ended: the validity of a previous holder's lease, and a
	// failover.
	takeoverRecoveryTime = lease.Validity + 2*time.Second + maxServiceGap
	// takeoverMaxMessageDelay bounds the delay of delayed messages.
	takeoverMaxMessageDelay = 800 * time.Millisecond
)

// TakeoverPlan describes one run: Trigger causes a takeover, First is injected
// when the takeover reaches Step, and Second After later.
type TakeoverPlan struct {
	Seed    uint64
	Trigger TakeoverFault
	Step    model.TakeoverStep
	First   TakeoverFault
	Second  TakeoverFault
	After   time.Duration
	Options model.Options
	// Trace, if not nil, is called with a line for each event.
	Trace func(string)
}

// String describes the plan.
func (p TakeoverPlan) String() string {
	s := string(p.First) + " at " + string(p.Step) + " after " + string(p.Trigger)
	if p.Second != "" {
		s += " and " + string(p.Second) + " " + p.After.String() + " later"
	}
	return s + ", seed " + strconv.FormatUint(p.Seed, 10)
}

// TakeoverReport is the result of a run.
type TakeoverReport struct {
	// Violations are the guarantees that were violated; empty if none.
	Violations []string
	// StepReached reports whether the takeover reached Step.
	StepReached bool
	// Done counts acknowledged writes, Reads answered reads.
	Done, Reads int
	// Gap is the longest time without an acknowledged write.
	Gap time.Duration
}

type takeoverRun struct {
	p      TakeoverPlan
	w      *model.PlatformWorld
	healed bool
	report TakeoverReport
	// lastDone is the number of acknowledged writes at the last poll, lastDoneAt
	// the time when it last increased.
	lastDone   int
	lastDoneAt time.Time
}

// RunTakeover executes a plan.
func RunTakeover(p TakeoverPlan) TakeoverReport {
	r := &takeoverRun{p: p, w: model.NewPlatformWorld(model.Config{Seed: p.Seed, Options: p.Options})}
	r.w.Trace = p.Trace
	r.w.Advance(takeoverWarmUp)
	r.lastDoneAt, r.lastDone = r.w.Now(), r.w.AcknowledgedWrites
	r.w.OnTakeoverStep = r.onStep
	r.inject(p.Trigger)
	r.onStep(model.Idle, r.w.Holder())
	r.advance(takeoverFaultDuration)
	r.heal()
	n := r.w.AcknowledgedWrites
	r.advance(takeoverRecoveryTime)
	if r.w.AcknowledgedWrites == n {
		r.w.Violations = append(r.w.Violations, "no write was acknowledged after the faults")
	}
	if r.lastDoneAt.Add(maxServiceGap).Before(r.w.Now()) {
		r.w.Violations = append(r.w.Violations, "writes have stopped after the faults")
	}
	r.report.Violations, r.report.Done, r.report.Reads = r.w.Violations, r.w.AcknowledgedWrites, r.w.AnsweredReads
	return r.report
}

// RunAllTakeovers executes plans concurrently; the reports are in the order of
// the plans.
func RunAllTakeovers(p []TakeoverPlan) []TakeoverReport {
	o := make([]TakeoverReport, len(p))
	g := &errgroup.Group{}
	g.SetLimit(maxParallelRuns)
	for i := range p {
		g.Go(func() error {
			o[i] = RunTakeover(p[i])
			return nil
		})
	}
	_ = g.Wait()
	return o
}

// advance advances the virtual time by d and updates the report's Gap.
func (r *takeoverRun) advance(d time.Duration) {
	end := r.w.Now().Add(d)
	for r.w.Now().Before(end) {
		r.w.Advance(pollInterval)
		if r.w.AcknowledgedWrites > r.lastDone {
			r.report.Gap = max(r.report.Gap, r.w.Now().Sub(r.lastDoneAt))
			r.lastDone, r.lastDoneAt = r.w.AcknowledgedWrites, r.w.Now()
		}
	}
	r.report.Gap = max(r.report.Gap, r.w.Now().Sub(r.lastDoneAt))
}

// onStep injects the first fault when the takeover reaches the planned step, and
// schedules the second one. Faults of a holder concern the holder at that time.
func (r *takeoverRun) onStep(s model.TakeoverStep, _ *model.PlatformDaemon) {
	if s != r.p.Step || r.report.StepReached || r.healed {
		return
	}
	r.report.StepReached = true
	r.inject(r.p.First)
	if r.p.Second != "" {
		r.w.After(r.p.After, func() { r.inject(r.p.Second) })
	}
}

// inject injects a fault now.
func (r *takeoverRun) inject(f TakeoverFault) {
	if r.healed {
		return
	}
	if d := r.w.Holder(); d != nil && r.injectHolder(f, d) {
		return
	}
	if m := r.w.Primary(); m != nil && r.injectPrimary(f, m) {
		return
	}
	switch f {
	case StoreDown:
		r.w.Platform.Stop()
	case StoreSlow:
		r.w.Platform.ExtraDelay = platformDelay
	case StoreAnswersLost:
		r.w.Platform.LoseAnswers = true
	case MessagesDelayed:
		r.w.MessageFaults = model.MessageFaults{DuplicateProbability: messageFaultProbability, DelayProbability: messageFaultProbability, MaxDelay: takeoverMaxMessageDelay}
	case FailureDomainCut:
		r.w.CutDomain("west-2")
	case ReplicasLagging:
		for _, m := range r.w.Members {
			m.Lag = longReplicaLag
		}
	}
}

// injectHolder injects a fault of the holder, and reports whether f is one.
func (r *takeoverRun) injectHolder(f TakeoverFault, d *model.PlatformDaemon) bool {
	switch f {
	case HolderKilled:
		d.Kill()
	case HolderRestarted:
		d.ReplaceProcess(restartDelay)
	case HolderFrozen:
		d.Freeze()
		r.w.After(shortHolderFreeze, d.Thaw)
	case HolderFrozenPastLease:
		d.Freeze()
	case HolderRejectedByStore:
		r.w.RejectedByStore[d] = true
	case HolderCutFromMembers:
		for _, m := range r.w.Members {
			r.w.Cut(d.Node, m.Node)
		}
	case HolderCutFromAll:
		for _, n := range r.w.OtherNodes(d.Node) {
			r.w.Cut(d.Node, n)
		}
	case HolderInboundCut:
		for _, n := range r.w.OtherNodes(d.Node) {
			r.w.CutOneWay(n, d.Node)
		}
	case HolderOutboundCut:
		for _, n := range r.w.OtherNodes(d.Node) {
			r.w.CutOneWay(d.Node, n)
		}
	case HolderDraining:
		d.Drain()
	default:
		return false
	}
	return true
}

// injectPrimary injects a fault of the primary or of the most advanced replica,
// and reports whether f is one.
func (r *takeoverRun) injectPrimary(f TakeoverFault, m *model.PlatformMember) bool {
	switch f {
	case GroupPrimaryKilled:
		m.Kill()
	case GroupPrimaryRestartedEmpty:
		m.Kill()
		r.w.After(restartDelay, func() { m.Restart(true) })
	case GroupPrimaryFrozen:
		m.Freeze()
	case GroupPrimaryFrozenBriefly:
		m.Freeze()
		r.w.After(briefFreeze, m.Thaw)
	case GroupPrimaryCut:
		for _, n := range r.w.OtherNodes(m.Node) {
			r.w.Cut(m.Node, n)
		}
	case GroupPrimaryDraining:
		m.Draining = true
	case MostAdvancedReplicaKilled:
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

// heal ends all faults and starts new daemons in place of killed ones.
func (r *takeoverRun) heal() {
	r.healed = true
	r.w.EndNetworkFaults()
	r.w.Platform.ExtraDelay, r.w.Platform.LoseAnswers = 0, false
	r.w.Platform.Restart()
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
