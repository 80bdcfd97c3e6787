package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// playStopped plays reads at two replicas, of which the first doesn't answer from 1 s
// to 4 s, while callers send it more than the second could serve alone.
func playStopped(early bool, seed uint64) map[tallyKey]*tally {
	c := memberConfig()
	c.EarlyRefusal = early
	p := newPlayer(c, seed)
	p.other = admission.New(c)
	p.stuckFrom, p.stuckTo = time.Second, 4*time.Second
	p.add(source{rank: bundle.Routine, perSecond: 40, work: 22 * time.Millisecond, limit: 1500 * time.Millisecond, retries: 2, to: 5 * time.Second})
	p.add(source{rank: bundle.Background, perSecond: 100, work: 7 * time.Millisecond, limit: 800 * time.Millisecond, retries: 2, to: 5 * time.Second})
	return p.run(8 * time.Second)
}

// playUrgentBurst plays background work that uses half of a member, and a burst of
// urgent work from 1 s to 3 s that needs all of it. The burst begins while background
// requests wait that were admitted before it.
func playUrgentBurst(early bool, seed uint64) map[tallyKey]*tally {
	c := memberConfig()
	c.EarlyRefusal = early
	p := newPlayer(c, seed)
	p.add(source{rank: bundle.Background, perSecond: 600, work: 7 * time.Millisecond, limit: 800 * time.Millisecond, retries: 2, to: 5 * time.Second})
	p.add(source{rank: bundle.Urgent, perSecond: 900, work: 5 * time.Millisecond, limit: 800 * time.Millisecond, retries: 2, from: time.Second, to: 3 * time.Second})
	return p.run(8 * time.Second)
}

func total(m map[tallyKey]*tally) (o tally) {
	for _, t := range m {
		o.asked, o.served, o.refusedLate = o.asked+t.asked, o.served+t.served, o.refusedLate+t.refusedLate
	}
	return o
}

var _ = Describe("early refusal", func() {
	It("moves reads off a member that has stopped to answer while another one can serve them", func() {
		for seed := range uint64(playedSeeds) {
			with, without := total(playStopped(true, seed)), total(playStopped(false, seed))
			AddReportEntry(fmt.Sprintf("seed %d: of %d served %d, refused late %d; without served %d, refused late %d", seed, with.asked, with.served, with.refusedLate, without.served, without.refusedLate))
			Expect(with.served).To(BeNumerically(">", without.served))
			Expect(with.refusedLate).To(BeNumerically("<", without.refusedLate/2))
		}
	})

	It("gives up background work before its deadline when a burst of urgent work arrives, and serves no less", func() {
		for seed := range uint64(playedSeeds) {
			with, without := total(playUrgentBurst(true, seed)), total(playUrgentBurst(false, seed))
			AddReportEntry(fmt.Sprintf("seed %d: of %d served %d, refused late %d; without served %d, refused late %d", seed, with.asked, with.served, with.refusedLate, without.served, without.refusedLate))
			Expect(with.served).To(BeNumerically(">=", without.served))
			Expect(with.refusedLate).To(BeNumerically("<", without.refusedLate/2))
		}
	})
})
