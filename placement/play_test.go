package placement_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/placement"
)

// playedMember is a member with slots that become free at times of their own.
type playedMember struct {
	free []time.Time
	slow float64
	// lag is the time from a commit to its application.
	lag func(now time.Time) time.Duration
	rtt time.Duration
}

// wait returns how long a read that arrives now waits for a slot.
func (m *playedMember) wait(now time.Time) time.Duration {
	return max(slices.MinFunc(m.free, time.Time.Compare).Sub(now), 0)
}

// run returns when a read that is ready at the given time has been answered.
func (m *playedMember) run(ready time.Time, work time.Duration) time.Time {
	i := 0
	for j := range m.free {
		if m.free[j].Before(m.free[i]) {
			i = j
		}
	}
	if m.free[i].Before(ready) {
		m.free[i] = ready
	}
	m.free[i] = m.free[i].Add(time.Duration(m.slow * float64(work)))
	return m.free[i]
}

// entries is the number of daemons that callers use.
const entries = 18

// playedEntry is what one daemon knows.
type playedEntry struct {
	reports  []placement.Report
	asked    time.Time
	inFlight []int
}

// played is what callers got.
type played struct {
	late, bounced, reads int
	mean                 time.Duration
}

// play lets sessions write at the primary of a group and read their writes, in waves
// of demand, through daemons that hear of all members once a second and of the chosen
// one with each answer. Without aware they know queues and places only: they go to the
// cheapest member, and to the next one when that lacks the write.
func play(seed uint64, members []*playedMember, perSecond float64, aware bool) played {
	r, jitter := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var l [entries]playedEntry
	services := make([]placement.Service, len(members))
	pending := map[time.Time]func(){}
	var o played
	var total time.Duration
	for t := time.Duration(0); t < 20*time.Second; {
		wave := 1.0
		if t%(13*time.Second) < 6500*ms {
			wave = 1.55
		}
		t += time.Duration(r.ExpFloat64() * float64(time.Second) / perSecond / wave)
		now := start.Add(t)
		for _, at := range slices.SortedFunc(maps.Keys(pending), time.Time.Compare) {
			if at.After(now) {
				break
			}
			pending[at]()
			delete(pending, at)
		}
		e := &l[r.IntN(entries)]
		if now.Sub(e.asked) > time.Second {
			e.hear(members, services, now)
		}
		age := time.Duration(r.ExpFloat64() * float64(200*ms))
		work := time.Duration(r.ExpFloat64() * float64(20*ms))
		i, served, answered, bounces := e.readOwnWrite(jitter, members, now, age, work, aware)
		e.inFlight[i]++
		slot := time.Duration(members[i].slow * float64(work))
		pending[served] = func() { services[i].Observe(slot, false, served) }
		pending[answered] = func() {
			e.inFlight[i]--
			e.reports[i] = e.reports[i].Answered(members[i].wait(answered), pos(1), answered)
		}
		o.reads++
		o.bounced += bounces
		took := answered.Sub(now)
		total += took
		if took > 300*ms {
			o.late++
		}
	}
	o.mean = total / time.Duration(o.reads)
	return o
}

// hear gives the daemon reports on all members.
func (e *playedEntry) hear(members []*playedMember, services []placement.Service, now time.Time) {
	if e.reports == nil {
		e.reports, e.inFlight = make([]placement.Report, len(members)), make([]int, len(members))
	}
	for i, m := range members {
		s := &services[i]
		e.reports[i] = placement.Report{
			Position: pos(1), Lag: m.lag(now), Wait: m.wait(now), SlotTime: s.SlotTime, Busy: s.Running(now) / float64(len(m.free)), At: now,
		}.WithDefaults(true)
	}
	e.asked = now
}

// readOwnWrite plays a read of a session that has written age ago. It returns the
// member, when that had run the read, when the caller has its answer, and how often the
// read came back without one.
func (e *playedEntry) readOwnWrite(jitter *rand.Rand, members []*playedMember, now time.Time, age, work time.Duration, aware bool) (i int, served, answered time.Time, bounces int) {
	q := placement.Read{Floor: pos(2), FloorAge: age, MaxAge: 2500 * ms, Left: time.Second}
	tried := map[int]bool{}
	for at := now; ; bounces++ {
		var l []placement.Candidate
		var index []int
		for i, m := range members {
			if tried[i] {
				continue
			}
			c := placement.Candidate{Primary: i == 0, Slots: len(m.free), RTT: m.rtt, InFlight: e.inFlight[i], Share: 1, Report: e.reports[i]}
			if !aware {
				c.Report = placement.Report{Position: pos(2), Wait: c.Report.Wait, SlotTime: 25 * ms, At: c.Report.At}
			}
			l, index = append(l, c), append(index, i)
		}
		c, _ := placement.Choose(q, l, at, jitter.Float64)
		if !aware {
			c.Patience = 0
		}
		i = index[c.Index]
		m := members[i]
		tried[i] = true
		ready, applied := at.Add(m.rtt/2), now.Add(m.lag(now)-age)
		if i != 0 && applied.Sub(ready) > c.Patience {
			at = at.Add(m.rtt + c.Patience)
			continue
		}
		if i != 0 && ready.Before(applied) {
			ready = applied
		}
		served = m.run(ready, work)
		return i, served, served.Add(m.rtt / 2), bounces
	}
}

func newMember(rtt time.Duration, slow float64, lag func(time.Time) time.Duration) *playedMember {
	return &playedMember{free: make([]time.Time, 5), slow: slow, lag: lag, rtt: rtt}
}

func noLag(time.Time) time.Duration { return 0 }

var _ = Describe("Reads of a session's own writes", func() {
	DescribeTable("are answered sooner and return less often than without the members' positions",
		func(perSecond float64, members func() []*playedMember) {
			for seed := uint64(1); seed <= 3; seed++ {
				on, off := play(seed, members(), perSecond, true), play(seed, members(), perSecond, false)
				AddReportEntry("play", map[string]any{"seed": seed, "on": on, "off": off})
				Expect(on.mean).To(BeNumerically("<", off.mean), "seed %d", seed)
				Expect(on.late).To(BeNumerically("<=", off.late), "seed %d", seed)
				Expect(on.bounced).To(BeNumerically("<", off.bounced/4), "seed %d", seed)
				Expect(on.late).To(BeNumerically("<", on.reads/50), "seed %d", seed)
			}
		},
		Entry("while replicas lag by 150 ms and the primary is in the other region", 260.0, func() []*playedMember {
			lag := func(time.Time) time.Duration { return 150 * ms }
			return []*playedMember{newMember(60*ms, 1, noLag), newMember(4*ms, 1, lag), newMember(60*ms, 1, lag)}
		}),
		Entry("while one replica receives nothing for seconds", 240.0, func() []*playedMember {
			deaf := func(now time.Time) time.Duration {
				if d := now.Sub(start); d > 5*time.Second && d < 11*time.Second {
					return d
				}
				return 150 * ms
			}
			lag := func(time.Time) time.Duration { return 300 * ms }
			return []*playedMember{newMember(4*ms, 1, noLag), newMember(ms, 1, deaf), newMember(60*ms, 1, lag)}
		}),
		Entry("while the primary is slow", 70.0, func() []*playedMember {
			lag := func(time.Time) time.Duration { return 150 * ms }
			return []*playedMember{newMember(ms, 4, noLag), newMember(ms, 1, lag), newMember(4*ms, 1, lag)}
		}),
	)
})
