package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
)

var _ = Describe("a member that loses a fifth of its answers", func() {
	It("serves nearly all reads in time, though each lost answer would hold a slot for 0.8 s", func() {
		for seed := range uint64(playedSeeds) {
			c := memberConfig()
			c.LostAnswers = true
			p := newPlayer(c, seed)
			p.lost = 0.2
			p.add(source{rank: bundle.Background, perSecond: 120, work: 12 * time.Millisecond, limit: 800 * time.Millisecond, to: 5 * time.Second})
			o := total(p.run(8 * time.Second))
			AddReportEntry(fmt.Sprintf("seed %d: of %d served %d", seed, o.asked, o.served))
			Expect(float64(o.served)).To(BeNumerically(">", 0.98*float64(o.asked)))
		}
	})
})
