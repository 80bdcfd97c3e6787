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
	// Duplicate and Late are probabilities from 0 to 1.
	Duplicate float64
	Late      float64
	// Delay bounds the added delay of late messages.
	Delay time.Duration
}

// connection is a connection from one node to another.
type connection struct {
	// silent tells that its messages vanish.
	silent bool
	// incarnation is that of the other end when the connection was opened.
	incarnation int
	// pendingCalls are the calls whose answers are yet to come, oldest first.
	pendingCalls []*call
}

// call is a request with its answer.
type call struct {
	from, to *Node
	// purpose tells connections between the same nodes apart.
	purpose string
	timeout time.Duration
	// handle runs at to; reply may be called once, at any time.
	handle func(reply func(any))
	// done gets the answer, or false if none came.
	done func(v any, ok bool)
	// onLateAnswer is told of answers after the first or after the time-out; nil if
	// they are dropped.
	onLateAnswer func(v any)
	// callerRequest tells that the answer belongs to a caller's request.
	callerRequest bool
	// probed tells that the connection is checked while the call lasts.
	probed bool

	connection *connection
	// incarnation is the caller's life when it asked.
	incarnation int
	finished    bool
	received    [answerParts]bool
}

func (w *World) delay(a, b *Node) time.Duration {
	d := regionDelay
	switch {
	case a == b:
		return 0
	case a.Place.Domain == "" || b.Place.Domain == "":
		d = callerDelay
	case a.Place.Domain == b.Place.Domain:
		d = localDelay
	case a.Place.Region == b.Place.Region:
		d = domainDelay
	}
	return d + time.Duration(w.random.Float64()*float64(d)/4)
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
func (w *World) send(from, to *Node, l *connection, f func()) {
	if w.blocked(from, to) || l.silent {
		return
	}
	n := 1
	if from != to && w.random.Float64() < w.Noise.Duplicate {
		n = 2
	}
	for range n {
		d := w.delay(from, to)
		if from != to && w.random.Float64() < w.Noise.Late {
			d += time.Duration(w.random.Float64() * float64(w.Noise.Delay))
		}
		w.After(d, func() {
			if !w.blocked(from, to) && !l.silent {
				f()
			}
		})
	}
}

// startCall makes a call.
func (w *World) startCall(c *call) {
	key := c.to.Name + " " + c.purpose
	l := c.from.connections[key]
	if l == nil {
		l = &connection{incarnation: c.to.incarnation}
		c.from.connections[key] = l
	}
	c.connection, c.incarnation = l, c.from.incarnation
	l.pendingCalls = append(l.pendingCalls, c)
	handled := false
	w.send(c.from, c.to, l, func() {
		if !c.to.alive || c.to.incarnation != l.incarnation {
			w.sendReset(c)
			return
		}
		if handled {
			return
		}
		handled = true
		c.to.unanswered[c] = true
		c.to.run(c.to.incarnation, func() { c.handle(func(v any) { w.sendAnswer(c, v) }) })
	})
	c.from.after(c.timeout, func() {
		if !c.finished {
			w.failCall(c, key)
		}
	})
	if c.probed {
		w.probeConnection(c, key)
	}
}

// failCall gives up a call and its connection.
func (w *World) failCall(c *call, key string) {
	if c.from.connections[key] == c.connection {
		delete(c.from.connections, key)
	}
	c.finish(nil, false)
}

// probeConnection checks a call's connection, again and again while the call lasts.
func (w *World) probeConnection(c *call, key string) {
	if c.finished {
		return
	}
	answered := false
	w.send(c.from, c.to, c.connection, func() {
		c.to.run(c.to.incarnation, func() {
			w.send(c.to, c.from, c.connection, func() {
				c.from.run(c.incarnation, func() { answered = true })
			})
		})
	})
	c.from.after(probeTimeout, func() {
		if !answered && !c.finished {
			w.failCall(c, key)
		}
	})
	c.from.after(probeInterval, func() { w.probeConnection(c, key) })
}

// sendAnswer sends an answer, in parts that travel by themselves.
func (w *World) sendAnswer(c *call, v any) {
	if !c.to.unanswered[c] {
		return
	}
	delete(c.to.unanswered, c)
	for i := range answerParts {
		w.send(c.to, c.from, c.connection, func() {
			c.from.run(c.incarnation, func() { w.receivePart(c, i, v) })
		})
	}
}

// receivePart takes in a part of an answer.
func (w *World) receivePart(c *call, part int, v any) {
	if w.Options.Unmatched && c.callerRequest && len(c.connection.pendingCalls) > 0 {
		c.connection.pendingCalls[0].finish(v, true)
		return
	}
	c.received[part] = true
	for _, ok := range c.received {
		if !ok {
			return
		}
	}
	if c.finished && c.onLateAnswer != nil {
		c.onLateAnswer(v)
	}
	c.finish(v, true)
}

// sendReset tells the caller that its connection broke.
func (w *World) sendReset(c *call) {
	w.send(c.to, c.from, c.connection, func() {
		c.from.run(c.incarnation, func() { w.failCall(c, c.to.Name+" "+c.purpose) })
	})
}

func (c *call) finish(v any, ok bool) {
	if c.finished {
		return
	}
	c.finished = true
	for i, x := range c.connection.pendingCalls {
		if x == c {
			c.connection.pendingCalls = append(c.connection.pendingCalls[:i:i], c.connection.pendingCalls[i+1:]...)
			break
		}
	}
	c.done(v, ok)
}

// Silence makes all connections that are open to n now silent for good.
func (w *World) Silence(n *Node) {
	for _, x := range w.sortedNodes() {
		for k, l := range x.connections {
			if strings.HasPrefix(k, n.Name+" ") {
				l.silent = true
			}
		}
	}
}

// Break breaks all connections that are open to n now; what is on the way to
// n still arrives.
func (w *World) Break(n *Node) {
	for _, x := range w.sortedNodes() {
		for k, l := range x.connections {
			if !strings.HasPrefix(k, n.Name+" ") {
				continue
			}
			for _, c := range l.pendingCalls {
				x.after(0, func() { w.failCall(c, k) })
			}
		}
	}
}

func (w *World) sortedNodes() []*Node {
	o := make([]*Node, 0, len(w.nodes))
	for _, n := range w.nodes {
		o = append(o, n)
	}
	sort.Slice(o, func(i, j int) bool { return o[i].Name < o[j].Name })
	return o
}
