package pressure_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/pressure"
)

func TestPressure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pressure")
}

var start = time.Unix(1000, 0)

type instant struct {
	at time.Duration
	do func()
}

type timeline []instant

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(instant)) }
func (t *timeline) Pop() any {
	o := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return o
}

const (
	entries = 6
	oneWay  = 15 * time.Millisecond
	slots   = 5
)

// source is a stream of requests of one rank over all entries.
type source struct {
	rank      bundle.Rank
	perSecond float64
	work      time.Duration
	limit     time.Duration
	from, to  time.Duration
}

// player plays sources at entries that send to one server, in virtual time.
type player struct {
	random *rand.Rand
	at     time.Duration
	steps  timeline
	q      *admission.Queue
	gauge  pressure.Gauge
	tables [entries]*pressure.Table
	on     bool
	// cutFrom and cutTo bound the time in which no answer reaches the entries: the
	// owner is frozen or cut off.
	cutFrom, cutTo time.Duration
	ids            uint64
	started        map[uint64]func()
	refused        map[uint64]func(time.Duration)

	asked, served [bundle.RankCount]int
	// crossed counts refusals that cost the way to the owner, early those that the
	// entry made.
	crossed, early [bundle.RankCount]int
	busy           time.Duration
	// levels are the background levels each 50 ms.
	levels []float64
}

func newPlayer(on bool, seed uint64) *player {
	p := &player{random: rand.New(rand.NewPCG(seed, 7)), on: on, started: map[uint64]func(){}, refused: map[uint64]func(time.Duration){}}
	c := admission.Config{Slots: slots, Shares: [bundle.RankCount]float64{0, 0.1, 0.1}, EarlyRefusal: true}
	p.q = admission.New(c)
	for i := range p.tables {
		p.tables[i] = pressure.NewTable()
	}
	return p
}

func (p *player) now() time.Time { return start.Add(p.at) }
func (p *player) schedule(after time.Duration, do func()) {
	heap.Push(&p.steps, instant{p.at + after, do})
}

func (p *player) handle(e admission.Event) {
	for _, a := range p.q.Handle(e, p.now()) {
		switch a := a.(type) {
		case admission.Start:
			p.started[a.ID]()
		case admission.Refuse:
			p.refused[a.ID](a.RetryAfter)
		}
	}
}

func (p *player) add(s source) {
	for t := s.from; t < s.to; t += time.Duration(p.random.ExpFloat64() / s.perSecond * float64(time.Second)) {
		work := time.Duration(float64(s.work) * math.Exp(0.7*p.random.NormFloat64()-0.25))
		chance, e := p.random.Float64(), p.random.IntN(entries)
		p.schedule(t, func() {
			p.asked[s.rank]++
			p.arrive(s, p.tables[e], work, chance, 2)
		})
	}
}

// arrive handles a request at an entry. Its caller returns up to the given number of
// times if it is refused, when it is told to.
func (p *player) arrive(s source, t *pressure.Table, work time.Duration, chance float64, returns int) {
	comeBack := func(after time.Duration) {
		if returns > 0 {
			p.schedule(after, func() { p.arrive(s, t, work, p.random.Float64(), returns-1) })
		}
	}
	if p.on {
		if v := t.Decide(pressure.Request{Group: "g", Rank: s.rank, Chance: chance, Jitter: p.random.Float64()}, p.now()); v.Refuse {
			p.early[s.rank]++
			comeBack(v.RetryAfter)
			return
		}
	}
	until := p.at + s.limit
	answer := func(count *int, do func()) {
		o := pressure.State{Levels: p.gauge.Levels(), Returns: p.q.Returns(p.now())}
		if p.at >= p.cutFrom && p.at < p.cutTo {
			return
		}
		p.schedule(oneWay, func() {
			if p.at <= until {
				*count++
			}
			do()
			t.Observe("g", o, p.now())
		})
	}
	p.schedule(oneWay, func() {
		p.serve(s, until, work, func() { answer(&p.served[s.rank], func() {}) }, func(after time.Duration) {
			answer(&p.crossed[s.rank], func() { comeBack(after) })
		})
	})
}

// serve handles a request at the owner.
func (p *player) serve(s source, until, work time.Duration, done func(), refused func(time.Duration)) {
	p.ids++
	id := p.ids
	p.gauge.Arrived(s.rank)
	p.started[id] = func() {
		p.gauge.Started(s.rank)
		p.schedule(work, func() {
			p.busy += work
			p.handle(admission.Finished{ID: id})
			done()
		})
	}
	caller := fmt.Sprint(id % 40)
	p.refused[id] = func(after time.Duration) {
		p.gauge.Refused(s.rank, caller)
		refused(after)
	}
	p.handle(admission.Arrived{ID: id, Rank: s.rank, Caller: caller, Deadline: start.Add(until), Jitter: p.random.Float64()})
}

func (p *player) run(to time.Duration) {
	for t := time.Duration(0); t < to; t += 50 * time.Millisecond {
		p.schedule(t, func() {
			p.handle(admission.Ticked{})
			if p.on && p.gauge.Due(p.now()) {
				for r := range bundle.Rank(bundle.RankCount) {
					p.handle(admission.RefusedElsewhere{Rank: r, Count: p.gauge.RefusedByEntries(r)})
				}
				p.gauge.Update(p.q.Stalled(p.now()), p.now())
			}
			p.levels = append(p.levels, p.gauge.Levels()[bundle.Background])
		})
	}
	for len(p.steps) > 0 {
		i := heap.Pop(&p.steps).(instant)
		p.at = i.at
		i.do()
	}
}

// deviation returns the mean and the standard deviation of the levels between two
// times.
func (p *player) deviation(from, to time.Duration) (mean, deviation float64) {
	l := p.levels[from/(50*time.Millisecond) : to/(50*time.Millisecond)]
	for _, x := range l {
		mean += x / float64(len(l))
	}
	for _, x := range l {
		deviation += (x - mean) * (x - mean) / float64(len(l))
	}
	return mean, math.Sqrt(deviation)
}

// playBurst plays a server that is used to 0.6, and a burst of background work from
// 1 s to 7 s that makes 1.8 of it.
func playBurst(on bool, seed uint64) *player {
	p := newPlayer(on, seed)
	p.add(source{rank: bundle.Urgent, perSecond: 120, work: 5 * time.Millisecond, limit: 800 * time.Millisecond, to: 9 * time.Second})
	p.add(source{rank: bundle.Routine, perSecond: 40, work: 22 * time.Millisecond, limit: 1500 * time.Millisecond, to: 9 * time.Second})
	p.add(source{rank: bundle.Background, perSecond: 200, work: 7 * time.Millisecond, limit: 800 * time.Millisecond, to: 9 * time.Second})
	p.add(source{rank: bundle.Background, perSecond: 850, work: 7 * time.Millisecond, limit: 800 * time.Millisecond, from: time.Second, to: 7 * time.Second})
	return p
}

var _ = Describe("under pressure", func() {
	It("entries refuse background work before it is sent, and as much is served in every rank", func() {
		for seed := range uint64(3) {
			with, without := playBurst(true, seed), playBurst(false, seed)
			with.run(15 * time.Second)
			without.run(15 * time.Second)
			mean, deviation := with.deviation(3*time.Second, 7*time.Second)
			AddReportEntry(fmt.Sprintf("seed %d: asked %v served %v early %v crossed %v, level %.2f +- %.2f, busy %v; off served %v crossed %v busy %v", seed,
				with.asked, with.served, with.early, with.crossed, mean, deviation, with.busy, without.served, without.crossed, without.busy))
			Expect(with.crossed[bundle.Background]).To(BeNumerically("<", without.crossed[bundle.Background]/2))
			for r := range with.served {
				Expect(float64(with.served[r])).To(BeNumerically(">=", 0.98*float64(without.served[r])), "rank %d", r)
			}
			Expect(with.early[bundle.Urgent] + with.early[bundle.Routine]).To(BeZero())
			Expect(deviation).To(BeNumerically("<", 0.15), "the level swings")
			Expect(with.levels[len(with.levels)-1]).To(BeZero(), "the level falls after the burst")
		}
	})

	It("entries refuse no more because a server has failed", func() {
		var g pressure.Gauge
		for i := range 20 {
			for j := range 10 {
				g.Arrived(bundle.Background)
				g.Refused(bundle.Background, fmt.Sprint(j))
			}
			g.Update(i >= 10, start.Add(time.Duration(i)*time.Second))
			if i == 9 {
				Expect(g.Levels()[bundle.Background]).To(BeNumerically(">", 0.5))
			}
		}
		Expect(g.Levels()[bundle.Background]).To(BeNumerically("<", 0.05))
	})

	It("entries go on by asking while the owner doesn't answer, and refuse no more after a second", func() {
		p := playBurst(true, 1)
		p.cutFrom, p.cutTo = 3*time.Second, 10*time.Second
		p.run(4200 * time.Millisecond)
		for _, t := range p.tables {
			for r := range bundle.Rank(bundle.RankCount) {
				Expect(t.Level("g", r, start.Add(4200*time.Millisecond))).To(BeZero())
			}
		}
	})

	It("a level falls while no requests arrive, and isn't told to the next one", func() {
		var g pressure.Gauge
		for i := range 20 {
			for j := range 10 {
				g.Arrived(bundle.Background)
				g.Refused(bundle.Background, fmt.Sprint(j))
			}
			g.Update(false, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		Expect(g.Levels()[bundle.Background]).To(BeNumerically(">", 0.5))
		g.Arrived(bundle.Background)
		g.Update(false, start.Add(5*time.Second))
		Expect(g.Levels().IsZero()).To(BeTrue())
	})

	It("the levels of groups that have gone aren't kept", func() {
		t, s := pressure.NewTable(), pressure.State{Levels: pressure.Levels{bundle.Background: 0.5}}
		t.Observe("g", s, start)
		t.Observe("h", s, start.Add(2*time.Second))
		Expect(t.Level("g", bundle.Background, start)).To(BeZero())
		Expect(t.Level("h", bundle.Background, start.Add(2*time.Second))).To(BeEquivalentTo(0.5))
	})
})
