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
		func(c measure.SlopesConfig, what string) {
			_, err := measure.Slopes(x, c)
			var l *measure.LimitError
			Expect(errors.As(err, &l)).To(BeTrue(), "%v", err)
			Expect(l.What).To(Equal(what))
		},
		Entry("callers", measure.SlopesConfig{Callers: []int{1000000}}, "callers"),
		Entry("groups", measure.SlopesConfig{Groups: []int{1000}}, "groups"),
		Entry("daemons", measure.SlopesConfig{Daemons: []int{-1}}, "daemons"),
	)

	It("refuses too many idle callers", func() {
		_, err := measure.Memory(x, measure.MemoryConfig{Callers: []int{0, 1000000}})
		var l *measure.LimitError
		Expect(errors.As(err, &l)).To(BeTrue(), "%v", err)
	})

	It("loses no order on a majority under a cut that loses some at commit", func() {
		r, err := measure.Writes(x, measure.WritesConfig{Rounds: 20, Runs: 1, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Parts).To(HaveLen(2))
		Expect(r.Parts[0].Majority).To(BeTrue())
		Expect(r.Parts[0].Cuts[0].Lost).To(BeZero())
		Expect(r.Parts[0].Cuts[0].Broken).To(BeZero())
		Expect(r.Parts[1].Cuts[0].Lost).To(BeNumerically(">", 0))
	})
})
