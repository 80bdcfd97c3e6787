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
	// faultPairs is the number of random pairs of faults, with seeds from 1.
	faultPairs = 64
	// maxFaultInterval bounds the time between the two faults of a pair.
	maxFaultInterval = 4 * time.Second
)

// singleFaultPlans returns a plan for every fault at every step.
func singleFaultPlans() []matrix.Plan {
	var o []matrix.Plan
	for _, f := range matrix.Faults() {
		for _, s := range model.WriteSteps() {
			o = append(o, matrix.Plan{Seed: uint64(len(o) + 1), Step: s, First: f})
		}
	}
	return o
}

// twoFaultPlans returns plans with two random faults.
func twoFaultPlans() []matrix.Plan {
	g := rapid.Custom(func(t *rapid.T) matrix.Plan {
		return matrix.Plan{
			Seed:        rapid.Uint64().Draw(t, "seed"),
			Step:        rapid.SampledFrom(model.WriteSteps()).Draw(t, "step"),
			First:       rapid.SampledFrom(matrix.Faults()).Draw(t, "first"),
			Second:      rapid.SampledFrom(matrix.Faults()).Draw(t, "second"),
			After:       time.Duration(rapid.Int64Range(0, int64(maxFaultInterval)).Draw(t, "after")),
			FiveMembers: rapid.Bool().Draw(t, "wide"),
		}
	})
	o := make([]matrix.Plan, faultPairs)
	for i := range o {
		o[i] = g.Example(i + 1)
	}
	return o
}

// describePlans declares a spec for each plan; BeforeAll runs all plans
// concurrently.
func describePlans(text string, plans []matrix.Plan) bool {
	return Describe(text, Ordered, ContinueOnFailure, func() {
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
	_ = describePlans("every fault at every step", singleFaultPlans())
	_ = describePlans("two random faults, with seeds from 1", twoFaultPlans())
)
