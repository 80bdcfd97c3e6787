package matrix_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/matrix"
	"github.com/dragonflypick/dragonflypick/model"
)

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Matrix")
}

const (
	// pairs is the number of drawn pairs of faults; they have the seeds from 1.
	pairs = 64
	// lastMoment bounds the time between the two faults of a pair.
	lastMoment = 4 * time.Second
)

// single returns a plan for every fault at every step.
func single() []matrix.Plan {
	var o []matrix.Plan
	for _, f := range matrix.Faults() {
		for _, s := range model.WriteSteps() {
			o = append(o, matrix.Plan{Seed: uint64(len(o) + 1), Step: s, First: f})
		}
	}
	return o
}

// double returns plans with two faults.
func double() []matrix.Plan {
	g := rapid.Custom(func(t *rapid.T) matrix.Plan {
		return matrix.Plan{
			Seed:   rapid.Uint64().Draw(t, "seed"),
			Step:   rapid.SampledFrom(model.WriteSteps()).Draw(t, "step"),
			First:  rapid.SampledFrom(matrix.Faults()).Draw(t, "first"),
			Second: rapid.SampledFrom(matrix.Faults()).Draw(t, "second"),
			After:  time.Duration(rapid.Int64Range(0, int64(lastMoment)).Draw(t, "after")),
			Wide:   rapid.Bool().Draw(t, "wide"),
		}
	})
	o := make([]matrix.Plan, pairs)
	for i := range o {
		o[i] = g.Example(i + 1)
	}
	return o
}

// describe makes a spec for each plan; the plans run side by side before.
func describe(what string, plans []matrix.Plan) bool {
	return Describe(what, Ordered, ContinueOnFailure, func() {
		var reports []matrix.Report
		BeforeAll(func() { reports = matrix.RunAll(plans) })
		for i, p := range plans {
			It(p.String(), func() {
				Expect(reports[i].Violations).To(BeEmpty())
				Expect(reports[i].Done).To(BeNumerically(">", 0))
				Expect(reports[i].Reads).To(BeNumerically(">", 0))
			})
		}
	})
}

var (
	_ = describe("every fault at every step", single())
	_ = describe("two faults, drawn with seeds from 1", double())
)
