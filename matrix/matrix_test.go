package matrix_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/matrix"
	"github.com/dragonflypick/dragonflypick/model"
)

func TestMatrix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Matrix")
}

// entries returns a table entry for every fault at every step.
func entries() []TableEntry {
	var o []TableEntry
	seed := uint64(1)
	for _, f := range matrix.Faults() {
		for _, s := range model.Steps() {
			p := matrix.Plan{Seed: seed, Step: s, First: f}
			o = append(o, Entry(p.String(), p))
			seed++
		}
	}
	return o
}

var _ = DescribeTable("every fault at every step", func(p matrix.Plan) {
	r := matrix.Run(p)
	AddReportEntry("report", r, ReportEntryVisibilityNever)
	Expect(r.Violations).To(BeEmpty())
	Expect(r.Done).To(BeNumerically(">", 0))
	Expect(r.Reads).To(BeNumerically(">", 0))
}, entries())
