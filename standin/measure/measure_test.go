package measure_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/measure"
)

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Measure")
}

var _ = Describe("a measurement", func() {
	x := context.Background()

	DescribeTable("refuses sizes beyond its limits before it starts a process",
		func(c measure.IdleCostConfig, what string) {
			_, err := measure.IdleCost(x, c)
			var l *measure.LimitError
			Expect(errors.As(err, &l)).To(BeTrue(), "%v", err)
			Expect(l.What).To(Equal(what))
		},
		Entry("callers", measure.IdleCostConfig{Callers: []int{1000000}}, "callers"),
		Entry("groups", measure.IdleCostConfig{Groups: []int{1000}}, "groups"),
		Entry("daemons", measure.IdleCostConfig{Daemons: []int{-1}}, "daemons"),
	)

	It("refuses too many idle callers", func() {
		_, err := measure.Memory(x, measure.MemoryConfig{Callers: []int{0, 1000000}})
		var l *measure.LimitError
		Expect(errors.As(err, &l)).To(BeTrue(), "%v", err)
	})

	It("loses no order on a majority under a cut that loses some at commit", func() {
		r, err := measure.WriteAcknowledgment(x, measure.WriteAcknowledgmentConfig{Rounds: 20, Runs: 1, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("cuts", r)
		Expect(r.Variants).To(HaveLen(2))
		Expect(r.Variants[0].Majority).To(BeTrue())
		Expect(r.Variants[0].Cuts[0].Lost).To(BeZero())
		Expect(r.Variants[0].Cuts[0].Violations).To(BeZero())
		Expect(r.Variants[1].Cuts[0].Lost).To(BeNumerically(">", 0))
	})
})
