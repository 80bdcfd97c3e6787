package allowance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/allowance"
)

func TestAllowance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "allowance")
}

var tightBounds = allowance.Bounds{Window: 5 * time.Second, Overage: 0.02, Slack: 2}

var kinds = []string{"kill", "freeze", "cut-store", "cut-off", "store-down", "usurp", "transfer", "restore"}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		seed: rapid.Uint64().Draw(t, "seed"), bounds: rapid.SampledFrom([]allowance.Bounds{usualBounds, tightBounds}).Draw(t, "bounds"), hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), length: 30 * time.Second,
		limit: drawLimit(t, "limit"), hoard: rapid.Bool().Draw(t, "hoard"),
		delay: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "delay"), loss: rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss"),
	}
	s.demand = s.limit.Rate * rapid.SampledFrom([]float64{1, 3, 6}).Draw(t, "demand")
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		s.faults = append(s.faults, fault{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(-1, 4).Draw(t, "host"),
			at:   time.Duration(rapid.IntRange(0, 250).Draw(t, "at")) * 100 * time.Millisecond,
			last: time.Duration(rapid.IntRange(1, 120).Draw(t, "last")) * 100 * time.Millisecond,
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "changes") {
		s.limits = append(s.limits, change{at: time.Duration(8*(i+1))*time.Second + time.Duration(rapid.IntRange(0, 70).Draw(t, "change"))*100*time.Millisecond, limit: drawLimit(t, "limit")})
	}
	return s
}

func drawLimit(t *rapid.T, name string) allowance.Limit {
	r := rapid.SampledFrom([]float64{1, 8, 30, 100}).Draw(t, name)
	return allowance.Limit{Rate: r, Burst: r * rapid.SampledFrom([]float64{0.2, 1, 2}).Draw(t, "burst")}
}

func TestRuleHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(drawScenario(t))
		w.run()
		if e, at := w.worstExcess(); e > 0 {
			t.Fatalf("%.0f operations too many from %v; modes %v, counts %v", e, at, w.modes, w.counts)
		}
	})
}

// hardScenario returns a scenario with little reserve and faults of the accountant, and
// without changes of the limit.
func hardScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 2))
	s := scenario{
		seed: seed, bounds: tightBounds, hosts: 3, limit: allowance.Limit{Rate: 100, Burst: 100},
		demand: 400, hoard: seed%2 == 0, length: 25 * time.Second, delay: 0.3, loss: 0.02,
	}
	for i := range 3 {
		s.faults = append(s.faults, fault{
			kind: []string{"kill", "freeze", "cut-off", "transfer"}[r.IntN(4)], host: -1,
			at: time.Duration(6*i+2+r.IntN(5)) * time.Second, last: time.Duration(1+r.IntN(80)) * 100 * time.Millisecond,
		})
	}
	return s
}

// firstBroken returns the first seed whose run breaks the rule, and whether there is
// one.
func firstBroken(o off, seeds uint64) (uint64, float64, bool) {
	for i := range seeds {
		s := hardScenario(i)
		s.off = o
		w := newWorld(s)
		w.run()
		if e, _ := w.worstExcess(); e > 0 {
			return i, e, true
		}
	}
	return 0, 0, false
}

var _ = Describe("The rule", func() {
	const seeds = 40
	It("holds for the seeds that break it with a mechanism off", func() {
		_, _, broken := firstBroken(off{}, seeds)
		Expect(broken).To(BeFalse())
	})
	DescribeTable("is broken without a mechanism", func(o off) {
		i, e, broken := firstBroken(o, seeds)
		Expect(broken).To(BeTrue())
		GinkgoWriter.Printf("seed %d: %.0f operations too many\n", i, e)
	},
		Entry("outstanding tokens", off{outstanding: true}),
		Entry("the expiry of loans from when they were requested", off{expiry: true}),
		Entry("waiting for the previous accountant", off{wait: true}),
		Entry("an empty start", off{start: true}),
		Entry("lending less while the lease isn't confirmed", off{fresh: true}),
	)
})
