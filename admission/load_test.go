package admission_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// source is a stream of requests of one team in a played load.
type source struct {
	team      string
	weight    float64
	rank      bundle.Rank
	perSecond float64
	work      time.Duration
	limit     time.Duration
	sessions  uint64
	// retries is how often a caller comes back after a refusal, when it was asked to.
	retries  int
	from, to time.Duration
}

// tally is what the callers of a team got in one rank.
type tally struct {
	asked, served int
	// refusedLate counts the requests that a member refused after over half of their
	// limit.
	refusedLate int
}

type tallyKey struct {
	team string
	rank bundle.Rank
}

// instant is a scheduled step of a played load.
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

// player plays sources against the queue of a member in virtual time.
type player struct {
	q *admission.Queue
	// other is the queue of a member that takes what the first one refuses in time;
	// it may be nil.
	other   *admission.Queue
	random  *rand.Rand
	at      time.Duration
	steps   timeline
	started map[uint64]func()
	refused map[uint64]func(retryAfter time.Duration)
	result  map[tallyKey]*tally
	lastID  uint64
	// stuckFrom and stuckTo bound the time in which the backend server doesn't
	// answer; requests that run then take until their deadline.
	stuckFrom, stuckTo time.Duration
	// lost is the share of answers that are lost; such requests run until their deadline,
	// or until the queue reports that they are overdue.
	lost float64
	// overdue ends a running request that is overdue, by ID.
	overdue map[uint64]func()
	// sessionsOnly leaves the teams out of the requests.
	sessionsOnly bool
	// busy is the slot time that was used.
	busy time.Duration
}

func newPlayer(c admission.Config, seed uint64) *player {
	return &player{
		q: admission.New(c), random: rand.New(rand.NewPCG(seed, 1)),
		started: map[uint64]func(){}, overdue: map[uint64]func(){}, refused: map[uint64]func(time.Duration){}, result: map[tallyKey]*tally{},
	}
}

func (p *player) schedule(at time.Duration, do func()) { heap.Push(&p.steps, instant{at, do}) }

func (p *player) handle(q *admission.Queue, e admission.Event) {
	for _, a := range q.Handle(e, start.Add(p.at)) {
		switch a := a.(type) {
		case admission.Start:
			p.started[a.ID]()
		case admission.Refuse:
			p.refused[a.ID](a.RetryAfter)
		case admission.Overdue:
			p.schedule(p.at, p.overdue[a.ID])
		}
	}
}

// defaultSessions is the number of sessions of a source that names none.
const defaultSessions = 20

// add schedules the requests of a source.
func (p *player) add(s source) {
	k := tallyKey{s.team, s.rank}
	if p.result[k] == nil {
		p.result[k] = &tally{}
	}
	for t := s.from; ; {
		t += time.Duration(p.random.ExpFloat64() / s.perSecond * float64(time.Second))
		if t >= s.to {
			return
		}
		work := time.Duration(float64(s.work) * math.Exp(0.7*p.random.NormFloat64()-0.25))
		p.schedule(t, func() {
			p.result[k].asked++
			p.arrive(s, p.result[k], work)
		})
	}
}

// arrive sends a request to the member, and if that refuses it in time, to the other
// one.
func (p *player) arrive(s source, o *tally, work time.Duration) {
	p.lastID++
	p.send(p.q, p.lastID, p.at+s.limit, s, o, work)
}

func (p *player) send(q *admission.Queue, id uint64, until time.Duration, s source, o *tally, work time.Duration) {
	sent := p.at
	p.started[id] = func() {
		began, takes := p.at, work
		if q == p.q && p.at+takes > p.stuckFrom && p.at < p.stuckTo {
			takes = until - p.at
		}
		if p.random.Float64() < p.lost {
			takes = until - p.at
		}
		ended := false
		p.overdue[id] = func() {
			if ended {
				return
			}
			ended = true
			p.handle(q, admission.Finished{ID: id})
			p.lastID++
			p.send(q, p.lastID, until, s, o, work)
		}
		p.schedule(p.at+takes, func() {
			if ended {
				return
			}
			ended = true
			p.busy += p.at - began
			if p.at <= until && takes == work {
				o.served++
			}
			p.handle(q, admission.Finished{ID: id})
		})
	}
	p.refused[id] = func(retryAfter time.Duration) {
		if p.at-sent > s.limit/2 {
			o.refusedLate++
		}
		if q == p.q && p.other != nil && p.at < until {
			p.schedule(p.at, func() { p.send(p.other, id, until, s, o, work) })
			return
		}
		if s.retries > 0 {
			s.retries--
			p.schedule(p.at+retryAfter, func() { p.arrive(s, o, work) })
		}
	}
	a := admission.Arrived{
		ID: id, Rank: s.rank, Caller: fmt.Sprint(s.team, "/", id%cmp.Or(s.sessions, defaultSessions)), Team: s.team, Weight: s.weight, Deadline: start.Add(until), Jitter: p.random.Float64(), Elsewhere: p.other != nil && q == p.q,
	}
	if p.sessionsOnly {
		a.Team, a.Weight = "", 0
	}
	p.handle(q, a)
}

// run plays all sources; the queue is ticked each 20 ms, as waiting requests do.
func (p *player) run(to time.Duration) map[tallyKey]*tally {
	for t := time.Duration(0); t < to; t += 20 * time.Millisecond {
		p.schedule(t, func() {
			for _, q := range []*admission.Queue{p.q, p.other} {
				if q != nil {
					p.handle(q, admission.Ticked{})
				}
			}
		})
	}
	for len(p.steps) > 0 {
		i := heap.Pop(&p.steps).(instant)
		p.at = i.at
		i.do()
	}
	return p.result
}

// share returns the share of a team's requests that were served, over all ranks or in
// one.
func share(m map[tallyKey]*tally, match func(tallyKey) bool) float64 {
	asked, served := 0, 0
	for k, t := range m {
		if match(k) {
			asked, served = asked+t.asked, served+t.served
		}
	}
	return float64(served) / float64(max(asked, 1))
}
