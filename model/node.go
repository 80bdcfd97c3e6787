package model

import "time"

// Place is where a node stands.
type Place struct {
	Region string
	Domain string
}

// Node is a process on the network: a member, a daemon, the platform or a
// caller.
type Node struct {
	Name     string
	Location Place
	w        *World
	// alive and frozen tell whether the process exists, and whether it runs.
	alive  bool
	frozen bool
	// life rises with every start; work of an earlier life is dropped.
	life int
	// stalled is work that came due while the node was frozen.
	stalled []func()
	// links are the open connections by peer and use.
	links map[string]*link
	// inbound are the calls that this node has yet to answer.
	inbound map[*call]bool
}

func (w *World) node(name string, p Place) *Node {
	n := &Node{Name: name, Location: p, w: w, alive: true, links: map[string]*link{}, inbound: map[*call]bool{}}
	w.nodes[name] = n
	return n
}

// Alive reports whether the process exists.
func (n *Node) Alive() bool { return n.alive }

// after runs f on the node after d, unless the process has ended by then. A
// frozen process runs it when it is thawed.
func (n *Node) after(d time.Duration, f func()) {
	l := n.life
	n.w.After(d, func() { n.run(l, f) })
}

func (n *Node) run(life int, f func()) {
	switch {
	case !n.alive || n.life != life:
	case n.frozen:
		n.stalled = append(n.stalled, func() { n.run(life, f) })
	default:
		f()
	}
}

// Freeze stops the process.
func (n *Node) Freeze() { n.frozen = true }

// Thaw lets the process go on: what came due meanwhile happens now, in any
// order.
func (n *Node) Thaw() {
	n.frozen = false
	s := n.stalled
	n.stalled = nil
	n.w.r.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	for _, f := range s {
		n.w.After(0, f)
	}
}

// Kill ends the process; callers see their connections break.
func (n *Node) Kill() {
	if !n.alive {
		return
	}
	n.alive, n.frozen = false, false
	n.stalled = nil
	n.links = map[string]*link{}
	l := n.inbound
	n.inbound = map[*call]bool{}
	for c := range l {
		n.w.reset(c)
	}
}

// start begins another life of the process.
func (n *Node) start() {
	n.life++
	n.alive = true
}

// Frozen reports whether the process has stopped.
func (n *Node) Frozen() bool { return n.frozen }
