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

	It("share places for open transactions, which are charged whole, and lose few of theirs to one that opens far more", func() {
		play := func(teams bool, seed uint64) float64 {
			p := newPlayer(admission.Config{Slots: 20, Shares: [bundle.RankCount]float64{0, 0.1, 0.1}}, seed)
			p.sessionsOnly = !teams
			for i := range 10 {
				t := source{team: fmt.Sprint("t", i), perSecond: 3, work: 400 * time.Millisecond, limit: 2 * time.Second, to: 10 * time.Second}
				p.add(t)
				if i == 0 {
					t.perSecond, t.sessions, t.from, t.to = 60, 400, 2*time.Second, 8*time.Second
					p.add(t)
				}
			}
			return share(p.run(12*time.Second), func(k tallyKey) bool { return k.team != "t0" })
		}
		for seed := range uint64(playedSeeds) {
			with, without := play(true, seed), play(false, seed)
			AddReportEntry(fmt.Sprintf("seed %d: others' transactions %.4f, %.4f by session only", seed, with, without))
			Expect(with).To(BeNumerically(">", 0.98))
			Expect(with).To(BeNumerically(">=", without))
		}
	})

	It("leave no slot unused because of a team in excess, and serve no fewer requests in all", func() {
		for seed := range uint64(playedSeeds) {
			p := newPlayer(memberConfig(), seed)
			p.add(source{team: "alone", rank: bundle.Routine, perSecond: 400, work: 22 * time.Millisecond, limit: 800 * time.Millisecond, to: 4 * time.Second})
			p.add(source{team: "small", rank: bundle.Routine, perSecond: 5, work: 22 * time.Millisecond, limit: 800 * time.Millisecond, to: 4 * time.Second})
			m := p.run(6 * time.Second)
			Expect(p.busy).To(BeNumerically(">", 5*3900*time.Millisecond), "5 slots for 4 s")
			Expect(share(m, func(k tallyKey) bool { return k.team == "small" })).To(BeNumerically("==", 1), "seed %d", seed)
		}
	})

	It("have their sessions take turns, and give up their own last request when the queue is full", func() {
		c := memberConfig()
		c.Slots, c.MaxWaiting = 1, 6
		q := admission.New(c)
		now := start
		var refused, started []uint64
		handle := func(e admission.Event) {
			for _, a := range q.Handle(e, now) {
				switch a := a.(type) {
				case admission.Start:
					started = append(started, a.ID)
				case admission.Refuse:
					refused = append(refused, a.ID)
				}
			}
		}
		arrive := func(id uint64, team, caller string) {
			handle(admission.Arrived{ID: id, Team: team, Caller: caller, Deadline: start.Add(time.Minute)})
		}
		for id := range uint64(6) {
			arrive(id+1, "hot", "busy")
		}
		arrive(7, "hot", "quiet")
		arrive(8, "other", "c")
		Expect(refused).To(Equal([]uint64{6}))
		for range 3 {
			now = now.Add(10 * time.Millisecond)
			handle(admission.Finished{ID: started[len(started)-1]})
		}
		Expect(started[:2]).To(Equal([]uint64{1, 8}), "the other team first")
		Expect(started).To(ContainElement(uint64(7)), "the quiet session before the busy one's rest")
	})
})
