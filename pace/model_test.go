package pace_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/pace"
)

// The modeled server's slots and the mean times of its kinds of statements.
const modelSlots = 5

var modelTimes = [3]float64{0.007, 0.020, 0.034}

// condition returns the factor by which a statement takes longer that starts at t
// seconds while n statements run, after the server has run served ones.
type condition func(t float64, n, served int) float64

// control decides an owner's limit.
type control interface {
	limit(t float64) int
	answered(a pace.Answered, t float64)
}

// paced uses a pace.Pace as a pool does.
type paced struct {
	p       *pace.Pace
	changes []pace.Change
}

func newPaced(c pace.Config) *paced {
	c.Slots, c.Connections = modelSlots, 20
	return &paced{p: pace.New(c, at(0))}
}

func at(t float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(t * 1e9)) }

func (p *paced) limit(float64) int {
	if n := p.p.Limit(); n < modelSlots {
		return n
	}
	return modelSlots + 1
}

func (p *paced) answered(a pace.Answered, t float64) {
	if c := p.p.Handle(a, at(t)); c != nil {
		p.changes = append(p.changes, *c)
	}
}

// crowded is an owner that also sends four statements of open transactions, which the
// limit doesn't bound, for half of each second.
type crowded struct{ *paced }

func (c crowded) limit(t float64) int {
	if math.Mod(t, 1) < 0.5 {
		return c.paced.limit(t) + 4
	}
	return c.paced.limit(t)
}

// during is an owner that sends statements between two times.
type during struct {
	control
	from, to float64
}

func (d during) limit(t float64) int {
	if t < d.from || t >= d.to {
		return 0
	}
	return d.control.limit(t)
}

// call is a statement on its way.
type call struct {
	owner, kind, running   int
	arrived, sent, endedAt float64
}

type calls []*call

func (l calls) Len() int           { return len(l) }
func (l calls) Less(i, j int) bool { return l[i].endedAt < l[j].endedAt }
func (l calls) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *calls) Push(x any)        { *l = append(*l, x.(*call)) }
func (l *calls) Pop() any {
	o := *l
	x := o[len(o)-1]
	*l = o[:len(o)-1]
	return x
}

// play is one run of the model: owners with queues of their own send statements to
// one server, which runs modelSlots at a time and queues the rest.
type play struct {
	condition condition
	owners    []control
	// perSecond is the rate of statements of each owner; zero keeps its queue full.
	perSecond float64
	// weights are the weights of the kinds at a time; nil means equal ones.
	weights func(t float64) [3]float64
	random  *rand.Rand

	queues   [][]*call
	inFlight []int
	atServer []*call
	running  calls
	served   []*call
}

// run plays for the given number of seconds.
func (m *play) run(seconds float64) {
	m.queues, m.inFlight = make([][]*call, len(m.owners)), make([]int, len(m.owners))
	next := make([]float64, len(m.owners))
	for t := 0.0; t < seconds; {
		for i := range m.owners {
			for m.perSecond > 0 && next[i] <= t {
				m.queues[i] = append(m.queues[i], &call{owner: i, arrived: next[i]})
				next[i] += m.random.ExpFloat64() / m.perSecond
			}
			m.send(i, t)
		}
		m.start(t)
		n := math.Inf(1)
		if m.perSecond > 0 {
			for _, x := range next {
				n = min(n, x)
			}
		}
		if len(m.running) > 0 && m.running[0].endedAt <= n {
			t = m.running[0].endedAt
			m.end(t)
		} else {
			t = n
		}
	}
}

// send sends queued statements of an owner up to its limit.
func (m *play) send(i int, t float64) {
	for m.inFlight[i] < m.owners[i].limit(t) && (m.perSecond == 0 || len(m.queues[i]) > 0) {
		c := &call{owner: i, arrived: t}
		if m.perSecond > 0 {
			c, m.queues[i] = m.queues[i][0], m.queues[i][1:]
		}
		m.inFlight[i]++
		c.kind, c.sent, c.running = m.kind(t), t, m.inFlight[i]
		m.atServer = append(m.atServer, c)
	}
}

func (m *play) kind(t float64) int {
	w := [3]float64{1, 1, 1}
	if m.weights != nil {
		w = m.weights(t)
	}
	x := m.random.Float64() * (w[0] + w[1] + w[2])
	switch {
	case x < w[0]:
		return 0
	case x < w[0]+w[1]:
		return 1
	default:
		return 2
	}
}

// start starts statements at the server.
func (m *play) start(t float64) {
	for len(m.running) < modelSlots && len(m.atServer) > 0 {
		c := m.atServer[0]
		m.atServer = m.atServer[1:]
		d := modelTimes[c.kind] * math.Exp(0.6*m.random.NormFloat64()-0.18)
		if m.random.Float64() < 0.03 {
			d *= 7
		}
		c.endedAt = t + d*m.condition(t, len(m.running)+1, len(m.served))
		heap.Push(&m.running, c)
	}
}

func (m *play) end(t float64) {
	c := heap.Pop(&m.running).(*call)
	m.inFlight[c.owner]--
	m.served = append(m.served, c)
	m.owners[c.owner].answered(pace.Answered{Kind: pace.Kind(c.kind), Took: time.Duration((t - c.sent) * 1e9), Running: c.running}, t)
}

// throughput returns the statements a second that ended between two times.
func (m *play) throughput(from, to float64) float64 {
	n := 0
	for _, c := range m.served {
		if c.endedAt >= from && c.endedAt < to {
			n++
		}
	}
	return float64(n) / (to - from)
}

// meanTime returns the mean time of the statements that arrived between two times,
// for callers or at the server. Statements that haven't ended count until end.
func (m *play) meanTime(from, to, end float64, atServer bool) float64 {
	s, n := 0.0, 0
	for _, c := range m.served {
		switch {
		case c.arrived < from || c.arrived >= to:
		case atServer:
			s, n = s+c.endedAt-c.sent, n+1
		default:
			s, n = s+c.endedAt-c.arrived, n+1
		}
	}
	for _, q := range m.queues {
		for _, c := range q {
			if !atServer && c.arrived >= from && c.arrived < to {
				s, n = s+end-c.arrived, n+1
			}
		}
	}
	return s / float64(max(n, 1))
}

// reaches returns the first time after from at which the throughput of a second is at
// least the given one.
func (m *play) reaches(from, perSecond, end float64) float64 {
	for t := from; t+1 <= end; t += 0.1 {
		if m.throughput(t, t+1) >= perSecond {
			return t
		}
	}
	return end
}
