package model

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
)

// HostedStep is a step of the succession of a group whose holder is agreed on
// through the platform's store.
type HostedStep string

// The steps, by what the platform sees.
const (
	// Calm is a moment at which nothing happens.
	Calm HostedStep = "calm"
	// Taken is a new holder in the record, Released an earlier one less.
	Taken    HostedStep = "taken-over"
	Released HostedStep = "released"
	// Intended is the intent to promote in the record.
	Intended HostedStep = "intended"
	// Asked is the request to promote, Effective its effect.
	Asked     HostedStep = "promotion-asked"
	Effective HostedStep = "promotion-effective"
	// Recorded is the new primary in the record.
	Recorded HostedStep = "recorded"
)

// TakeoverSteps returns all steps.
func TakeoverSteps() []HostedStep {
	return []HostedStep{Calm, Taken, Released, Intended, Asked, Effective, Recorded}
}

// Hosted is a database group on the users' platform, which keeps the record of
// its holder and promotes its members. It is not safe for concurrent use.
type Hosted struct {
	*World
	// Replicas are the members, Hosts the daemons, in order of their making.
	Replicas []*HostedMember
	Hosts    []*HostedDaemon
	// Step is told when a step is reached, with the daemon that takes it; nil if
	// nobody asks.
	Step func(HostedStep, *HostedDaemon)
	// Trace is told of what happens; nil if nobody asks.
	Trace func(string)
	// Refused are daemons that the store turns away.
	Refused map[*HostedDaemon]bool
	// Done counts acknowledged writes, Shown reads that were answered.
	Done  int
	Shown int

	record   lease.Record
	revision uint64
	// hostRenewals holds when each host's entry was last renewed.
	hostRenewals map[string]time.Time
	hostRecords  map[string]membership.Host
	// highestToken is the highest fencing token of a promotion.
	highestToken uint64
	// promotions are the promotions that took effect, oldest first.
	promotions   []promotion
	writes       []*platformWrite
	hostsStarted int
}

// promotion is a promotion that took effect.
type promotion struct {
	at     time.Time
	member *HostedMember
	term   uint64
}

// Sizes and timing of a hosted world.
const (
	hostsPerDomain       = 2
	platformSessionCount = 6
	hostRecordTTL        = 10 * time.Second
	promotionDelay       = time.Second
)

// NewHosted makes a world in which nothing has happened yet.
func NewHosted(c Config) *Hosted {
	b := &World{
		Clock: Clock{now: startTime}, Options: c.Options, random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, promotedTerms: map[*Member]uint64{},
	}
	w := &Hosted{World: b, Refused: map[*HostedDaemon]bool{}, hostRenewals: map[string]time.Time{}, hostRecords: map[string]membership.Host{}}
	b.callers = b.newNode("callers", Location{})
	b.newPlatform(locations[0])
	for i, p := range locations {
		w.newMember("member-"+strconv.Itoa(i), p)
	}
	w.Replicas[0].primary = true
	for range hostsPerDomain {
		for _, p := range locations {
			w.Start(p, "")
		}
	}
	for i := range platformSessionCount {
		b.After(time.Duration(i)*platformThinkTime/platformSessionCount, func() { w.runSession(i) })
	}
	return w
}

// Holder returns the daemon that the record names, or nil.
func (w *Hosted) Holder() *HostedDaemon { return w.Daemon(w.record.Holder.ID) }

// Daemon returns the daemon with the given ID, or nil.
func (w *Hosted) Daemon(id string) *HostedDaemon {
	for _, d := range w.Hosts {
		if d.host.ID == id {
			return d
		}
	}
	return nil
}

// Leader returns the primary of the highest term.
func (w *Hosted) Leader() *HostedMember {
	var p *HostedMember
	for _, m := range w.Replicas {
		if m.primary && (p == nil || m.term > p.term) {
			p = m
		}
	}
	return p
}

func (w *Hosted) trace(s string, a ...any) {
	if w.Trace != nil {
		w.Trace(w.Since().String() + " " + fmt.Sprintf(s, a...))
	}
}

func (w *Hosted) notifyTakeoverStep(s HostedStep, d *HostedDaemon) {
	if w.Step != nil {
		w.Step(s, d)
	}
}

// CutOneWay stops messages from a to b.
func (w *World) CutOneWay(a, b *Node) { w.cuts[[2]string{a.Name, b.Name}] = true }

// Others returns all nodes but one, by name.
func (w *World) Others(n *Node) []*Node {
	var o []*Node
	for _, x := range w.sortedNodes() {
		if x != n && x != w.callers {
			o = append(o, x)
		}
	}
	return o
}

// recordAnswer is the answer of the store to a question about the record.
type recordAnswer struct {
	record   lease.Record
	revision uint64
	// written tells that a write took place.
	written bool
}

// callStore has the store do something for a daemon.
func (w *Hosted) callStore(d *HostedDaemon, handle func() any, write bool, done func(any, bool)) {
	if w.Refused[d] {
		d.after(localDelay, func() { done(nil, false) })
		return
	}
	w.Platform.startRequest(d.Node, handle, write, done)
}

func (w *Hosted) readRecord() any {
	return recordAnswer{record: w.record, revision: w.revision}
}

// writeRecord writes the record on a revision.
func (w *Hosted) writeRecord(d *HostedDaemon, r lease.Record, rev uint64) recordAnswer {
	if rev != w.revision {
		return recordAnswer{record: w.record, revision: w.revision}
	}
	old := w.record
	w.record = r
	w.revision++
	w.trace("record %d by %s: holder %s, prior %v, primary %s/%d, target %q", w.revision, d.Name, r.Holder.ID, r.PreviousHolders, r.Primary, r.Term, r.Target)
	w.sendRecord()
	w.notifyRecordStep(old, r, d)
	return recordAnswer{record: r, revision: w.revision, written: true}
}

// notifyRecordStep tells of the step that a new record is.
func (w *Hosted) notifyRecordStep(old, r lease.Record, d *HostedDaemon) {
	switch {
	case old.Holder.ID != r.Holder.ID:
		w.notifyTakeoverStep(Taken, d)
	case len(r.PreviousHolders) < len(old.PreviousHolders) && r.Target == old.Target:
		w.notifyTakeoverStep(Released, d)
	case old.Target == "" && r.Target != "":
		w.notifyTakeoverStep(Intended, d)
	case old.Target != "" && r.Target == "":
		w.notifyTakeoverStep(Recorded, d)
	}
}

// sendRecord brings the record to all daemons that watch the store.
func (w *Hosted) sendRecord() {
	r, rev := w.record, w.revision
	for _, d := range w.Hosts {
		if !w.Refused[d] {
			w.send(w.Platform.Node, d.Node, &connection{}, func() {
				d.run(d.incarnation, func() { d.observeRecord(r, rev, time.Time{}) })
			})
		}
	}
}

// listHosts returns the hosts whose entries stand.
func (w *Hosted) listHosts() any {
	var o []membership.Host
	for _, d := range w.Hosts {
		if t, ok := w.hostRenewals[d.host.ID]; ok && w.now.Sub(t) < hostRecordTTL {
			o = append(o, w.hostRecords[d.host.ID])
		}
	}
	return o
}

// sendHostList brings the list of hosts to all daemons that watch the store.
func (w *Hosted) sendHostList() {
	l := w.listHosts().([]membership.Host)
	for _, d := range w.Hosts {
		if !w.Refused[d] {
			w.send(w.Platform.Node, d.Node, &connection{}, func() {
				d.run(d.incarnation, func() { d.view.Handle(membership.ListReceived{Hosts: l}, w.now) })
			})
		}
	}
}

// promote has a member made primary for a daemon.
func (w *Hosted) promote(d *HostedDaemon, m *HostedMember, token uint64) bool {
	if token < w.highestToken {
		w.violate("a promotion came with a lower fencing token")
		return false
	}
	w.highestToken = token
	w.trace("promotion of %s asked by %s with token %d", m.Name, d.Name, token)
	w.notifyTakeoverStep(Asked, d)
	if !m.alive {
		return false
	}
	w.After(promotionDelay, func() { w.makePrimary(m, d) })
	return true
}

// makePrimary makes a member primary.
func (w *Hosted) makePrimary(m *HostedMember, d *HostedDaemon) {
	if !m.alive || m.primary && m == w.Leader() {
		return
	}
	for _, o := range w.Replicas {
		m.term = max(m.term, o.term)
	}
	m.term++
	m.primary, m.source = true, nil
	m.append("")
	for _, o := range w.Replicas {
		if o != m && !o.primary {
			o.source = m
		}
	}
	w.trace("%s leads term %d", m.Name, m.term)
	w.promotions = append(w.promotions, promotion{at: w.now, member: m, term: m.term})
	for _, x := range w.writes {
		x.rolledBack = x.rolledBack || !x.inLog(m.log)
	}
	w.notifyTakeoverStep(Effective, d)
}
