package matrix

import (
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/model"
)

// TakeoverFault is a kind of fault that is injected at a step of the takeover
// of a group on the users' platform.
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
	StoreWritesLate            TakeoverFault = "store-writes-late"
	StoreRestored              TakeoverFault = "store-restored"
	StoreRestoredTwice         TakeoverFault = "store-restored-twice"
	MessagesDelayed            TakeoverFault = "messages-delayed-and-duplicated"
	FailureDomainCut           TakeoverFault = "failure-domain-cut"
	ReplicasLagging            TakeoverFault = "replicas-lagging"
	// PromotedMembersCut cuts each of the next two members that are promoted off when its
	// promotion takes effect.
	PromotedMembersCut TakeoverFault = "promoted-members-cut"
	// GroupReplicaDraining drains a replica.
	GroupReplicaDraining TakeoverFault = "replica-draining"
	// AllRestarted ends all daemons and starts others in their places, which know the record
	// alone.
	AllRestarted TakeoverFault = "all-restarted"
	// PromotionsLate carries the calls that request promotions out seconds later.
	PromotionsLate TakeoverFault = "promotions-late"
)

// TakeoverFaults returns all faults except NoFault.
func TakeoverFaults() []TakeoverFault {
	return []TakeoverFault{
		HolderKilled, HolderRestarted, HolderFrozen, HolderFrozenPastLease, HolderRejectedByStore, HolderCutFromMembers, HolderCutFromAll,
		HolderInboundCut, HolderOutboundCut, HolderDraining, GroupPrimaryKilled, GroupPrimaryRestartedEmpty, GroupPrimaryFrozen,
		GroupPrimaryFrozenBriefly, GroupPrimaryCut, GroupPrimaryDraining, MostAdvancedReplicaKilled, StoreDown, StoreSlow, StoreAnswersLost,
		StoreWritesLate, StoreRestored, StoreRestoredTwice, MessagesDelayed, FailureDomainCut, ReplicasLagging, PromotedMembersCut, PromotionsLate,
		GroupReplicaDraining, AllRestarted,
	}
}

// Timing of a run with takeovers.
const (
	takeoverWarmUpTime = 3 * time.Second
	// takeoverFaultDuration is how long faults last; it is longer than the
	// lease's validity.
	takeoverFaultDuration = lease.Validity + 4*time.Second
	// primaryFreezeTime is the duration of GroupPrimaryFrozenBriefly; it ends
	// while a new primary is being promoted.
	primaryFreezeTime = 2500 * time.Millisecond
	// holderFreezeTime is the duration of HolderFrozen; it is shorter than the
	// lease's validity.
	holderFreezeTime = 5 * time.Second
	// restartDelay is the downtime of a process that is restarted.
	restartDelay = 150 * time.Millisecond
	// takeoverRecoveryTime is the time in which the group must serve again
	// after all faults have ended: the validity of a previous holder's lease,
	// and a failover.
	takeoverRecoveryTime = lease.Validity + 2*time.Second + maxWriteGap
	// maxCopyAge bounds the age of the copy that the store comes back from. Runs draw
	// ages of copyAgeStep times their seed, modulo maxCopyAge.
	maxCopyAge  = 6 * time.Second
	copyAgeStep = 370 * time.Millisecond
	// restoreInterval is the time between the two restorations of StoreRestoredTwice.
	restoreInterval = 2 * time.Second
	// lateWritesTime is the duration of StoreWritesLate and of PromotionsLate.
	lateWritesTime = 4 * time.Second
	// promotedMembersCut is the number of members that PromotedMembersCut cuts off, and
	// memberCutTime for how long.
	promotedMembersCut = 2
	memberCutTime      = 5500 * time.Millisecond
	// takeoverMaxMessageDelay bounds the delay of delayed messages.
	takeoverMaxMessageDelay = 800 * time.Millisecond
)

// TakeoverPlan describes one run: Trigger causes a takeover, First is injected
// when the takeover reaches Step, and Second and Third, if set, After and ThirdAfter later, or
// as soon as the takeover then reaches SecondStep or ThirdStep, if that is set.
type TakeoverPlan struct {
	Seed       uint64
	Trigger    TakeoverFault
	Step       model.TakeoverStep
	First      TakeoverFault
	Second     TakeoverFault
	SecondStep model.TakeoverStep
	After      time.Duration
	Third      TakeoverFault
	ThirdStep  model.TakeoverStep
	ThirdAfter time.Duration
	Options    model.Options
	// Trace, if not nil, is called with a line for each event.
	Trace func(string)
}

// String describes the plan.
func (p TakeoverPlan) String() string {
	s := string(p.First) + " at " + string(p.Step) + " after " + string(p.Trigger)
	s += describeLater(p.Second, p.SecondStep, p.After) + describeLater(p.Third, p.ThirdStep, p.ThirdAfter)
	return s + ", seed " + strconv.FormatUint(p.Seed, 10)
}

// describeLater describes a later fault of a plan, if there is one.
func describeLater(f TakeoverFault, step model.TakeoverStep, after time.Duration) string {
	if f == "" {
		return ""
	}
	s := " and " + string(f) + " " + after.String() + " later"
	if step != "" {
		s += " at " + string(step)
	}
	return s
}

// TakeoverReport is the result of a run.
type TakeoverReport struct {
	// Violations are the guarantees that were violated; empty if none.
	Violations []string
	// StepReached reports whether the takeover reached Step.
	StepReached bool
	// Done counts acknowledged writes, Reads answered reads.
	Done, Reads int
	// WriteGap is the longest time without an acknowledged write.
	WriteGap time.Duration
}

// takeoverRun is a run in progress.
type takeoverRun struct {
	plan        TakeoverPlan
	world       *model.PlatformWorld
	faultsEnded bool
	report      TakeoverReport
	// lastAcknowledged is the number of acknowledged writes at the last poll,
	// lastAcknowledgedAt the time when it last increased.
	lastAcknowledged   int
	lastAcknowledgedAt time.Time
	// awaited holds the faults that are injected as soon as the takeover reaches a step.
	awaited map[model.TakeoverStep][]TakeoverFault
	// membersToCut is the number of members that are cut off once they are promoted.
	membersToCut int
}

// RunTakeover executes a plan and checks the guarantees.
func RunTakeover(p TakeoverPlan) TakeoverReport {
	r := &takeoverRun{plan: p, world: model.NewPlatformWorld(model.Config{Seed: p.Seed, Options: p.Options}), awaited: map[model.TakeoverStep][]TakeoverFault{}}
	r.world.Trace = p.Trace
	r.world.Advance(takeoverWarmUpTime)
	r.lastAcknowledgedAt, r.lastAcknowledged = r.world.Now(), r.world.AcknowledgedWrites
	r.world.OnTakeoverStep = r.handleStep
	r.injectFault(p.Trigger)
	r.handleStep(model.Idle, r.world.Holder())
	r.advance(takeoverFaultDuration)
	r.endFaults()
	n := r.world.AcknowledgedWrites
	r.advance(takeoverRecoveryTime)
	if r.world.AcknowledgedWrites == n {
		r.world.Violations = append(r.world.Violations, "no write was acknowledged after the faults")
	}
	if r.lastAcknowledgedAt.Add(maxWriteGap).Before(r.world.Now()) {
		r.world.Violations = append(r.world.Violations, "no write was acknowledged at the end of the run")
	}
	r.report.Violations, r.report.Done, r.report.Reads = r.world.Violations, r.world.AcknowledgedWrites, r.world.AnsweredReads
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

// advance advances the virtual time by d and updates the report's WriteGap.
func (r *takeoverRun) advance(d time.Duration) {
	end := r.world.Now().Add(d)
	for r.world.Now().Before(end) {
		r.world.Advance(pollInterval)
		if r.world.AcknowledgedWrites > r.lastAcknowledged {
			r.report.WriteGap = max(r.report.WriteGap, r.world.Now().Sub(r.lastAcknowledgedAt))
			r.lastAcknowledged, r.lastAcknowledgedAt = r.world.AcknowledgedWrites, r.world.Now()
		}
	}
	r.report.WriteGap = max(r.report.WriteGap, r.world.Now().Sub(r.lastAcknowledgedAt))
}

// handleStep injects the first fault when the takeover reaches the planned
// step, and schedules the others. Faults of a holder concern the holder at
// that time.
func (r *takeoverRun) handleStep(s model.TakeoverStep, _ *model.PlatformDaemon) {
	if s == model.PromotionEffective && r.membersToCut > 0 && !r.faultsEnded {
		r.membersToCut--
		r.cutMember(r.world.Primary())
	}
	l := r.awaited[s]
	delete(r.awaited, s)
	for _, f := range l {
		r.injectFault(f)
	}
	if s != r.plan.Step || r.report.StepReached || r.faultsEnded {
		return
	}
	r.report.StepReached = true
	r.injectFault(r.plan.First)
	r.injectLater(r.plan.Second, r.plan.SecondStep, r.plan.After)
	r.injectLater(r.plan.Third, r.plan.ThirdStep, r.plan.ThirdAfter)
}
