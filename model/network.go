package model

import (
	"sort"
	"strings"
	"time"
)

// One-way delays of the network: within a failure domain, between failure
// domains of one region, between regions, and between a caller and any other
// node. Up to a quarter is added at random.
const (
	localDelay  = 200 * time.Microsecond
	domainDelay = 1500 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	callerDelay = 3 * time.Millisecond
)

// Timing of the checks of connections between daemons.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
)

// answerParts is the number of messages into which an answer is split.
const answerParts = 2

// MessageFaults duplicates and delays random messages.
type MessageFaults struct {
	// DuplicateProbability is the probability, from 0 to 1, that a message is
	// delivered twice.
	DuplicateProbability float64
	// DelayProbability is the probability, from 0 to 1, that a delivery is
	// delayed further.
	DelayProbability float64
	// MaxDelay is the maximum delay added to such a delivery.
	MaxDelay time.Duration
}

// connection is a connection from one node to another.
type connection struct {
	// silent means that all messages on the connection are lost.
	silent bool
	// incarnation is that of the remote process when the connection was opened.
	incarnation int
	// pendingCalls are the calls that have no answer yet, oldest first.
	pendingCalls []*call
}

// call is a request from one node to another and its answer.
type call struct {
	from, to *Node
	// purpose identifies the connection among those from one node to another.
	purpose string
	timeout time.Duration
	// handle runs at the receiving node; it may call reply once, at any time.
	handle func(reply func(any))
	// done receives the answer, or false if there is none.
	done func(v any, ok bool)
	// onDelayedAnswer receives duplicate answers and answers after the timeout;
	// nil drops them.
	onDelayedAnswer func(v any)
	// callerRequest means that the call carries a caller's request.
	callerRequest bool
	// probed means that the connection is checked while the call lasts.
	probed bool

	connection *connection
	// incarnation is that of the requesting process when the call started.
	incarnation int
	finished    bool
	// received marks the parts of the answer that have arrived.
	received [answerParts]bool
}

// networkDelay returns a random one-way delay between two nodes.
func (w *World) networkDelay(a, b *Node) time.Duration {
	d := regionDelay
	switch {
	case a == b:
		return 0
	case a.Location.FailureDomain == "" || b.Location.FailureDomain == "":
		d = callerDelay
	case a.Location.FailureDomain == b.Location.FailureDomain:
		d = localDelay
	case a.Location.Region == b.Location.Region:
		d = domainDelay
	}
	return d + time.Duration(w.random.Float64()*float64(d)/4)
}

// Cut stops all messages between two nodes, in both directions.
func (w *World) Cut(a, b *Node) {
	w.cuts[[2]string{a.Name, b.Name}] = true
	w.cuts[[2]string{b.Name, a.Name}] = true
}

// Heal ends a cut between two nodes.
func (w *World) Heal(a, b *Node) {
	delete(w.cuts, [2]string{a.Name, b.Name})
	delete(w.cuts, [2]string{b.Name, a.Name})
}

// EndNetworkFaults ends all cuts and all message faults.
func (w *World) EndNetworkFaults() {
	clear(w.cuts)
	w.MessageFaults = MessageFaults{}
}

func (w *World) isCut(a, b *Node) bool { return w.cuts[[2]string{a.Name, b.Name}] }

// sendMessage delivers a message on a connection, unless the network loses it.
func (w *World) sendMessage(from, to *Node, l *connection, f func()) {
	if w.isCut(from, to) || l.silent {
		return
	}
	n := 1
	if from != to && w.random.Float64() < w.MessageFaults.DuplicateProbability {
		n = 2
	}
	for range n {
		d := w.networkDelay(from, to)
		if from != to && w.random.Float64() < w.MessageFaults.DelayProbability {
			d += time.Duration(w.random.Float64() * float64(w.MessageFaults.MaxDelay))
		}
		w.After(d, func() {
			if !w.isCut(from, to) && !l.silent {
				f()
			}
		})
	}
}

// startCall sends the request of a call, on a new connection if none is open
// for its purpose, and sets its timeout.
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
	w.sendMessage(c.from, c.to, l, func() {
		if !c.to.alive || c.to.incarnation != l.incarnation {
			w.sendReset(c)
			return
		}
		if handled {
			return
		}
		handled = true
		c.to.unansweredCalls[c] = true
		c.to.runInIncarnation(c.to.incarnation, func() { c.handle(func(v any) { w.sendAnswer(c, v) }) })
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

// failCall ends a call without an answer and closes its connection.
func (w *World) failCall(c *call, key string) {
	if c.from.connections[key] == c.connection {
		delete(c.from.connections, key)
	}
	c.finish(nil, false)
}

// probeConnection checks a call's connection every probeInterval while the call
// lasts. The call fails if a check isn't answered within probeTimeout.
func (w *World) probeConnection(c *call, key string) {
	if c.finished {
		return
	}
	answered := false
	w.sendMessage(c.from, c.to, c.connection, func() {
		c.to.runInIncarnation(c.to.incarnation, func() {
			w.sendMessage(c.to, c.from, c.connection, func() {
				c.from.runInIncarnation(c.incarnation, func() { answered = true })
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

// sendAnswer sends an answer in parts, each with its own delay.
func (w *World) sendAnswer(c *call, v any) {
	if !c.to.unansweredCalls[c] {
		return
	}
	delete(c.to.unansweredCalls, c)
	for i := range answerParts {
		w.sendMessage(c.to, c.from, c.connection, func() {
			c.from.runInIncarnation(c.incarnation, func() { w.receivePart(c, i, v) })
		})
	}
}

// receivePart handles a part of an answer; the call ends with the last part.
func (w *World) receivePart(c *call, part int, v any) {
	if w.Options.UnmatchedAnswers && c.callerRequest && len(c.connection.pendingCalls) > 0 {
		c.connection.pendingCalls[0].finish(v, true)
		return
	}
	c.received[part] = true
	for _, ok := range c.received {
		if !ok {
			return
		}
	}
	if c.finished && c.onDelayedAnswer != nil {
		c.onDelayedAnswer(v)
	}
	c.finish(v, true)
}

// sendReset notifies the requesting node that its connection broke.
func (w *World) sendReset(c *call) {
	w.sendMessage(c.to, c.from, c.connection, func() {
		c.from.runInIncarnation(c.incarnation, func() { w.failCall(c, c.to.Name+" "+c.purpose) })
	})
}

// finish ends a call; later answers have no effect on it.
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

// SilenceConnections drops all further messages on the connections that are
// open to n now.
func (w *World) SilenceConnections(n *Node) {
	for _, x := range w.sortedNodes() {
		for k, l := range x.connections {
			if strings.HasPrefix(k, n.Name+" ") {
				l.silent = true
			}
		}
	}
}

// BreakConnections fails all calls to n that are pending now, and closes their
// connections; messages already under way to n still arrive.
func (w *World) BreakConnections(n *Node) {
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

// sortedNodes returns all nodes by name, so that equal runs visit them in the
// same order.
func (w *World) sortedNodes() []*Node {
	o := make([]*Node, 0, len(w.nodes))
	for _, n := range w.nodes {
		o = append(o, n)
	}
	sort.Slice(o, func(i, j int) bool { return o[i].Name < o[j].Name })
	return o
}
