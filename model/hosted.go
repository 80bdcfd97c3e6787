package model

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
)

// TakeoverStep is a step of the succession of a group whose holder is agreed on
// through the platform's store.
type TakeoverStep string

// The steps, by what the platform sees.
const (
	// Idle is a moment at which nothing happens.
	Idle TakeoverStep = "calm"
	// LeaseAcquired is a new holder in the record, Released an earlier one less.
	LeaseAcquired TakeoverStep = "taken-over"
	LeaseReleased TakeoverStep = "released"
	// IntentRecorded is the intent to promote in the record.
	IntentRecorded TakeoverStep = "intended"
	// PromotionRequested is the request to promote, Effective its effect.
	PromotionRequested TakeoverStep = "promotion-asked"
	PromotionEffective TakeoverStep = "promotion-effective"
	// PrimaryRecorded is the new primary in the record.
	PrimaryRecorded TakeoverStep = "recorded"
)

// HostedSteps returns all steps.
func HostedSteps() []TakeoverStep {
	return []TakeoverStep{Idle, LeaseAcquired, LeaseReleased, IntentRecorded, PromotionRequested, PromotionEffective, PrimaryRecorded}
}

// PlatformWorld is a database group on the users' platform, which keeps the record of
// its holder and promotes its members. It is not safe for concurrent use.
type PlatformWorld struct {
	*World
	// Members are the members, Hosts the daemons, in order of their making.
	Members []*PlatformMember
	Daemons []*PlatformDaemon
	// OnTakeoverStep is told when a step is reached, with the daemon that takes it; nil if
	// nobody asks.
	OnTakeoverStep func(TakeoverStep, *PlatformDaemon)
	// Trace is told of what happens; nil if nobody asks.
	Trace func(string)
	// RejectedByStore are daemons that the store turns away.
	RejectedByStore map[*PlatformDaemon]bool
	// AcknowledgedWrites counts acknowledged writes, Shown reads that were answered.
	AcknowledgedWrites int
	AnsweredReads      int

	record   lease.Record
	revision uint64
	// leases holds when each host's entry was last renewed.
	leases map[string]time.Time
	hosts  map[string]membership.Host
	// token is the highest fencing token of a promotion.
	token uint64
	// effects are the promotions that took effect, oldest first.
	effects []effect
	writes  []*hostedWrite
	names   int
}

// effect is a promotion that took effect.
type effect struct {
	at     time.Time
	member *PlatformMember
	term   uint64
}

// Sizes and timing of a hosted world.
const (
	hostsPerDomain  = 2
	hostedSessions  = 6
	leaseLength     = 10 * time.Second
	promotionLength = time.Second
)

// NewPlatformWorld makes a world in which nothing has happened yet.
func NewPlatformWorld(c Config) *PlatformWorld {
	w := &World{
		Clock: Clock{now: epoch}, Options: c.Options, r: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, last: map[*Member]uint64{},
	}
	h := &PlatformWorld{World: w, RejectedByStore: map[*PlatformDaemon]bool{}, leases: map[string]time.Time{}, hosts: map[string]membership.Host{}}
	w.callers = w.node("callers", Place{})
	w.newPlatform(places[0])
	for i, p := range places {
		h.newMember("member-"+strconv.Itoa(i), p)
	}
	h.Members[0].primary = true
	for range hostsPerDomain {
		for _, p := range places {
			h.StartDaemon(p, "")
		}
	}
	for i := range hostedSessions {
		w.After(time.Duration(i)*hostedPause/hostedSessions, func() { h.act(i) })
	}
	return h
}

// Holder returns the daemon that the record names, or nil.
func (h *PlatformWorld) Holder() *PlatformDaemon { return h.Host(h.record.Holder.ID) }

// Host returns the daemon with the given ID, or nil.
func (h *PlatformWorld) Host(id string) *PlatformDaemon {
	for _, d := range h.Daemons {
		if d.host.ID == id {
			return d
		}
	}
	return nil
}

// Primary returns the primary of the highest term.
func (h *PlatformWorld) Primary() *PlatformMember {
	var p *PlatformMember
	for _, m := range h.Members {
		if m.primary && (p == nil || m.term > p.term) {
			p = m
		}
	}
	return p
}

func (h *PlatformWorld) trace(s string, a ...any) {
	if h.Trace != nil {
		h.Trace(h.Elapsed().String() + " " + fmt.Sprintf(s, a...))
	}
}

func (h *PlatformWorld) reachStep(s TakeoverStep, d *PlatformDaemon) {
	if h.OnTakeoverStep != nil {
		h.OnTakeoverStep(s, d)
	}
}

// CutOneWay stops messages from a to b.
func (w *World) CutOneWay(a, b *Node) { w.cuts[[2]string{a.Name, b.Name}] = true }

// OtherNodes returns all nodes but one, by name.
func (w *World) OtherNodes(n *Node) []*Node {
	var o []*Node
	for _, x := range w.sorted() {
		if x != n && x != w.callers {
			o = append(o, x)
		}
	}
	return o
}

// storedRecord is the answer of the store to a question about the record.
type storedRecord struct {
	record   lease.Record
	revision uint64
	// won tells that a write took place.
	won bool
}

// ask has the store do something for a daemon.
func (h *PlatformWorld) ask(d *PlatformDaemon, handle func() any, write bool, done func(any, bool)) {
	if h.RejectedByStore[d] {
		d.after(localDelay, func() { done(nil, false) })
		return
	}
	h.Platform.do(d.Node, handle, write, done)
}

func (h *PlatformWorld) readRecord() any {
	return storedRecord{record: h.record, revision: h.revision}
}

// writeRecord writes the record on a revision.
func (h *PlatformWorld) writeRecord(d *PlatformDaemon, r lease.Record, rev uint64) storedRecord {
	if rev != h.revision {
		return storedRecord{record: h.record, revision: h.revision}
	}
	old := h.record
	h.record = r
	h.revision++
	h.trace("record %d by %s: holder %s, prior %v, primary %s/%d, target %q", h.revision, d.Name, r.Holder.ID, r.PreviousHolders, r.Primary, r.Term, r.Target)
	h.spread()
	h.reached(old, r, d)
	return storedRecord{record: r, revision: h.revision, won: true}
}

// reached tells of the step that a new record is.
func (h *PlatformWorld) reached(old, r lease.Record, d *PlatformDaemon) {
	switch {
	case old.Holder.ID != r.Holder.ID:
		h.reachStep(LeaseAcquired, d)
	case len(r.PreviousHolders) < len(old.PreviousHolders) && r.Target == old.Target:
		h.reachStep(LeaseReleased, d)
	case old.Target == "" && r.Target != "":
		h.reachStep(IntentRecorded, d)
	case old.Target != "" && r.Target == "":
		h.reachStep(PrimaryRecorded, d)
	}
}

// spread brings the record to all daemons that watch the store.
func (h *PlatformWorld) spread() {
	r, rev := h.record, h.revision
	for _, d := range h.Daemons {
		if !h.RejectedByStore[d] {
			h.send(h.Platform.Node, d.Node, &link{}, func() {
				d.run(d.life, func() { d.see(r, rev, time.Time{}) })
			})
		}
	}
}

// listed returns the hosts whose entries stand.
func (h *PlatformWorld) listed() any {
	var o []membership.Host
	for _, d := range h.Daemons {
		if t, ok := h.leases[d.host.ID]; ok && h.now.Sub(t) < leaseLength {
			o = append(o, h.hosts[d.host.ID])
		}
	}
	return o
}

// spreadHosts brings the list of hosts to all daemons that watch the store.
func (h *PlatformWorld) spreadHosts() {
	l := h.listed().([]membership.Host)
	for _, d := range h.Daemons {
		if !h.RejectedByStore[d] {
			h.send(h.Platform.Node, d.Node, &link{}, func() {
				d.run(d.life, func() { d.view.Handle(membership.ListReceived{Hosts: l}, h.now) })
			})
		}
	}
}

// promote has a member made primary for a daemon.
func (h *PlatformWorld) promote(d *PlatformDaemon, m *PlatformMember, token uint64) bool {
	if token < h.token {
		h.violate("a promotion came with a lower fencing token")
		return false
	}
	h.token = token
	h.trace("promotion of %s asked by %s with token %d", m.Name, d.Name, token)
	h.reachStep(PromotionRequested, d)
	if !m.alive {
		return false
	}
	h.After(promotionLength, func() { h.lead(m, d) })
	return true
}

// lead makes a member primary.
func (h *PlatformWorld) lead(m *PlatformMember, d *PlatformDaemon) {
	if !m.alive || m.primary && m == h.Primary() {
		return
	}
	for _, o := range h.Members {
		m.term = max(m.term, o.term)
	}
	m.term++
	m.primary, m.following = true, nil
	m.append("")
	for _, o := range h.Members {
		if o != m && !o.primary {
			o.following = m
		}
	}
	h.trace("%s leads term %d", m.Name, m.term)
	h.effects = append(h.effects, effect{at: h.now, member: m, term: m.term})
	for _, x := range h.writes {
		x.lost = x.lost || !x.shown(m.log)
	}
	h.reachStep(PromotionEffective, d)
}
