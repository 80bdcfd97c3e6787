package model

import (
	"sort"
	"strings"
	"time"
)

// One-way delays of the network.
const (
	localDelay  = 200 * time.Microsecond
	domainDelay = 1500 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	callerDelay = 3 * time.Millisecond
)

// Timing of checks of connections between daemons.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
)

// answerParts is the number of messages that carry an answer.
const answerParts = 2

// Noise is what the network does to messages besides delaying them.
type Noise struct {
	// DuplicateProbability and Late are probabilities from 0 to 1.
	DuplicateProbability float64
	DelayProbability     float64
	// MaxDelay bounds the added delay of late messages.
	MaxDelay time.Duration
}

// link is a connection from one node to another.
type link struct {
	// silent tells that its messages vanish.
	silent bool
	// life is that of the other end when the connection was opened.
	life int
	// waiting are the calls whose answers are yet to come, oldest first.
	waiting []*call
}

// call is a request with its answer.
type call struct {
	from, to *Node
	// use tells connections between the same nodes apart.
	use     string
	timeout time.Duration
	// handle runs at to; reply may be called once, at any time.
	handle func(reply func(any))
	// done gets the answer, or false if none came.
	done func(v any, ok bool)
	// late is told of answers after the first or after the time-out; nil if
	// they are dropped.
	late func(v any)
	// caller tells that the answer belongs to a caller's request.
	caller bool
	// probed tells that the connection is checked while the call lasts.
	probed bool

	l *link
	// life is the caller's life when it asked.
	life  int
	over  bool
	parts [answerParts]bool
}

func (w *World) delay(a, b *Node) time.Duration {
	d := regionDelay
	switch {
	case a == b:
		return 0
	case a.Location.Domain == "" || b.Location.Domain == "":
		d = callerDelay
	case a.Location.Domain == b.Location.Domain:
		d = localDelay
	case a.Location.Region == b.Location.Region:
		d = domainDelay
	}
	return d + time.Duration(w.r.Float64()*float64(d)/4)
}

// Cut stops all messages between two nodes, both ways.
func (w *World) Cut(a, b *Node) {
	w.cuts[[2]string{a.Name, b.Name}] = true
	w.cuts[[2]string{b.Name, a.Name}] = true
}

// Heal ends all cuts, noise and slowness of the network.
func (w *World) Heal() {
	clear(w.cuts)
	w.Noise = Noise{}
}

func (w *World) blocked(a, b *Node) bool { return w.cuts[[2]string{a.Name, b.Name}] }

// send delivers a message on a link, unless the network loses it.
func (w *World) send(from, to *Node, l *link, f func()) {
	if w.blocked(from, to) || l.silent {
		return
	}
	n := 1
	if from != to && w.r.Float64() < w.Noise.DuplicateProbability {
		n = 2
	}
	for range n {
		d := w.delay(from, to)
		if from != to && w.r.Float64() < w.Noise.DelayProbability {
			d += time.Duration(w.r.Float64() * float64(w.Noise.MaxDelay))
		}
		w.After(d, func() {
			if !w.blocked(from, to) && !l.silent {
				f()
			}
		})
	}
}

// do makes a call.
func (w *World) do(c *call) {
	key := c.to.Name + " " + c.use
	l := c.from.links[key]
	if l == nil {
		l = &link{life: c.to.life}
		c.from.links[key] = l
	}
	c.l, c.life = l, c.from.life
	l.waiting = append(l.waiting, c)
	handled := false
	w.send(c.from, c.to, l, func() {
		if !c.to.alive || c.to.life != l.life {
			w.reset(c)
			return
		}
		if handled {
			return
		}
		handled = true
		c.to.inbound[c] = true
		c.to.run(c.to.life, func() { c.handle(func(v any) { w.answer(c, v) }) })
	})
	c.from.after(c.timeout, func() {
		if !c.over {
			w.lose(c, key)
		}
	})
	if c.probed {
		w.probe(c, key)
	}
}

// lose gives up a call and its connection.
func (w *World) lose(c *call, key string) {
	if c.from.links[key] == c.l {
		delete(c.from.links, key)
	}
	c.finish(nil, false)
}

// probe checks a call's connection, again and again while the call lasts.
func (w *World) probe(c *call, key string) {
	if c.over {
		return
	}
	heard := false
	w.send(c.from, c.to, c.l, func() {
		c.to.run(c.to.life, func() {
			w.send(c.to, c.from, c.l, func() {
				c.from.run(c.life, func() { heard = true })
			})
		})
	})
	c.from.after(probeTimeout, func() {
		if !heard && !c.over {
			w.lose(c, key)
		}
	})
	c.from.after(probeInterval, func() { w.probe(c, key) })
}

// answer sends an answer, in parts that travel by themselves.
func (w *World) answer(c *call, v any) {
	if !c.to.inbound[c] {
		return
	}
	delete(c.to.inbound, c)
	for i := range answerParts {
		w.send(c.to, c.from, c.l, func() {
			c.from.run(c.life, func() { w.receive(c, i, v) })
		})
	}
}

// receive takes in a part of an answer.
func (w *World) receive(c *call, part int, v any) {
	if w.Options.UnmatchedAnswers && c.caller && len(c.l.waiting) > 0 {
		c.l.waiting[0].finish(v, true)
		return
	}
	c.parts[part] = true
	for _, ok := range c.parts {
		if !ok {
			return
		}
	}
	if c.over && c.late != nil {
		c.late(v)
	}
	c.finish(v, true)
}

// reset tells the caller that its connection broke.
func (w *World) reset(c *call) {
	w.send(c.to, c.from, c.l, func() {
		c.from.run(c.life, func() { w.lose(c, c.to.Name+" "+c.use) })
	})
}

func (c *call) finish(v any, ok bool) {
	if c.over {
		return
	}
	c.over = true
	for i, x := range c.l.waiting {
		if x == c {
			c.l.waiting = append(c.l.waiting[:i:i], c.l.waiting[i+1:]...)
			break
		}
	}
	c.done(v, ok)
}

// SilenceConnections makes all connections that are open to n now silent for good.
func (w *World) SilenceConnections(n *Node) {
	for _, x := range w.sorted() {
		for k, l := range x.links {
			if strings.HasPrefix(k, n.Name+" ") {
				l.silent = true
			}
		}
	}
}

// BreakConnections breaks all connections that are open to n now; what is on the way to
// n still arrives.
func (w *World) BreakConnections(n *Node) {
	for _, x := range w.sorted() {
		for k, l := range x.links {
			if !strings.HasPrefix(k, n.Name+" ") {
				continue
			}
			for _, c := range l.waiting {
				x.after(0, func() { w.lose(c, k) })
			}
		}
	}
}

func (w *World) sorted() []*Node {
	o := make([]*Node, 0, len(w.nodes))
	for _, n := range w.nodes {
		o = append(o, n)
	}
	sort.Slice(o, func(i, j int) bool { return o[i].Name < o[j].Name })
	return o
}
