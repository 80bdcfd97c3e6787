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

// hostedPairs is the number of drawn pairs of faults; they have the seeds from 1.
const hostedPairs = 40

// successions are the triggers with the steps that they lead to.
var successions = []struct {
	trigger matrix.HostedFault
	steps   []model.TakeoverStep
}{
	{matrix.NoFault, []model.TakeoverStep{model.Idle}},
	{matrix.LeaderKilled, []model.TakeoverStep{model.Idle, model.IntentRecorded, model.PromotionRequested, model.PromotionEffective, model.PrimaryRecorded}},
	{matrix.LeaderDrains, []model.TakeoverStep{model.IntentRecorded, model.PromotionRequested, model.PromotionEffective, model.PrimaryRecorded}},
	{matrix.HolderLeaves, []model.TakeoverStep{model.LeaseAcquired, model.LeaseReleased}},
	{matrix.HolderKilled, []model.TakeoverStep{model.LeaseAcquired}},
}

func hostedSingle() []matrix.HostedPlan {
	var o []matrix.HostedPlan
	for _, x := range successions {
		for _, s := range x.steps {
			for _, f := range matrix.HostedFaults() {
				o = append(o, matrix.HostedPlan{Seed: uint64(len(o) + 1), Trigger: x.trigger, Step: s, First: f})
			}
		}
	}
	return o
}

func hostedDouble() []matrix.HostedPlan {
	g := rapid.Custom(func(t *rapid.T) matrix.HostedPlan {
		x := rapid.SampledFrom(successions).Draw(t, "trigger")
		return matrix.HostedPlan{
			Seed: rapid.Uint64().Draw(t, "seed"), Trigger: x.trigger,
			Step:   rapid.SampledFrom(x.steps).Draw(t, "step"),
			First:  rapid.SampledFrom(matrix.HostedFaults()).Draw(t, "first"),
			Second: rapid.SampledFrom(matrix.HostedFaults()).Draw(t, "second"),
			After:  time.Duration(rapid.Int64Range(0, int64(lastMoment)).Draw(t, "after")),
		}
	})
	o := make([]matrix.HostedPlan, hostedPairs)
	for i := range o {
		o[i] = g.Example(i + 1)
	}
	return o
}

// describeHosted makes a spec for each plan; the plans run side by side before.
// raised tells that each plan's step must be reached.
func describeHosted(what string, plans []matrix.HostedPlan, raised bool) bool {
	return Describe(what, Ordered, ContinueOnFailure, func() {
		var reports []matrix.HostedReport
		BeforeAll(func() { reports = matrix.RunAllHosted(plans) })
		for i, p := range plans {
			It(p.String(), func() {
				Expect(reports[i].Violations).To(BeEmpty())
				Expect(reports[i].Done).To(BeNumerically(">", 0))
				Expect(reports[i].Shown).To(BeNumerically(">", 0))
				if raised {
					Expect(reports[i].Raised).To(BeTrue())
				}
			})
		}
	})
}

var (
	_ = describeHosted("on the users' platform, every fault at every step of a succession", hostedSingle(), true)
	_ = describeHosted("on the users' platform, two faults, drawn with seeds from 1", hostedDouble(), false)
)

var _ = DescribeTable("on the users' platform, the matrix sees that a mechanism is off, and is clean with it",
	func(o model.Options, promise string, p matrix.HostedPlan) {
		p.Options = o
		seen := false
		for p.Seed = 1; p.Seed <= tries && !seen; p.Seed++ {
			seen = strings.Contains(strings.Join(matrix.RunHosted(p).Violations, "\n"), promise)
		}
		Expect(seen).To(BeTrue())
		p.Seed--
		p.Options = model.Options{}
		Expect(matrix.RunHosted(p).Violations).To(BeEmpty())
	},
	Entry("earlier holders in the record", model.Options{NoPreviousHolders: true}, "a replaced primary's write was acknowledged",
		matrix.HostedPlan{Trigger: matrix.LeaderDrains, Step: model.LeaseReleased, First: matrix.RegionCut}),
	Entry("the intent before a promotion", model.Options{NoIntent: true}, "a replaced primary's write was acknowledged",
		matrix.HostedPlan{Trigger: matrix.LeaderDrains, Step: model.PromotionRequested, First: matrix.HolderKilled}),
	Entry("comparing positions", model.Options{NoPositionCheck: true}, "a read at a primary doesn't show",
		matrix.HostedPlan{Trigger: matrix.NoFault, Step: model.Idle, First: matrix.LeaderReborn}),
	Entry("floors of replicas", model.Options{NoFloor: true}, "a read at a replica doesn't show",
		matrix.HostedPlan{Trigger: matrix.NoFault, Step: model.Idle, First: matrix.LeaderKilled}),
)

var _ = DescribeTable("on the users' platform, writes go on within the target after a single fault",
	func(f matrix.HostedFault) {
		for seed := range uint64(5) {
			r := matrix.RunHosted(matrix.HostedPlan{Seed: seed + 1, Trigger: matrix.NoFault, Step: model.Idle, First: f})
			Expect(r.Gap).To(BeNumerically("<", 5*time.Second), "seed %d", seed+1)
		}
	},
	Entry("of a killed primary", matrix.LeaderKilled),
	Entry("of a cut primary", matrix.LeaderCut),
	Entry("of a frozen primary", matrix.LeaderFrozen),
	Entry("of a draining primary", matrix.LeaderDrains),
	Entry("of a primary born again empty", matrix.LeaderReborn),
	Entry("of a killed holder", matrix.HolderKilled),
	Entry("of a frozen holder", matrix.HolderFrozenLong),
	Entry("of a holder cut from all", matrix.HolderOffAll),
	Entry("of a leaving holder", matrix.HolderLeaves),
	Entry("of a holder that the store turns away", matrix.HolderTurnedAway),
)
