// Package soak runs a system of real processes under load while faults come at random,
// in series and overlapping, and checks what callers and backend servers see. All
// faults come from outside of the daemons: signals, relays before every address, and
// the stand-ins of platform and members. A seed determines the plan of a run, but not
// how the processes interleave.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of a plan.
const (
	// firstFaultAt is when the first fault may start, from the start of the load.
	firstFaultAt = time.Second
	// CalmTime is how long a run goes on after the last fault has ended; the service
	// must be whole again at its end.
	CalmTime = 18 * time.Second
	// meanInterval is the mean time between the starts of two faults. They last
	// longer than that on average, so that they overlap.
	meanInterval = 1200 * time.Millisecond
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 6 * time.Second
)

// Fault is a kind of fault.
type Fault interface{ fault() }

// ProcessFault is what happens to a daemon's process.
type ProcessFault struct {
	Daemon int
	Action ProcessAction
}

// ProcessAction is how a process is treated. It is started again when the fault ends.
type ProcessAction string

// The ways to treat a process.
const (
	// Kill sends SIGKILL, Stop SIGTERM; Pause suspends the process.
	Kill  ProcessAction = "kill"
	Stop  ProcessAction = "stop"
	Pause ProcessAction = "pause"
)

// LinkFault disturbs the connections through one relay.
type LinkFault struct {
	Link   Link
	Target int
	Action LinkAction
}

// Link is the kind of a relay.
type Link string

// The kinds of relays. Those to the store, to the promotion service and to the daemons exist
// for each daemon, those to the members for each member.
const (
	StoreLink     Link = "store"
	PromotionLink Link = "promotion"
	PeerLink      Link = "peer"
	CallerLink    Link = "caller"
	MemberLink    Link = "member"
)

// LinkAction is how connections are disturbed.
type LinkAction string

// The ways to disturb connections. Silence affects the open connections, for good.
const (
	Cut            LinkAction = "cut"
	CutRequests    LinkAction = "cut-requests"
	CutAnswers     LinkAction = "cut-answers"
	ResetAll       LinkAction = "reset"
	RefuseNew      LinkAction = "refuse"
	Delay          LinkAction = "delay"
	SilenceCurrent LinkAction = "silence"
)

// StoreFault is a fault of the platform's store.
type StoreFault struct{ Action StoreAction }

// StoreAction is a fault of the store.
type StoreAction string

// The faults of the store. Restore brings it back from an older copy once.
const (
	StoreDown    StoreAction = "down"
	StoreSilent  StoreAction = "silent"
	LoseAnswers  StoreAction = "lose-answers"
	LateWrites   StoreAction = "late-writes"
	DropHistory  StoreAction = "drop-history"
	StoreRestore StoreAction = "restore"
)

// GroupFault is a fault of a database group.
type GroupFault struct {
	Group  int
	Action GroupAction
}

// GroupAction is a fault of a group.
type GroupAction string

// The faults of a group. Those of the primary end with its return as a replica. LatePromotion
// drains the primary; the call that requests another one's promotion arrives late, and the
// process that has sent it is killed.
const (
	LatePromotion  GroupAction = "late-promotion"
	CrashPrimary   GroupAction = "crash-primary"
	EmptyPrimary   GroupAction = "restart-primary-empty"
	DrainPrimary   GroupAction = "drain-primary"
	LagReplicas    GroupAction = "lag"
	FreezePrimary  GroupAction = "freeze-primary"
	SilencePrimary GroupAction = "silence-primary"
)

// Reconfigure writes a new configuration.
type Reconfigure struct{}

// Stutter lets all members repeat answers.
type Stutter struct{}

func (ProcessFault) fault() {}
func (LinkFault) fault()    {}
func (StoreFault) fault()   {}
func (GroupFault) fault()   {}
func (Reconfigure) fault()  {}
func (Stutter) fault()      {}

// Step is a fault with its time.
type Step struct {
	// At is when it starts, from the start of the load.
	At time.Duration
	// For is how long it lasts.
	For   time.Duration
	Fault Fault
}

func (s Step) String() string {
	return fmt.Sprintf("%s for %s: %T%v", s.At.Round(time.Millisecond), s.For.Round(time.Millisecond), s.Fault, s.Fault)
}

// Shape is the size of a system and the faults that it knows.
type Shape struct {
	Daemons int
	Groups  int
	Members int
	// Links, StoreActions and GroupActions are the faults that can be injected.
	Links        []Link
	StoreActions []StoreAction
	GroupActions []GroupAction
	// Stutter reports whether members can repeat answers.
	Stutter bool
}

// Planned reports whether the plan of a seed contains only planned work: stops of
// processes, one at a time, configurations, and primaries that are to be returned. No request
// may be lost then.
func Planned(seed uint64) bool { return seed%plannedEvery == 0 }

// plannedEvery is the share of the seeds whose plan contains only planned work.
const plannedEvery = 4

// Stutters reports whether members repeat answers in the plan of a seed.
func Stutters(seed uint64) bool { return !Planned(seed) && seed%stutterEvery == 0 }

// stutterEvery is the share of the seeds, besides those of planned work, in whose plan
// members repeat answers.
const stutterEvery = 3

// Draw returns the plan of a seed: faults that start within the given time.
func Draw(seed uint64, s Shape, d time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	var o []Step
	if s.Stutter && Stutters(seed) && d > firstFaultAt {
		o = append(o, Step{At: firstFaultAt, For: d - firstFaultAt, Fault: Stutter{}})
	}
	for t := firstFaultAt; t < d; t += exponential(r, meanInterval) {
		n := min(exponential(r, maxFaultTime/4)+minFaultTime, maxFaultTime)
		if Planned(seed) {
			o = append(o, Step{At: t, For: n, Fault: s.drawPlanned(r)})
			t += n + stopTime
			continue
		}
		o = append(o, Step{At: t, For: n, Fault: s.draw(r)})
	}
	return o
}

// stopTime is how long a process may take to stop and to be ready again.
const stopTime = 5 * time.Second

func (s Shape) drawPlanned(r *rand.Rand) Fault {
	switch n := r.IntN(4); {
	case n == 0:
		return Reconfigure{}
	case n == 1 && slices.Contains(s.GroupActions, DrainPrimary):
		return GroupFault{Group: r.IntN(s.Groups), Action: DrainPrimary}
	default:
		return ProcessFault{Daemon: r.IntN(s.Daemons), Action: Stop}
	}
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// Weights of the kinds of faults.
const (
	processWeight = 5
	linkWeight    = 6
	storeWeight   = 4
	groupWeight   = 4
	configWeight  = 2
)

func (s Shape) draw(r *rand.Rand) Fault {
	switch n := r.IntN(processWeight + linkWeight + storeWeight + groupWeight + configWeight); {
	case n < processWeight:
		return ProcessFault{Daemon: r.IntN(s.Daemons), Action: pick(r, Kill, Stop, Stop, Pause, Pause)}
	case n < processWeight+linkWeight:
		k := LinkFault{Link: s.Links[r.IntN(len(s.Links))], Target: r.IntN(s.Daemons)}
		if k.Link == MemberLink {
			k.Target = r.IntN(s.Members)
		}
		l := []LinkAction{Cut, CutRequests, CutAnswers, ResetAll, RefuseNew, Delay, SilenceCurrent}
		k.Action = l[r.IntN(len(l))]
		return k
	case n < processWeight+linkWeight+storeWeight:
		return StoreFault{Action: s.StoreActions[r.IntN(len(s.StoreActions))]}
	case n < processWeight+linkWeight+storeWeight+groupWeight:
		return GroupFault{Group: r.IntN(s.Groups), Action: s.GroupActions[r.IntN(len(s.GroupActions))]}
	default:
		return Reconfigure{}
	}
}

func pick(r *rand.Rand, l ...ProcessAction) ProcessAction { return l[r.IntN(len(l))] }

// maxCopyAge is the greatest age of a copy from which a store comes back.
const maxCopyAge = 5 * time.Second

// copyAge returns the age of the copies of a seed's run.
func copyAge(seed uint64) time.Duration { return time.Duration(seed%5+1) * maxCopyAge / 5 }

// End returns when the last fault has ended.
func End(l []Step) time.Duration {
	var o time.Duration
	for _, s := range l {
		o = max(o, s.At+s.For)
	}
	return o
}
