package matrix_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/matrix"
	"github.com/dragonflypick/dragonflypick/model"
)

// takeoverFaultPairs is the number of random pairs of faults, with seeds from
// 1.
const takeoverFaultPairs = 40

func singleFaultTakeoverPlans() []matrix.TakeoverPlan {
	var o []matrix.TakeoverPlan
	for _, x := range matrix.TakeoverTriggers() {
		for _, s := range x.Steps {
			for _, f := range matrix.TakeoverFaults() {
				o = append(o, matrix.TakeoverPlan{Seed: uint64(len(o) + 1), Trigger: x.Fault, Step: s, First: f})
			}
		}
	}
	return o
}

func twoFaultTakeoverPlans() []matrix.TakeoverPlan {
	g := rapid.Custom(func(t *rapid.T) matrix.TakeoverPlan {
		x := rapid.SampledFrom(matrix.TakeoverTriggers()).Draw(t, "trigger")
		return matrix.TakeoverPlan{
			Seed: rapid.Uint64().Draw(t, "seed"), Trigger: x.Fault,
			Step:   rapid.SampledFrom(x.Steps).Draw(t, "step"),
			First:  rapid.SampledFrom(matrix.TakeoverFaults()).Draw(t, "first"),
			Second: rapid.SampledFrom(matrix.TakeoverFaults()).Draw(t, "second"),
			After:  time.Duration(rapid.Int64Range(0, int64(maxFaultInterval)).Draw(t, "after")),
		}
	})
	o := make([]matrix.TakeoverPlan, takeoverFaultPairs)
	for i := range o {
		o[i] = g.Example(i + 1)
	}
	return o
}

// describeTakeoverPlans declares a spec for each plan; BeforeAll runs all plans
// concurrently. If requireStep is set, each run must reach its step.
func describeTakeoverPlans(text string, plans []matrix.TakeoverPlan, requireStep bool) bool {
	return Describe(text, Ordered, ContinueOnFailure, func() {
		var reports []matrix.TakeoverReport
		BeforeAll(func() { reports = matrix.RunAllTakeovers(plans) })
		for i, p := range plans {
			It(p.String(), func() {
				Expect(reports[i].Violations).To(BeEmpty())
				Expect(reports[i].Done).To(BeNumerically(">", 0))
				Expect(reports[i].Reads).To(BeNumerically(">", 0))
				if requireStep {
					Expect(reports[i].StepReached).To(BeTrue())
				}
			})
		}
	})
}

var (
	_ = describeTakeoverPlans("on the users' platform, every fault at every step of a takeover", singleFaultTakeoverPlans(), true)
	_ = describeTakeoverPlans("on the users' platform, two random faults, with seeds from 1", twoFaultTakeoverPlans(), false)
)

// drawnPlans is the number of drawn plans; "standin matrix" plays more.
const drawnPlans = 300

var _ = Describe("on the users' platform, three drawn faults", func() {
	draw := func(n int) []matrix.TakeoverPlan {
		l := make([]matrix.TakeoverPlan, n)
		for i := range l {
			l[i] = matrix.DrawTakeoverPlan(uint64(i + 1))
		}
		return l
	}

	It("break no promise", func() {
		l := draw(drawnPlans)
		for i, r := range matrix.RunAllTakeovers(l) {
			Expect(r.Violations).To(BeEmpty(), l[i].String())
		}
	})

	It("are the same for one seed, and so is the run", func() {
		const n = 20
		Expect(draw(n)).To(Equal(draw(n)))
		Expect(matrix.RunAllTakeovers(draw(n))).To(Equal(matrix.RunAllTakeovers(draw(n))))
	})
})

var _ = DescribeTable("on the users' platform, without a mechanism some seed shows the violation; with it the same run shows no violation",
	func(o model.Options, violation string, p matrix.TakeoverPlan) {
		p.Options = o
		found := false
		for p.Seed = 1; p.Seed <= maxSeeds && !found; p.Seed++ {
			found = strings.Contains(strings.Join(matrix.RunTakeover(p).Violations, "\n"), violation)
		}
		Expect(found).To(BeTrue())
		p.Seed--
		p.Options = model.Options{}
		Expect(matrix.RunTakeover(p).Violations).To(BeEmpty())
	},
	Entry("previous holders in the record", model.Options{NoPreviousHolders: true}, "a replaced primary's write was acknowledged",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.LeaseReleased, First: matrix.FailureDomainCut}),
	Entry("recording the intent before a promotion", model.Options{NoIntent: true}, "a replaced primary's write was acknowledged",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested, First: matrix.HolderKilled}),
	Entry("comparing positions", model.Options{NoPositionCheck: true}, "a read at a primary doesn't show",
		matrix.TakeoverPlan{Trigger: matrix.NoFault, Step: model.Idle, First: matrix.GroupPrimaryRestartedEmpty}),
	Entry("eras in positions", model.Options{NoEras: true}, "no write was acknowledged at the end of the run",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryKilled, Step: model.PromotionRequested, First: matrix.StoreRestored}),
	Entry("the era in which a record was written", model.Options{NoEraStamp: true}, "a replaced primary's write was acknowledged",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested, First: matrix.StoreRestored, Second: matrix.HolderKilled}),
	Entry("the wait after the start of an era", model.Options{NoEraWait: true}, "a replaced primary's write was acknowledged",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested, First: matrix.StoreRestored, Second: matrix.HolderRestarted, After: 100 * time.Millisecond}),
	Entry("the member of a requested promotion", model.Options{AnyPromotedMember: true}, "a replaced primary's write was acknowledged",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested, First: matrix.PromotedMembersCut}),
	Entry("the wait for a promotion under way", model.Options{NoPromotionWait: true}, "a promotion came with a lower fencing token",
		matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.IntentRecorded, First: matrix.PromotionsLate, Second: matrix.HolderRestarted, After: 100 * time.Millisecond}),
	Entry("the bound on a draining primary", model.Options{NoDrainBound: true}, "a draining member got new work",
		matrix.TakeoverPlan{Trigger: matrix.NoFault, Step: model.Idle, First: matrix.HolderKilled, Second: matrix.GroupPrimaryDraining, After: 1500 * time.Millisecond}),
	Entry("floors of replicas", model.Options{NoFloor: true}, "a read at a replica doesn't show",
		matrix.TakeoverPlan{Trigger: matrix.NoFault, Step: model.Idle, First: matrix.GroupPrimaryKilled}),
)

var _ = DescribeTable("on the users' platform, a later holder doesn't use a primary that has restarted without its log",
	func(p matrix.TakeoverPlan) {
		p.First = matrix.GroupPrimaryRestartedEmpty
		r := matrix.RunTakeover(p)
		Expect(r.StepReached).To(BeTrue())
		Expect(r.Violations).To(BeEmpty())
	},
	Entry("and writes in the term that it led", matrix.TakeoverPlan{Seed: 40, Trigger: matrix.GroupPrimaryDraining, Step: model.PrimaryRecorded, Second: matrix.HolderDraining, After: 923}),
	Entry("while an earlier holder is frozen", matrix.TakeoverPlan{Seed: 724, Trigger: matrix.GroupPrimaryKilled, Step: model.PrimaryRecorded, Second: matrix.HolderFrozenPastLease, After: 2}),
	Entry("as it is promoted, after the store has come back from an older copy", matrix.TakeoverPlan{
		Seed: 1440, Trigger: matrix.GroupPrimaryKilled, Step: model.PromotionEffective, Second: matrix.StoreRestored, After: 75922830, Third: matrix.HolderCutFromAll, ThirdAfter: 2265488546,
	}),
	Entry("while it reaches no member", matrix.TakeoverPlan{Seed: 48, Trigger: matrix.HolderDraining, Step: model.LeaseAcquired, Second: matrix.HolderCutFromMembers, After: 6}),
)

// Guards against the use of a member that was promoted earlier, after the promotion of another
// one was requested (case 6 of the review, ONE).
var _ = DescribeTable("on the users' platform, no write is acknowledged at the first of two members that are promoted and cut off one after the other",
	func(p matrix.TakeoverPlan) {
		p.First = matrix.PromotedMembersCut
		for p.Seed = range uint64(10) {
			Expect(matrix.RunTakeover(p).Violations).To(BeEmpty(), "seed %d", p.Seed)
		}
	},
	Entry("in place of a draining primary", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested}),
	Entry("in place of a killed primary", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryKilled, Step: model.PromotionRequested}),
	Entry("by a holder that is replaced meanwhile", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested, Second: matrix.HolderRestarted, After: 6 * time.Second}),
	Entry("by a holder that ends between them", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Step: model.PromotionRequested, Second: matrix.HolderKilled, After: 2500 * time.Millisecond}),
)

// Guards against a promotion that is requested while the call of an earlier holder, which has
// ended, is still on its way (case 7 of the review, ONE).
var _ = DescribeTable("on the users' platform, no promotion overtakes one that is carried out late",
	func(p matrix.TakeoverPlan) {
		p.Step, p.First = model.IntentRecorded, matrix.PromotionsLate
		for p.Seed = range uint64(20) {
			Expect(matrix.RunTakeover(p).Violations).To(BeEmpty(), "seed %d", p.Seed)
		}
	},
	Entry("by a holder that goes on", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining}),
	Entry("by a holder that ends", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Second: matrix.HolderKilled, After: 100 * time.Millisecond}),
	Entry("by a holder that starts again", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Second: matrix.HolderRestarted, After: 100 * time.Millisecond}),
	Entry("by a holder that starts again after the loss of the primary", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryKilled, Second: matrix.HolderRestarted, After: 100 * time.Millisecond}),
	Entry("by a holder that drains", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Second: matrix.HolderDraining, After: 100 * time.Millisecond}),
	Entry("by a holder that is cut off", matrix.TakeoverPlan{Trigger: matrix.GroupPrimaryDraining, Second: matrix.HolderCutFromAll, After: 100 * time.Millisecond}),
)

// Guards against new work for a draining primary that may not be replaced yet (case 8 and case 3
// of the reviews, DRAIN).
var _ = DescribeTable("on the users' platform, a draining primary gets no new work after a few seconds",
	func(p matrix.TakeoverPlan) {
		p.Step, p.Second = model.Idle, matrix.GroupPrimaryDraining
		for p.Seed = range uint64(10) {
			Expect(matrix.RunTakeover(p).Violations).To(BeEmpty(), "seed %d", p.Seed)
		}
	},
	Entry("after the store has come back from an older copy", matrix.TakeoverPlan{Trigger: matrix.NoFault, First: matrix.StoreRestored, After: 2 * time.Second}),
	Entry("after the store has come back from older copies twice", matrix.TakeoverPlan{Trigger: matrix.NoFault, First: matrix.StoreRestoredTwice, After: time.Second}),
	Entry("after the loss of the holder", matrix.TakeoverPlan{Trigger: matrix.NoFault, First: matrix.HolderKilled, After: 1500 * time.Millisecond}),
	Entry("after the holder was cut off", matrix.TakeoverPlan{Trigger: matrix.NoFault, First: matrix.HolderCutFromAll, After: 1500 * time.Millisecond}),
	Entry("after the holder was frozen", matrix.TakeoverPlan{Trigger: matrix.NoFault, First: matrix.HolderFrozenPastLease, After: 1500 * time.Millisecond}),
	Entry("while the store is away", matrix.TakeoverPlan{Trigger: matrix.NoFault, First: matrix.StoreDown, After: time.Second}),
)

var _ = DescribeTable("on the users' platform, writes resume within 5 s after a single fault",
	func(f matrix.TakeoverFault) {
		for seed := range uint64(5) {
			r := matrix.RunTakeover(matrix.TakeoverPlan{Seed: seed + 1, Trigger: matrix.NoFault, Step: model.Idle, First: f})
			Expect(r.WriteGap).To(BeNumerically("<", 5*time.Second), "seed %d", seed+1)
		}
	},
	Entry("of a killed primary", matrix.GroupPrimaryKilled),
	Entry("of a cut primary", matrix.GroupPrimaryCut),
	Entry("of a frozen primary", matrix.GroupPrimaryFrozen),
	Entry("of a draining primary", matrix.GroupPrimaryDraining),
	Entry("of a primary restarted empty", matrix.GroupPrimaryRestartedEmpty),
	Entry("of a killed holder", matrix.HolderKilled),
	Entry("of a frozen holder", matrix.HolderFrozenPastLease),
	Entry("of a holder cut from all", matrix.HolderCutFromAll),
	Entry("of a draining holder", matrix.HolderDraining),
	Entry("of a holder that the store rejects", matrix.HolderRejectedByStore),
)

// Guards against a bound that counts from when a frozen daemon goes on, not from when it last
// knew that the member didn't drain.
var _ = DescribeTable("a primary that begins to drain while its holder is frozen gets no new work past its bound",
	func(seed uint64) { Expect(matrix.RunTakeover(matrix.DrawTakeoverPlan(seed)).Violations).To(BeEmpty()) },
	Entry("a holder that has released the group", uint64(305943)),
	Entry("a holder that is cut off as well", uint64(318163)),
)

var _ = It("on the users' platform, a group is held again after a restored store and a frozen holder that alone knows of the promotion", func() {
	for _, seed := range []uint64{1, 57} {
		r := matrix.RunTakeover(matrix.TakeoverPlan{Seed: seed, Trigger: matrix.GroupPrimaryKilled, Step: model.PromotionRequested, First: matrix.StoreRestored, Second: matrix.HolderFrozenPastLease})
		Expect(r.Violations).To(BeEmpty(), "seed %d", seed)
	}
})
