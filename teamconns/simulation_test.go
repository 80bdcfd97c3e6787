package teamconns_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/teamconns"
)

const (
	memberSlots       = 4
	memberConnections = 68
	openingTime       = 12 * time.Millisecond
	statementTime     = 9 * time.Millisecond
	pauseTime         = 300 * time.Millisecond
	transactionShare  = 0.12
	teamCount         = 85
	zipfExponent      = 1.2
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}

// simulation plays the requests of many teams at one member. As many requests as the
// member has slots, and one more, have a place; the others wait for one.
type simulation struct {
	random *rand.Rand
	set    *teamconns.Set
	now    time.Time
	queue  simQueue
	seq    int
	// jobs wait for one of the member's slots, of which free are free.
	jobs []job
	free int
	// places is the number of free places, line the requests that wait for one.
	places int
	line   []*simRequest
	// pending holds the requests at the set by ID; teams the team of each connection.
	pending map[uint64]*simRequest
	teams   map[uint64]int
	// others is the number of connections that others hold at the member.
	others  int
	weights []float64
	ticks   map[time.Time]bool
	result  simResult
	problem string
}

// job takes a slot for a time.
type job struct {
	d    time.Duration
	done func()
}

type simRequest struct {
	id      uint64
	team    int
	arrived time.Time
	yielded bool
	// transaction keeps the connection for a pause after the first statement.
	transaction  bool
	first, later time.Duration
	pause        time.Duration
}

// simResult is what callers got.
type simResult struct {
	requests, openings int
	// openingTime is the time that slots were taken by openings.
	openingTime time.Duration
	// small and all are the waits of the small teams' and of all requests until their
	// statement was sent.
	small, all []time.Duration
}

func newSimulation(seed uint64, s *teamconns.Set) *simulation {
	m := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), set: s, now: time.Unix(1000, 0), free: memberSlots, places: memberSlots + 1,
		pending: map[uint64]*simRequest{}, teams: map[uint64]int{}, ticks: map[time.Time]bool{},
	}
	for i := range teamCount {
		m.weights = append(m.weights, math.Pow(float64(i+1), -zipfExponent))
	}
	return m
}

func (m *simulation) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, simEvent{m.now.Add(d), m.seq, f})
}

func (m *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// team draws a team by its weight.
func (m *simulation) team() int {
	sum := 0.0
	for _, w := range m.weights {
		sum += w
	}
	x := m.random.Float64() * sum
	for i, w := range m.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(m.weights) - 1
}

// load sends rate requests a second of teams that pick returns, from a time to another.
func (m *simulation) load(from, to time.Duration, rate float64, pick func() int) {
	var next func()
	end := m.now.Add(to)
	next = func() {
		if m.now.After(end) {
			return
		}
		m.arrive(pick())
		m.after(m.exponential(time.Duration(float64(time.Second)/rate)), next)
	}
	m.after(from, next)
}

func (m *simulation) run(d time.Duration) simResult {
	end := m.now.Add(d)
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = e.at
		e.run()
	}
	return m.result
}

func (m *simulation) arrive(team int) {
	m.seq++
	m.result.requests++
	m.line = append(m.line, &simRequest{
		id: uint64(m.seq), team: team, arrived: m.now, transaction: m.random.Float64() < transactionShare,
		first: m.exponential(statementTime), later: m.exponential(statementTime), pause: m.exponential(pauseTime),
	})
	m.admit()
}

func (m *simulation) admit() {
	for m.places > 0 && len(m.line) > 0 {
		r := m.line[0]
		m.line = m.line[1:]
		m.places--
		m.pending[r.id] = r
		m.handle(teamconns.Requested{ID: r.id, Team: strconv.Itoa(r.team)})
	}
}

func (m *simulation) leave() {
	m.places++
	m.admit()
}

func (m *simulation) handle(e teamconns.Event) {
	for _, a := range m.set.Handle(e, m.now) {
		switch a := a.(type) {
		case teamconns.Use:
			m.start(m.pending[a.Request], a.Conn)
		case teamconns.Open:
			m.open(m.pending[a.Request], a.Conn)
		case teamconns.Yield:
			m.pending[a.Request].yielded = true
			m.after(0, m.leave)
		case teamconns.Close:
			delete(m.teams, a.Conn)
		}
	}
	if m.set.Len() > memberConnections {
		m.problem = "too many connections"
	}
	if t, ok := m.set.NextTick(m.now); ok && !m.ticks[t] {
		m.ticks[t] = true
		m.after(t.Sub(m.now), func() { m.handle(teamconns.Ticked{}) })
	}
}

func (m *simulation) open(r *simRequest, c uint64) {
	if len(m.teams)+m.others >= memberConnections {
		m.after(time.Millisecond, func() { m.refuse(r, c) })
		return
	}
	m.teams[c] = r.team
	m.result.openings++
	m.result.openingTime += openingTime
	t := m.now
	m.takeSlot(openingTime, func() {
		m.handle(teamconns.Opened{Conn: c, Took: m.now.Sub(t)})
		m.start(r, c)
	})
}

// refuse ends an opening because the member is full. The request has a place again and
// waits for another connection.
func (m *simulation) refuse(r *simRequest, c uint64) {
	if r.yielded {
		r.yielded = false
		m.places--
	}
	delete(m.pending, r.id)
	m.seq++
	r.id = uint64(m.seq)
	m.pending[r.id] = r
	m.handle(teamconns.OpeningFailed{Conn: c, Full: true})
	m.handle(teamconns.Requested{ID: r.id, Team: strconv.Itoa(r.team)})
}

// start runs a request on a connection.
func (m *simulation) start(r *simRequest, c uint64) {
	if m.teams[c] != r.team {
		m.problem = "a connection of another team"
	}
	delete(m.pending, r.id)
	d := m.now.Sub(r.arrived)
	m.result.all = append(m.result.all, d)
	if r.team >= teamCount/4 {
		m.result.small = append(m.result.small, d)
	}
	m.takeSlot(r.first, func() {
		if !r.yielded {
			m.leave()
		}
		if !r.transaction {
			m.handle(teamconns.Released{Conn: c})
			return
		}
		m.handle(teamconns.Kept{Conn: c})
		m.after(r.pause, func() {
			m.takeSlot(r.later, func() { m.handle(teamconns.Released{Conn: c}) })
		})
	})
}

// takeSlot runs a job once the member has a free slot.
func (m *simulation) takeSlot(d time.Duration, done func()) {
	m.jobs = append(m.jobs, job{d, done})
	m.startJobs()
}

func (m *simulation) startJobs() {
	for m.free > 0 && len(m.jobs) > 0 {
		j := m.jobs[0]
		m.jobs = m.jobs[1:]
		m.free--
		m.after(j.d, func() {
			m.free++
			j.done()
			m.startJobs()
		})
	}
}

func mean(l []time.Duration) time.Duration {
	var s time.Duration
	for _, d := range l {
		s += d
	}
	return s / time.Duration(max(len(l), 1))
}

func percentile(l []time.Duration, p float64) time.Duration {
	l = slices.Sorted(slices.Values(l))
	return l[int(p*float64(len(l)-1))]
}
