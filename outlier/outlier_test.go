package outlier_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/outlier"
)

func TestOutlier(t *testing.T) {
	for n, v := range map[string]string{"rapid.seed": "4", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

const ms = time.Millisecond

var (
	start = time.Unix(1e9, 0)
	group = []string{"a", "b", "c"}
)

func shares(d *outlier.Detector, now time.Time) []float64 {
	var o []float64
	for _, s := range d.Standings(group, now) {
		o = append(o, s.Share)
	}
	return o
}

// fail lets a member fail n reads in a row.
func fail(d *outlier.Detector, member string, n int, now time.Time) outlier.Change {
	var c outlier.Change
	for range n {
		c = max(c, d.Handle(outlier.Failed{Member: member}, now))
	}
	return c
}

var _ = Describe("Detector", func() {
	It("gives a member that fails less work first, then none", func() {
		d := outlier.New()
		Expect(fail(d, "a", 1, start)).To(Equal(outlier.Unchanged))
		Expect(shares(d, start)).To(Equal([]float64{1, 1, 1}))
		Expect(fail(d, "a", 1, start)).To(Equal(outlier.Unchanged))
		Expect(shares(d, start)).To(Equal([]float64{0.25, 1, 1}))
		Expect(fail(d, "a", 2, start)).To(Equal(outlier.Ejected))
		Expect(shares(d, start)).To(Equal([]float64{0, 1, 1}))
	})

	It("keeps a member that fails one read in ten", func() {
		d := outlier.New()
		for i := range 200 {
			t := start.Add(time.Duration(i) * 20 * ms)
			if i%10 == 0 {
				Expect(fail(d, "a", 1, t)).To(Equal(outlier.Unchanged))
			}
			d.Handle(outlier.Answered{Member: "a", Took: 20 * ms}, t)
			Expect(shares(d, t)[0]).To(Equal(1.0))
		}
	})

	It("reduces a member that takes much longer than the others, and only that one", func() {
		d := outlier.New()
		for range 10 {
			d.Handle(outlier.Answered{Member: "a", Took: 200 * ms}, start)
			d.Handle(outlier.Answered{Member: "b", Took: 20 * ms}, start)
			d.Handle(outlier.Answered{Member: "c", Took: 40 * ms}, start)
		}
		Expect(shares(d, start)).To(Equal([]float64{0.25, 1, 1}))
		for range 20 {
			d.Handle(outlier.Answered{Member: "b", Took: 200 * ms}, start)
			d.Handle(outlier.Answered{Member: "c", Took: 200 * ms}, start)
		}
		Expect(shares(d, start)).To(Equal([]float64{1, 1, 1}), "all are slow: none is an outlier")
	})

	It("ejects the worst one only if most of a group fail", func() {
		d := outlier.New()
		fail(d, "a", 4, start)
		fail(d, "b", 9, start)
		fail(d, "c", 5, start)
		Expect(shares(d, start)).To(Equal([]float64{0.25, 0, 0.25}))
	})

	It("returns a member after three probes in a row, and waits longer after a failed one", func() {
		d := outlier.New()
		fail(d, "a", 4, start)
		due := func(t time.Time) bool { return d.Standings(group, t)[0].ProbeDue }
		Expect(due(start.Add(900 * ms))).To(BeFalse())
		t := start.Add(time.Second)
		Expect(due(t)).To(BeTrue())
		d.Handle(outlier.ProbeStarted{Member: "a"}, t)
		Expect(due(t)).To(BeFalse(), "one probe at a time")
		fail(d, "a", 1, t)
		Expect(due(t.Add(1900 * ms))).To(BeFalse())
		t = t.Add(2 * time.Second)
		var c outlier.Change
		for range 3 {
			Expect(c).To(Equal(outlier.Unchanged))
			Expect(due(t)).To(BeTrue())
			d.Handle(outlier.ProbeStarted{Member: "a"}, t)
			c = d.Handle(outlier.Answered{Member: "a", Took: 20 * ms}, t)
		}
		Expect(c).To(Equal(outlier.Returned))
		Expect(shares(d, t)[0]).To(BeNumerically(">", 0))
	})

	It("returns a member that is in use because another one is worse, although it isn't probed", func() {
		d := outlier.New()
		fail(d, "a", 9, start)
		fail(d, "b", 4, start)
		Expect(shares(d, start)).To(Equal([]float64{0, 0.25, 1}))
		var c outlier.Change
		for i := range 6 {
			t := start.Add(2*time.Second + time.Duration(i)*100*ms)
			c = max(c, d.Handle(outlier.Answered{Member: "b", Took: 20 * ms}, t))
		}
		Expect(c).To(Equal(outlier.Returned))
		Expect(shares(d, start.Add(3*time.Second))).To(Equal([]float64{0, 1, 1}))
	})

	It("doesn't return a member by answers to reads from before its ejection", func() {
		d := outlier.New()
		fail(d, "a", 4, start)
		for range 6 {
			Expect(d.Handle(outlier.Answered{Member: "a", Took: 20 * ms}, start.Add(100*ms))).To(Equal(outlier.Unchanged))
		}
	})

	It("sends another probe if one is lost", func() {
		d := outlier.New()
		fail(d, "a", 4, start)
		t := start.Add(time.Second)
		d.Handle(outlier.ProbeStarted{Member: "a"}, t)
		Expect(d.Standings(group, t.Add(2100*ms))[0].ProbeDue).To(BeTrue())
	})

	It("never takes more than half of a group out", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d, now := outlier.New(), start
			for range rapid.IntRange(0, 80).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * ms)
				m := rapid.SampledFrom(group).Draw(t, "member")
				d.Handle(rapid.SampledFrom([]outlier.Event{
					outlier.Answered{Member: m, Took: time.Duration(rapid.IntRange(1, 900).Draw(t, "took")) * ms},
					outlier.Failed{Member: m},
					outlier.Failed{Member: m},
					outlier.Silent{Member: m},
					outlier.ProbeStarted{Member: m},
				}).Draw(t, "event"), now)
				out := 0
				for _, s := range d.Standings(group, now) {
					if s.Share == 0 {
						out++
					} else if s.ProbeDue {
						t.Fatal("a probe is due to a member in use")
					}
				}
				if out > 1 {
					t.Fatalf("%d of 3 members are out", out)
				}
			}
		})
	})
})

// outcomes is what callers got.
type outcomes struct{ failed, failedLater, toHealed int }

// play sends 40 reads a second to a group of which one member fails 60 in 100 reads
// from second 5 to second 12, each after a while, while its health check
// is good. Without judge all members are used alike.
func play(seed uint64, judge bool) outcomes {
	r, d := rand.New(rand.NewPCG(seed, 3)), outlier.New()
	type answer struct {
		at time.Time
		e  outlier.Event
	}
	var pending []answer
	var o outcomes
	for t := time.Duration(0); t < 25*time.Second; t += 25 * ms {
		now := start.Add(t)
		for len(pending) > 0 && !pending[0].at.After(now) {
			d.Handle(pending[0].e, now)
			pending = pending[1:]
		}
		bad := t > 5*time.Second && t < 12*time.Second
		i, fails := r.IntN(3), r.Float64() < 0.6
		l := d.Standings(group, now)
		switch {
		case judge && l[0].ProbeDue:
			i = 0
			d.Handle(outlier.ProbeStarted{Member: "a"}, now)
		case judge && r.Float64() >= l[i].Share:
			i = 1 + r.IntN(2)
		}
		e, after := outlier.Event(outlier.Answered{Member: group[i], Took: 20 * ms}), 25*ms
		if bad && i == 0 && fails {
			e, after = outlier.Failed{Member: "a"}, 250*ms
			o.failed++
			if t > 7*time.Second {
				o.failedLater++
			}
		}
		if t > 20*time.Second && i == 0 {
			o.toHealed++
		}
		pending = append(pending, answer{now.Add(after), e})
		for k := len(pending) - 1; k > 0 && pending[k].at.Before(pending[k-1].at); k-- {
			pending[k], pending[k-1] = pending[k-1], pending[k]
		}
	}
	return o
}

var _ = Describe("A member that fails most reads while its health check is good", func() {
	It("costs callers a few reads, and gets its work back", func() {
		for seed := uint64(1); seed <= 10; seed++ {
			on, off := play(seed, true), play(seed, false)
			AddReportEntry("play", map[string]any{"seed": seed, "on": on, "off": off})
			Expect(off.failed).To(BeNumerically(">", 40))
			Expect(on.failed).To(BeNumerically("<", off.failed/2), "seed %d", seed)
			Expect(on.failedLater).To(BeNumerically("<", 12), "seed %d", seed)
			Expect(on.toHealed).To(BeNumerically(">", off.toHealed/2), "seed %d", seed)
		}
	})
})
