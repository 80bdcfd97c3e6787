package placement_test

import (
	"flag"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/placement"
)

func TestPlacement(t *testing.T) {
	for n, v := range map[string]string{"rapid.seed": "5", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const ms = time.Millisecond

var start = time.Unix(1e9, 0)

func pos(offset uint64) logpos.Position { return logpos.Position{Term: 1, Offset: offset} }

func noJitter() float64 { return 0 }

// candidates returns a primary with the given wait and a replica that applies commits
// after lag and has reached position 4, reported age ago.
func candidates(wait, lag, age time.Duration) []placement.Candidate {
	at := start.Add(-age)
	return []placement.Candidate{
		{Member: "p", Primary: true, Slots: 5, RTT: ms, Share: 1, Report: placement.Report{Position: pos(9), Wait: wait, SlotTime: 20 * ms, At: at}},
		{Member: "r", Slots: 5, RTT: ms, Share: 1, Report: placement.Report{Position: pos(4), Lag: lag, SlotTime: 20 * ms, At: at}},
	}
}

var _ = Describe("Choose", func() {
	DescribeTable("weighs a replica's lag against the primary's queue",
		func(wait, lag, floorAge time.Duration, index int, reason placement.Reason) {
			r := placement.Read{Floor: pos(9), FloorAge: floorAge, MaxAge: 2500 * ms, Left: time.Second}
			c, ok := placement.Choose(r, candidates(wait, lag, 0), start, noJitter)
			Expect(ok).To(BeTrue())
			Expect(c.Index).To(Equal(index))
			Expect(c.Reason).To(Equal(reason))
		},
		Entry("waits 40 ms at the replica if the primary is full", 200*ms, 150*ms, 110*ms, 1, placement.CatchUp),
		Entry("doesn't wait for it if the primary is idle", time.Duration(0), 150*ms, 110*ms, 0, placement.LagAvoided),
		Entry("prefers a primary with a shorter queue than the lag", 30*ms, 150*ms, 110*ms, 0, placement.LagAvoided),
		Entry("uses a replica that has applied the write by now", 30*ms, 150*ms, 200*ms, 1, placement.Soonest),
		Entry("doesn't send to a replica that receives nothing", 300*ms, 20*time.Second, 110*ms, 0, placement.LagAvoided),
		Entry("says that nobody will answer in time", 3*time.Second, 20*time.Second, 110*ms, 0, placement.LastResort),
	)

	It("uses a replica whose known position contains the session's write, however late it usually is", func() {
		r := placement.Read{Floor: pos(4), FloorAge: 0, MaxAge: 30 * time.Second, Left: time.Second}
		c, _ := placement.Choose(r, candidates(30*ms, 10*time.Second, 0), start, noJitter)
		Expect(c.Index).To(Equal(1))
	})

	It("makes a bounded read wait only for the part of the lag that exceeds the accepted age", func() {
		c := candidates(0, 1600*ms, 0)[1]
		Expect(c.CatchUp(placement.Read{MaxAge: 1500 * ms}, start)).To(Equal(100 * ms))
		Expect(c.CatchUp(placement.Read{MaxAge: 1700 * ms}, start)).To(BeZero())
	})

	It("is patient for as long as the other members would take longer", func() {
		r := placement.Read{Floor: pos(9), FloorAge: 110 * ms, MaxAge: 2500 * ms, Left: time.Second}
		c, _ := placement.Choose(r, candidates(200*ms, 150*ms, 0), start, noJitter)
		Expect(c.Patience).To(Equal(201 * ms))
	})

	It("forgets a queue within a second and a lag within seconds", func() {
		r := placement.Read{MaxAge: 2500 * ms, Left: time.Second}
		c, _ := placement.Choose(r, candidates(300*ms, 0, 0), start, noJitter)
		Expect(c.Index).To(Equal(1))
		old := candidates(300*ms, 10*time.Second, time.Minute)
		Expect(old[0].Cost(0, start)).To(Equal(old[1].Cost(0, start)))
		Expect(old[1].CatchUp(r, start)).To(BeZero())
	})

	It("avoids a member that fails its statements", func() {
		l := candidates(0, 0, 0)
		l[0].Report.Failures = 0.5
		c, _ := placement.Choose(placement.Read{MaxAge: time.Second, Left: time.Second}, l, start, noJitter)
		Expect(c.Index).To(Equal(1))
	})

	It("uses a member without a share if the others can't answer in time", func() {
		l := candidates(0, 20*time.Second, 0)
		l[0].Share = 0
		r := placement.Read{Floor: pos(9), MaxAge: 2500 * ms, Left: time.Second}
		c, _ := placement.Choose(r, l, start, noJitter)
		Expect(c.Index).To(Equal(0))
		l[1].Report.Lag = 0
		c, _ = placement.Choose(r, l, start, noJitter)
		Expect(c.Index).To(Equal(1))
	})

	It("knows that nobody answers in time only by recent reports of all members", func() {
		r := placement.Read{Floor: pos(9), MaxAge: 2500 * ms, Left: time.Second}
		full := func(age time.Duration) []placement.Candidate { return candidates(2*time.Second, 10*time.Second, age) }
		c, _ := placement.Choose(r, full(100*ms), start, noJitter)
		Expect(c.Hopeless).To(BeTrue())
		c, _ = placement.Choose(r, full(400*ms), start, noJitter)
		Expect(c.Hopeless).To(BeFalse(), "the queue may be shorter by now")
		l := full(100 * ms)
		l[1].Report.Position = pos(9)
		r.MaxAge = 20 * time.Second
		c, _ = placement.Choose(r, l, start, noJitter)
		Expect(c.Hopeless).To(BeFalse(), "the replica has the data")
		l = full(100 * ms)
		l[0].Report.Wait, l[0].RTT = 0, 2*time.Second
		c, _ = placement.Choose(placement.Read{Floor: pos(9), MaxAge: 2500 * ms, Left: time.Second}, l, start, noJitter)
		Expect(c.Hopeless).To(BeFalse(), "a host that didn't answer may answer now")
	})

	It("always chooses a candidate, and never one that has no share while another answers in time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l []placement.Candidate
			for range rapid.IntRange(1, 5).Draw(t, "members") {
				l = append(l, placement.Candidate{
					Primary: rapid.Bool().Draw(t, "primary"), Slots: 5, RTT: duration(t, 60), InFlight: rapid.IntRange(0, 20).Draw(t, "in-flight"),
					Share:  rapid.SampledFrom([]float64{0, 0.25, 1}).Draw(t, "share"),
					Report: placement.Report{Position: pos(rapid.Uint64Range(0, 9).Draw(t, "offset")), Lag: duration(t, 5000), Wait: duration(t, 2000), SlotTime: duration(t, 200), At: start.Add(-duration(t, 7000))},
				})
			}
			r := placement.Read{Floor: pos(rapid.Uint64Range(0, 9).Draw(t, "floor")), FloorAge: duration(t, 2000), MaxAge: duration(t, 2500), Left: duration(t, 2000)}
			c, ok := placement.Choose(r, l, start, func() float64 { return rapid.Float64Range(0, 0.99).Draw(t, "random") })
			if !ok || c.Index < 0 || c.Index >= len(l) || c.Patience < 0 || c.CatchUp < 0 {
				t.Fatalf("choice %+v of %d", c, len(l))
			}
			if k := l[c.Index]; c.CatchUp != k.CatchUp(r, start) || k.Primary && c.CatchUp > 0 {
				t.Fatalf("choice %+v of %+v", c, k)
			}
		})
	})
})

func duration(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * ms
}

var _ = Describe("Estimates", func() {
	It("never estimate a lag below what was just observed, and approach a shorter one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l placement.Lag
			for range rapid.IntRange(1, 20).Draw(t, "observations") {
				least := duration(t, 3000)
				most := least + duration(t, 3000)
				if rapid.Bool().Draw(t, "unbounded") {
					most = math.MaxInt64
				}
				was := l
				l.Observe(least, most)
				if l.Estimate < least || was.Known && was.Estimate > most && l.Estimate >= was.Estimate {
					t.Fatalf("%v after %v in [%v, %v]", l.Estimate, was.Estimate, least, most)
				}
			}
		})
	})

	It("forget failures without statements", func() {
		var s placement.Service
		for range 20 {
			s.Observe(20*ms, true, start)
		}
		Expect(s.Failures(start)).To(BeNumerically(">", 0.8))
		Expect(s.Failures(start.Add(10 * time.Second))).To(BeNumerically("<", 0.05))
	})

	It("aren't led by one statement that ran while the host was frozen", func() {
		var s placement.Service
		s.Observe(20*ms, false, start)
		s.Observe(time.Minute, false, start)
		Expect(s.SlotTime).To(BeNumerically("<", 50*ms))
	})
})

var _ = Describe("Seen", func() {
	It("never tells a greater age than since a position was known", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var s placement.Seen
			known := map[uint64]time.Time{}
			now, p := start, uint64(0)
			for range rapid.IntRange(1, 150).Draw(t, "commits") {
				now = now.Add(duration(t, 60))
				p += rapid.Uint64Range(0, 3).Draw(t, "step")
				if _, ok := known[p]; !ok {
					known[p] = now
				}
				s.Add(pos(p), now)
			}
			for p, at := range known {
				if a := s.Age(pos(p), now); a > now.Sub(at) || a < 0 {
					t.Fatalf("position %d: age %v, known for %v", p, a, now.Sub(at))
				}
			}
		})
	})

	It("tells no age for a position that it hasn't seen", func() {
		var s placement.Seen
		s.Add(pos(3), start)
		Expect(s.Age(pos(4), start.Add(time.Second))).To(BeZero())
		Expect(s.Age(pos(2), start.Add(time.Second))).To(Equal(time.Second))
	})
})
