package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

const playedSeeds = 5

func memberConfig() admission.Config {
	return admission.Config{Slots: 5, Shares: [bundle.RankCount]float64{0, 0.1, 0.1}}
}

// playHotTeam plays 12 teams, of which the first is large, at a member that they use
// to 0.8. From 2 s to 8 s the third sends hot times its usual. Without teams each
// session is on its own.
func playHotTeam(hot float64, teams bool, seed uint64) (neighbors, hotTeam float64) {
	p := newPlayer(memberConfig(), seed)
	for i := range 12 {
		w := 1.0
		if i == 0 {
			w = 5
		}
		n := fmt.Sprintf("t%02d", i)
		for r, load := range []source{{perSecond: 4, work: 5 * time.Millisecond}, {perSecond: 7, work: 22 * time.Millisecond}, {perSecond: 9, work: 7 * time.Millisecond}} {
			load.team, load.weight, load.rank, load.limit, load.to = n, w, bundle.Rank(r), 800*time.Millisecond, 10*time.Second
			load.perSecond *= w
			p.add(load)
			if i == 2 {
				load.perSecond *= hot - 1
				load.from, load.to = 2*time.Second, 8*time.Second
				if hot > 1 {
					p.add(load)
				}
			}
		}
	}
	p.sessionsOnly = !teams
	m := p.run(12 * time.Second)
	return share(m, func(k tallyKey) bool { return k.team != "t02" }), share(m, func(k tallyKey) bool { return k.team == "t02" })
}

var _ = Describe("teams", func() {
	It("lose less than 0.02 of their requests to another team that sends 12 times its usual", func() {
		lossWithout := 0.0
		for seed := range uint64(playedSeeds) {
			calm, _ := playHotTeam(1, true, seed)
			with, hot := playHotTeam(12, true, seed)
			without, _ := playHotTeam(12, false, seed)
			AddReportEntry(fmt.Sprintf("seed %d: neighbors %.4f calm, %.4f with teams, %.4f by session only; hot team %.4f", seed, calm, with, without, hot))
			Expect(calm - with).To(BeNumerically("<", 0.02))
			Expect(with).To(BeNumerically(">=", without))
			lossWithout += calm - without
		}
		Expect(lossWithout/playedSeeds).To(BeNumerically(">", 0.02), "the mechanism isn't needed for this load")
	})
})
