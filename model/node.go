package model

import "time"

// Location is the region and failure domain of a node.
type Location struct {
	Region        string
	FailureDomain string
}

// Node is a process on the network: a member, a daemon, the platform or the
// callers.
type Node struct {
	Name     string
	Location Location
	world    *World
	// alive means that the process exists, frozen that it is suspended.
	alive  bool
	frozen bool
	// incarnation increases with every start; functions that an earlier
	// incarnation scheduled don't run.
	incarnation int
	// stalledCalls are the functions that became due while the process was
	// frozen.
	stalledCalls []func()
	// connections are the open connections by remote node and purpose.
	connections map[string]*connection
	// unansweredCalls are the received calls that this node hasn't answered
	// yet.
	unansweredCalls map[*call]bool
}

func (w *World) newNode(name string, p Location) *Node {
	n := &Node{Name: name, Location: p, world: w, alive: true, connections: map[string]*connection{}, unansweredCalls: map[*call]bool{}}
	w.nodes[name] = n
	return n
}

// Alive reports whether the process exists.
func (n *Node) Alive() bool { return n.alive }

// after runs f on the node after d, unless the process has ended by then. A
// frozen process runs f when it is thawed.
func (n *Node) after(d time.Duration, f func()) {
	l := n.incarnation
	n.world.After(d, func() { n.runInIncarnation(l, f) })
}

// runInIncarnation runs f if the process is still in the given incarnation; a
// frozen process runs it when it is thawed.
func (n *Node) runInIncarnation(incarnation int, f func()) {
	switch {
	case !n.alive || n.incarnation != incarnation:
	case n.frozen:
		n.stalledCalls = append(n.stalledCalls, func() { n.runInIncarnation(incarnation, f) })
	default:
		f()
	}
}

// Freeze suspends the process.
func (n *Node) Freeze() { n.frozen = true }

// Thaw resumes the process. The functions that became due meanwhile run now, in
// random order.
func (n *Node) Thaw() {
	n.frozen = false
	s := n.stalledCalls
	n.stalledCalls = nil
	n.world.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	for _, f := range s {
		n.world.After(0, f)
	}
}

// Kill ends the process. Nodes that wait for its answers are notified that the
// connections broke.
func (n *Node) Kill() {
	if !n.alive {
		return
	}
	n.alive, n.frozen = false, false
	n.stalledCalls = nil
	n.connections = map[string]*connection{}
	l := n.unansweredCalls
	n.unansweredCalls = map[*call]bool{}
	for c := range l {
		n.world.sendReset(c)
	}
}

// start starts the process in a new incarnation.
func (n *Node) start() {
	n.incarnation++
	n.alive = true
}

// Frozen reports whether the process is suspended.
func (n *Node) Frozen() bool { return n.frozen }
