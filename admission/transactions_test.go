package admission_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

var _ = Describe("open transactions", func() {
	It("leave a connection for each slot, and leave the remaining ones to higher ranks first", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := &admission.TransactionLimiter{Connections: rapid.IntRange(5, 60).Draw(t, "connections"), Slots: 3}
			var open []bundle.Rank
			for range rapid.IntRange(0, 150).Draw(t, "steps") {
				if len(open) > 0 && rapid.IntRange(0, 2).Draw(t, "step") == 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					x.End(open[i])
					open = append(open[:i:i], open[i+1:]...)
					continue
				}
				r := bundle.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				before := len(open)
				if x.Begin(r) {
					open = append(open, r)
				} else if before < x.Limit(r) {
					t.Fatalf("transaction of rank %v refused with %d of %d open", r, before, x.Limit(r))
				}
				if len(open) > before && before >= x.Limit(r) || x.Open() != len(open) || x.Open() > x.Connections-x.Slots {
					t.Fatalf("%d transactions open", len(open))
				}
			}
		})
	})

	It("of background rank are limited to half of the connections beyond the slots", func() {
		x := &admission.TransactionLimiter{Connections: 16, Slots: 3}
		n := 0
		for x.Begin(bundle.Background) {
			n++
		}
		Expect(n).To(Equal(6))
		Expect(x.Begin(bundle.Routine)).To(BeTrue())
		for x.Begin(bundle.Urgent) {
			n++
		}
		Expect(x.Open()).To(Equal(13))
	})
})
