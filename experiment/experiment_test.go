package experiment_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/experiment"
)

const seed = 1

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	t.Log("seed", seed)
	RunSpecs(t, "Experiment")
}

func runScenario(s experiment.Scenario, factor float64, v experiment.Variant) *experiment.Report {
	f, err := experiment.FindFleet("lankaglow")
	Expect(err).NotTo(HaveOccurred())
	r, err := experiment.Run(experiment.Config{
		Fleet: f, Scenario: s, Factor: factor, Variant: v, Seed: seed, WarmUp: time.Second, Duration: 1500 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	return r
}

func inTimeFraction(r *experiment.Report, k bundle.Rank) float64 {
	return float64(r.Rows[k].InTime) / float64(r.Rows[k].Offered)
}

var _ = Describe("the simulated policy", func() {
	It("gives the same report for the same configuration and seed", func() {
		Expect(runScenario(experiment.Baseline, 1, experiment.Variant{})).To(Equal(runScenario(experiment.Baseline, 1, experiment.Variant{})))
	})

	It("serves all requests of the ordinary load in time, and over 90 % of the tolerant reads at replicas", func() {
		r := runScenario(experiment.Baseline, 1, experiment.Variant{})
		for k := range bundle.Rank(bundle.RankCount) {
			Expect(inTimeFraction(r, k)).To(Equal(1.0))
		}
		Expect(r.TolerantReplicaShare).To(BeNumerically(">", 0.9))
	})

	DescribeTable("serves urgent work in time under overload and faults",
		func(s experiment.Scenario, factor float64) {
			r := runScenario(s, factor, experiment.Variant{})
			Expect(inTimeFraction(r, bundle.Urgent)).To(BeNumerically(">=", 0.99))
			Expect(r.PeakQueue).To(BeNumerically("<=", 3*4096))
		},
		Entry("background work of 10 times the capacity", experiment.BackgroundFlood, 10.0),
		Entry("background work of 30 times the capacity", experiment.BackgroundFlood, 30.0),
		Entry("one caller with 4 times the capacity", experiment.CallerFlood, 4.0),
		Entry("background work over the region link", experiment.LinkFlood, 10.0),
		Entry("two seconds without primaries", experiment.PrimaryChange, 0.01),
		Entry("owners of one failure domain killed", experiment.OwnerDeath, 1.0),
	)

	It("serves the other callers of a rank in time while one caller of that rank sends 4 times the capacity", func() {
		r := runScenario(experiment.CallerFlood, 4, experiment.Variant{})
		Expect(inTimeFraction(r, bundle.Routine)).To(BeNumerically(">=", 0.99))
	})

	It("gives the lower ranks their shares under 10 times the capacity of urgent work", func() {
		r := runScenario(experiment.UrgentFlood, 10, experiment.Variant{})
		Expect(r.Rows[bundle.Routine].SlotTimeShare).To(BeNumerically(">=", 0.1))
		Expect(r.Rows[bundle.Background].SlotTimeShare).To(BeNumerically(">=", 0.02))
	})

	It("rejects unknown names of fleets and scenarios", func() {
		_, err := experiment.FindFleet("x")
		Expect(err).To(MatchError(ContainSubstring("unknown fleet x")))
		_, err = experiment.FindScenario("x")
		Expect(err).To(MatchError(ContainSubstring("unknown scenario x")))
	})
})
