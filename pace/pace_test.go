package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/pace"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace")
}

// Conditions of the modeled server.
var (
	warm = func(float64, int, int) float64 { return 1 }
	// cold is twice as slow for its first four seconds.
	cold = func(t float64, _, _ int) float64 {
		if t < 4 {
			return 2
		}
		return 1
	}
	// recovered has an empty cache: the more statements read from its disk, the longer
	// each takes.
	recovered = func(_ float64, n, served int) float64 {
		return 1 + math.Exp(-float64(served)/300)*math.Pow(float64(n-1), 1.5)
	}
	// slower turns twice as slow for good after five seconds.
	slower = func(t float64, _, _ int) float64 {
		if t > 5 {
			return 2
		}
		return 1
	}
	// disturbed is twice as slow for half a second of each two.
	disturbed = func(t float64, _, _ int) float64 {
		if math.Mod(t, 2) < 0.5 {
			return 2
		}
		return 1
	}
)

const seeds = 10

// mean returns the mean of a measure over the seeds.
func mean(c condition, perSecond, seconds float64, weights func(float64) [3]float64, owner func() control, measure func(*play) float64) float64 {
	s := 0.0
	for i := range uint64(seeds) {
		m := &play{condition: c, owners: []control{owner()}, perSecond: perSecond, weights: weights, random: rand.New(rand.NewPCG(i, 1))}
		m.run(seconds)
		s += measure(m)
	}
	return s / seeds
}

// known returns what an earlier owner of a warm server has told some time ago.
func known() *pace.State {
	p := newPaced(pace.Config{})
	m := &play{condition: warm, owners: []control{p}, random: rand.New(rand.NewPCG(99, 1))}
	m.run(10)
	s := p.p.State()
	return &pace.State{Usual: s.Usual}
}

func throughputUntil(t float64) func(*play) float64 {
	return func(m *play) float64 { return m.throughput(0, t) }
}

func newFixed() control { return fixed{} }
func newRamp() control  { return ramp{} }

func newPacedControl(c pace.Config) func() control {
	return func() control { return newPaced(c) }
}

var _ = Describe("Pace", func() {
	var usual *pace.State
	BeforeEach(func() { usual = known() })

	It("uses a server that is fast at once within a second, for which a ramp takes several", func() {
		full := mean(warm, 0, 20, nil, newFixed, throughputUntil(20))
		reach := func(m *play) float64 { return m.reaches(0, 0.9*full, 20) }
		Expect(mean(warm, 0, 20, nil, newPacedControl(pace.Config{Fresh: true, Known: usual}), reach)).To(BeNumerically("<", 1))
		Expect(mean(warm, 0, 20, nil, newPacedControl(pace.Config{Fresh: true}), reach)).To(BeNumerically("<", 1.5))
		Expect(mean(warm, 0, 20, nil, newRamp, reach)).To(BeNumerically(">", 4))
	})

	It("lets callers wait a fraction of what they wait for a ramp while a server is cold, and uses it fully once it is warm", func() {
		paced := newPacedControl(pace.Config{Cold: 4 * time.Second, Known: usual})
		wait := func(m *play) float64 { return m.meanTime(0, 5, 20, false) }
		Expect(mean(cold, 100, 20, nil, paced, wait)).To(BeNumerically("<", 0.25*mean(cold, 100, 20, nil, newRamp, wait)))
		Expect(mean(cold, 0, 20, nil, paced, throughputUntil(5))).To(BeNumerically(">", 0.85*mean(cold, 0, 20, nil, newFixed, throughputUntil(5))))
		full := mean(warm, 0, 20, nil, newFixed, throughputUntil(20))
		Expect(mean(cold, 0, 20, nil, paced, func(m *play) float64 { return m.reaches(4, 0.9*full, 20) })).To(BeNumerically("<", 5))
	})

	DescribeTable("doesn't flood a server with an empty cache: it answers more statements, each sooner", func(c pace.Config, withUsual bool) {
		if withUsual {
			c.Known = usual
		}
		paced := newPacedControl(c)
		Expect(mean(recovered, 0, 20, nil, paced, throughputUntil(5))).To(BeNumerically(">", 1.2*mean(recovered, 0, 20, nil, newFixed, throughputUntil(5))))
		Expect(mean(recovered, 0, 20, nil, paced, throughputUntil(20))).To(BeNumerically(">", mean(recovered, 0, 20, nil, newFixed, throughputUntil(20))))
		atServer := func(m *play) float64 { return m.meanTime(0, 10, 20, true) }
		Expect(mean(recovered, 0, 20, nil, paced, atServer)).To(BeNumerically("<", 0.5*mean(recovered, 0, 20, nil, newFixed, atServer)))
	},
		Entry("with usual times from an earlier owner", pace.Config{Fresh: true}, true),
		Entry("with nothing known", pace.Config{Fresh: true}, false),
		Entry("with the platform's hint", pace.Config{Cold: 4 * time.Second}, true),
	)

	DescribeTable("leaves a healthy server its slots, which the other controls don't", func(c condition, weights func(float64) [3]float64, share float64) {
		full := mean(c, 0, 20, weights, newFixed, throughputUntil(20))
		Expect(mean(c, 0, 20, weights, newPacedControl(pace.Config{Known: usual}), throughputUntil(20))).To(BeNumerically(">", share*full))
		for _, o := range []func() control{func() control { return &additive{l: 1} }, func() control { return &gradient{l: 1, long: usualTime} }, func() control { return &delay{l: 1} }} {
			Expect(mean(c, 0, 20, weights, o, throughputUntil(20))).To(BeNumerically("<", share*full))
		}
	},
		Entry("that is as fast as ever", condition(warm), nil, 0.98),
		Entry("that turns twice as slow for good", condition(slower), nil, 0.94),
		Entry("that gets heavier statements", condition(warm), func(t float64) [3]float64 {
			if t > 5 {
				return [3]float64{0, 0, 1}
			}
			return [3]float64{1, 1, 1}
		}, 0.97),
		Entry("that a neighbor slows at times", condition(disturbed), nil, 0.9),
	)

	DescribeTable("gives a server that came back its slots although it is slower for good or at times", func(c condition) {
		full := mean(c, 0, 20, nil, newFixed, throughputUntil(20))
		Expect(mean(c, 0, 20, nil, newPacedControl(pace.Config{Fresh: true, Known: usual}), throughputUntil(20))).To(BeNumerically(">", 0.9*full))
	},
		Entry("for good", condition(func(float64, int, int) float64 { return 2 })),
		Entry("at times", condition(disturbed)),
	)

	DescribeTable("doesn't take the wait at a full server for slowness", func(crowd bool) {
		light := newPaced(pace.Config{})
		m := &play{condition: warm, owners: []control{light}, perSecond: 60, random: rand.New(rand.NewPCG(98, 1))}
		m.run(20)
		trials := 0
		for i := range uint64(seeds) {
			p := newPaced(pace.Config{Known: &pace.State{Usual: light.p.State().Usual}})
			p.p.Handle(pace.Busy{}, at(0))
			m := &play{condition: warm, owners: []control{p}, random: rand.New(rand.NewPCG(i, 1))}
			if crowd {
				m.owners[0] = crowded{p}
			}
			m.run(20)
			for _, k := range p.changes {
				if k.Reason == pace.TryFewer {
					trials++
				}
			}
		}
		Expect(trials).To(BeNumerically("<=", seeds), "one trial in twenty seconds")
	},
		Entry("behind the one statement that keeps it busy", false),
		Entry("behind statements of open transactions", true),
	)

	It("begins below an earlier owner's limit, whose last statements still run, and has all slots soon after", func() {
		overlap := func(next func() control) (atServer, full float64) {
			for i := range uint64(seeds) {
				m := &play{condition: warm, owners: []control{during{fixed{}, 0, 0.5}, during{next(), 0.4, 5}}, random: rand.New(rand.NewPCG(i, 1))}
				m.run(5)
				atServer += m.meanTime(0.4, 0.6, 5, true) / seeds
				full += m.reaches(0.4, 185, 5) / seeds
			}
			return atServer, full
		}
		s := *usual
		s.Limit = modelSlots
		a, t := overlap(newPacedControl(pace.Config{Known: &s}))
		b, _ := overlap(newFixed)
		Expect(a).To(BeNumerically("<", 0.9*b))
		Expect(t).To(BeNumerically("<", 1.5))
	})

	It("falls when the server refuses statements or connections, once for each overload", func() {
		p := pace.New(pace.Config{Slots: 8, Connections: 20}, at(0))
		Expect(p.Limit()).To(Equal(8))
		Expect(p.Handle(pace.Busy{}, at(1)).To).To(Equal(4))
		Expect(p.Handle(pace.Busy{}, at(1.05))).To(BeNil())
		p.Handle(pace.Busy{}, at(2))
		p.Handle(pace.Busy{}, at(3))
		Expect(p.Limit()).To(Equal(3))
		p.Handle(pace.OpeningRefused{}, at(1))
		p.Handle(pace.OpeningRefused{}, at(1.05))
		Expect(p.Openings()).To(Equal(4))
		for range 20 {
			p.Handle(pace.Opened{Took: 12 * time.Millisecond}, at(2))
		}
		Expect(p.Openings()).To(Equal(20))
		p.Handle(pace.Opened{Took: 100 * time.Millisecond}, at(3))
		Expect(p.Openings()).To(Equal(14))
	})
})

// drawEvent draws any event.
func drawEvent(t *rapid.T) pace.Event {
	took := time.Duration(rapid.Int64().Draw(t, "took"))
	if rapid.Bool().Draw(t, "usual") {
		took = time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
	}
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		return pace.Busy{}
	case 1:
		return pace.Opened{Took: took}
	case 2:
		return pace.OpeningRefused{}
	default:
		return pace.Answered{Kind: pace.Kind(rapid.IntRange(0, pace.KindCount).Draw(t, "kind")), Took: took, Running: rapid.IntRange(-1, 20).Draw(t, "running")}
	}
}

// drawPace draws a pace with any history, also of clocks that jump, and the time at
// its end. It checks each step.
func drawPace(t *rapid.T) (*pace.Pace, pace.Config, time.Time) {
	c := pace.Config{
		Slots: rapid.IntRange(0, 12).Draw(t, "slots"), Connections: rapid.IntRange(0, 80).Draw(t, "connections"),
		Fresh: rapid.Bool().Draw(t, "fresh"), Cold: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second,
	}
	if rapid.Bool().Draw(t, "known") {
		s := pace.State{Limit: rapid.Int().Draw(t, "limit"), Openings: rapid.Int().Draw(t, "openings"), Level: rapid.Int().Draw(t, "level")}
		for i := range s.Usual {
			s.Usual[i] = rapid.IntRange(-1, 1e9).Draw(t, "usual")
		}
		c.Known = &s
	}
	now := at(0)
	p := pace.New(c, now)
	c.Slots, c.Connections = max(c.Slots, 1), max(c.Connections, 1)
	for range rapid.IntRange(0, 200).Draw(t, "events") {
		step := rapid.IntRange(0, 100).Draw(t, "step")
		if step == 100 {
			now = now.Add(time.Duration(rapid.IntRange(-1e6, 1e6).Draw(t, "jump")) * time.Millisecond)
		}
		now = now.Add(time.Duration(step) * time.Millisecond)
		before, openings := p.Limit(), p.Openings()
		e := drawEvent(t)
		k := p.Handle(e, now)
		checkStep(t, p, c, e, k, before, openings)
	}
	return p, c, now
}

// checkStep checks the reaction to an event.
func checkStep(t *rapid.T, p *pace.Pace, c pace.Config, e pace.Event, k *pace.Change, before, openings int) {
	if l := p.Limit(); l < (c.Slots+2)/3 || l > c.Slots {
		t.Fatalf("limit %d of %d slots", l, c.Slots)
	}
	if o := p.Openings(); o < 1 || o > c.Connections {
		t.Fatalf("%d openings of %d connections", o, c.Connections)
	}
	if k == nil && p.Limit() != before || k != nil && (k.From != before || k.To != p.Limit()) {
		t.Fatalf("change %+v from %d to %d", k, before, p.Limit())
	}
	if k != nil && (math.IsNaN(k.Slowness+k.Level) || math.IsInf(k.Slowness+k.Level, 0)) {
		t.Fatalf("change %+v", k)
	}
	switch e.(type) {
	case pace.Busy:
		if p.Limit() > before {
			t.Fatal("the limit rose after a refusal")
		}
	case pace.OpeningRefused:
		if p.Openings() > openings {
			t.Fatal("the openings rose after a refusal")
		}
	}
	p.State()
}

var _ = Describe("Pace with any history", func() {
	It("keeps its limits in their bounds, and refusals never raise them", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { drawPace(t) })
	})

	It("uses all slots again once answers are alike for a while", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p, c, now := drawPace(t)
			took := time.Duration(rapid.IntRange(1, 200).Draw(t, "took")) * time.Millisecond
			for n := 0; p.Limit() < c.Slots; n++ {
				if n > 4000 {
					t.Fatalf("limit %d of %d slots", p.Limit(), c.Slots)
				}
				now = now.Add(20 * time.Millisecond)
				p.Handle(pace.Answered{Kind: 1, Took: took, Running: p.Limit()}, now)
			}
		})
	})

	It("doesn't stay below what callers ask for while answers are alike", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p, c, now := drawPace(t)
			asked := rapid.IntRange(1, c.Slots).Draw(t, "asked")
			took := time.Duration(rapid.IntRange(1, 200).Draw(t, "took")) * time.Millisecond
			const answers = 6000
			below := 0
			for n := range answers {
				now = now.Add(20 * time.Millisecond)
				p.Handle(pace.Answered{Kind: 1, Took: took, Running: min(p.Limit(), asked)}, now)
				if n >= answers/2 && p.Limit() < asked {
					below++
				}
			}
			if below > answers/20 {
				t.Fatalf("below for %d of %d answers", below, answers/2)
			}
		})
	})

	It("isn't kept below its slots by answers that don't count", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p, c, now := drawPace(t)
			for range 1000 {
				now = now.Add(20 * time.Millisecond)
				p.Handle(pace.Answered{Kind: 1, Took: 20 * time.Millisecond, Running: c.Slots + 5}, now)
			}
			if p.Limit() < c.Slots {
				t.Fatalf("limit %d of %d slots", p.Limit(), c.Slots)
			}
		})
	})

	It("takes any state that it tells", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p, c, now := drawPace(t)
			s := p.State()
			c.Known = &s
			if l := pace.New(c, now).Limit(); l > p.Limit() {
				t.Fatalf("limit %d after %d", l, p.Limit())
			}
		})
	})
})
