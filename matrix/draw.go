package matrix

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/model"
)

// TakeoverTrigger is a fault that causes a takeover, with the steps of that.
type TakeoverTrigger struct {
	Fault TakeoverFault
	Steps []model.TakeoverStep
}

// TakeoverTriggers returns the triggers of drawn plans.
func TakeoverTriggers() []TakeoverTrigger {
	return []TakeoverTrigger{
		{NoFault, []model.TakeoverStep{model.Idle}},
		{GroupPrimaryKilled, []model.TakeoverStep{model.Idle, model.IntentRecorded, model.PromotionRequested, model.PromotionEffective, model.PrimaryRecorded}},
		{GroupPrimaryDraining, []model.TakeoverStep{model.IntentRecorded, model.PromotionRequested, model.PromotionEffective, model.PrimaryRecorded}},
		{HolderDraining, []model.TakeoverStep{model.LeaseAcquired, model.LeaseReleased}},
		{HolderKilled, []model.TakeoverStep{model.LeaseAcquired}},
	}
}

// maxDrawnInterval bounds the time from the first fault of a drawn plan to another one, and
// shortInterval that of half of them, so that both act on one takeover.
const (
	maxDrawnInterval = 10 * time.Second
	shortInterval    = 500 * time.Millisecond
)

// DrawTakeoverPlan draws a plan with three faults besides the trigger. A seed gives the same
// plan, and the plan the same run, on every machine.
func DrawTakeoverPlan(seed uint64) TakeoverPlan {
	d := rand.New(rand.NewPCG(seed, seed))
	l := TakeoverTriggers()
	x := l[d.IntN(len(l))]
	p := TakeoverPlan{Seed: seed, Trigger: x.Fault, Step: x.Steps[d.IntN(len(x.Steps))], First: drawFault(d)}
	p.Second, p.SecondStep, p.After = drawLater(d)
	p.Third, p.ThirdStep, p.ThirdAfter = drawLater(d)
	return p
}

// frequentFaults are drawn more often: what they do lasts beyond the end of a holder.
var frequentFaults = []TakeoverFault{PromotionsLate, PromotedMembersCut, HolderRestarted, AllRestarted, StoreRestored, GroupPrimaryDraining}

func drawFault(d *rand.Rand) TakeoverFault {
	l := slices.Concat(TakeoverFaults(), frequentFaults, frequentFaults, frequentFaults)
	return l[d.IntN(len(l))]
}

// drawLater draws a fault, the time after which it is injected, and in one of three cases the
// step at which it is.
func drawLater(d *rand.Rand) (TakeoverFault, model.TakeoverStep, time.Duration) {
	most := shortInterval
	if d.IntN(2) > 0 {
		most = maxDrawnInterval
	}
	f, after := drawFault(d), time.Duration(d.Int64N(int64(most)))
	if d.IntN(3) > 0 {
		return f, "", after
	}
	l := model.TakeoverSteps()[1:]
	return f, l[d.IntN(len(l))], after
}
