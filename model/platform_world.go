package model

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

// TakeoverStep is a step of a takeover in a group whose holder and primary are
// agreed on through the platform's store.
type TakeoverStep string

// The steps, as the platform observes them.
const (
	// Idle means that no takeover is under way.
	Idle TakeoverStep = "calm"
	// LeaseAcquired means that the record has a new holder.
	LeaseAcquired TakeoverStep = "taken-over"
	// LeaseReleased means that the record has one previous holder fewer.
	LeaseReleased TakeoverStep = "released"
	// IntentRecorded means that the record has the intent to promote.
	IntentRecorded TakeoverStep = "intended"
	// PromotionRequested means that the promotion was requested.
	PromotionRequested TakeoverStep = "promotion-asked"
	// PromotionEffective means that the promotion took effect.
	PromotionEffective TakeoverStep = "promotion-effective"
	// PrimaryRecorded means that the record has the new primary.
	PrimaryRecorded TakeoverStep = "recorded"
)

// TakeoverSteps returns all steps of a takeover.
func TakeoverSteps() []TakeoverStep {
	return []TakeoverStep{Idle, LeaseAcquired, LeaseReleased, IntentRecorded, PromotionRequested, PromotionEffective, PrimaryRecorded}
}

// PlatformWorld simulates package platformdaemon: the platform keeps the record
// of the group's holder and primary in its store and promotes the group's
// members. Its Members and Daemons replace those of World, which stay empty. It
// is not safe for concurrent use.
type PlatformWorld struct {
	*World
	// Members are all members, in the order of their creation.
	Members []*PlatformMember
	// Daemons are the daemons, in the order of their creation.
	Daemons []*PlatformDaemon
	// OnTakeoverStep, if set, is called when a step is reached, with the daemon
	// that performs it.
	OnTakeoverStep func(TakeoverStep, *PlatformDaemon)
	// Trace, if set, is called with a line for every event of a takeover.
	Trace func(string)
	// RejectedByStore are the daemons whose requests the store rejects.
	RejectedByStore map[*PlatformDaemon]bool
	// LatePromotions carries each call that requests a promotion out seconds later, without an
	// answer.
	LatePromotions bool
	// AcknowledgedWrites counts the acknowledged writes.
	AcknowledgedWrites int
	// AnsweredReads counts the answered reads.
	AnsweredReads int

	record lease.Record
	// revision is that of the record; era counts the restorations of the store.
	revision, era uint64
	// recordHistory holds the records of this era's past and of the copies that the
	// store came back from, oldest first.
	recordHistory []storedRecord
	// hostRenewals holds the time of the last renewal of each host record, and
	// hostRecords the records, both by host ID.
	hostRenewals map[string]time.Time
	hostRecords  map[string]membership.Host
	// hostsRegistered holds the time of the first write of each host record.
	hostsRegistered map[string]time.Time
	// highestToken is the highest fencing token among the requests for a
	// promotion, and tokenHolder the daemon that sent the last one.
	highestToken uint64
	tokenHolder  string
	// promotions are the promotions that took effect, oldest first.
	promotions   []promotion
	writes       []*platformWrite
	hostsStarted int
}

// storedRecord is the record that the store had from a time on.
type storedRecord struct {
	at       time.Time
	record   lease.Record
	revision uint64
}

// promotion is a promotion that took effect.
type promotion struct {
	at     time.Time
	member *PlatformMember
	term   uint64
}

// Sizes of the world and timing of its platform.
const (
	hostsPerDomain       = 2
	platformSessionCount = 6
	// hostRecordTTL is how long a host record is valid after its renewal.
	hostRecordTTL = 10 * time.Second
	// promotionDelay is the time from the request for a promotion to its
	// effect.
	promotionDelay = time.Second
)

// NewPlatformWorld creates a world at the start of its run.
func NewPlatformWorld(c Config) *PlatformWorld {
	b := &World{
		Clock: Clock{now: startTime}, Options: c.Options, random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		nodes: map[string]*Node{}, cuts: map[[2]string]bool{}, promotedTerms: map[*Member]uint64{},
	}
	w := &PlatformWorld{World: b, RejectedByStore: map[*PlatformDaemon]bool{}, hostRenewals: map[string]time.Time{}, hostRecords: map[string]membership.Host{}, hostsRegistered: map[string]time.Time{}}
	b.callers = b.newNode("callers", Location{})
	b.newPlatform(locations[0])
	for i, p := range locations {
		w.newMember("member-"+strconv.Itoa(i), p)
	}
	w.Members[0].primary = true
	w.Members[0].appendEntry("")
	for range hostsPerDomain {
		for _, p := range locations {
			w.StartDaemon(p, "")
		}
	}
	for i := range platformSessionCount {
		b.After(time.Duration(i)*platformThinkTime/platformSessionCount, func() { w.sendNextRequest(i) })
	}
	return w
}

// Holder returns the daemon that the record names as the holder, or nil.
func (w *PlatformWorld) Holder() *PlatformDaemon { return w.Daemon(w.record.Holder.ID) }

// Daemon returns the daemon with the given ID, or nil.
func (w *PlatformWorld) Daemon(id string) *PlatformDaemon {
	for _, d := range w.Daemons {
		if d.host.ID == id {
			return d
		}
	}
	return nil
}

// Primary returns the primary of the highest term, or nil if there is no
// primary.
func (w *PlatformWorld) Primary() *PlatformMember {
	var p *PlatformMember
	for _, m := range w.Members {
		if m.primary && (p == nil || m.term > p.term) {
			p = m
		}
	}
	return p
}

func (w *PlatformWorld) trace(s string, a ...any) {
	if w.Trace != nil {
		w.Trace(w.Elapsed().String() + " " + fmt.Sprintf(s, a...))
	}
}

func (w *PlatformWorld) notifyTakeoverStep(s TakeoverStep, d *PlatformDaemon) {
	if w.OnTakeoverStep != nil {
		w.OnTakeoverStep(s, d)
	}
}

// CutOneWay stops messages from a to b.
func (w *World) CutOneWay(a, b *Node) { w.cuts[[2]string{a.Name, b.Name}] = true }

// OtherNodes returns all nodes but n and the callers, by name.
func (w *World) OtherNodes(n *Node) []*Node {
	var o []*Node
	for _, x := range w.sortedNodes() {
		if x != n && x != w.callers {
			o = append(o, x)
		}
	}
	return o
}

// recordAnswer is the answer to a read or a write of the group's record.
type recordAnswer struct {
	record   lease.Record
	position store.Position
	// written means that the write took effect in the era in which it was sent.
	written bool
}

// callStoreDirectly sends a daemon's request to the store without another
// daemon in between, and runs handle there.
func (w *PlatformWorld) callStoreDirectly(d *PlatformDaemon, handle func() any, write bool, done func(any, bool)) {
	if w.RejectedByStore[d] {
		d.after(localDelay, func() { done(nil, false) })
		return
	}
	w.Platform.startRequest(d.Node, handle, write, done)
}

// callPromotionService sends a daemon's call that requests a promotion.
func (w *PlatformWorld) callPromotionService(d *PlatformDaemon, handle func() any, done func(any, bool)) {
	if w.LatePromotions {
		late := w.lateness(lease.PromotionCallTime)
		w.callStoreDirectly(d, func() any {
			w.After(late, func() { handle() })
			return nil
		}, true, func(any, bool) {})
		d.after(callTimeout, func() { done(nil, false) })
		return
	}
	w.callStoreDirectly(d, handle, true, done)
}

func (w *PlatformWorld) readRecord() any {
	return w.currentRecord()
}

func (w *PlatformWorld) currentRecord() recordAnswer {
	o := recordAnswer{record: w.record, position: store.Position{Era: w.era, Revision: w.revision}}
	if w.Options.NoEras {
		o.position.Era, o.record.Era = 0, 0
	}
	if w.Options.NoEraStamp {
		o.record.Era = w.era
	}
	return o
}

// writeRecord writes the record if its revision is still rev.
func (w *PlatformWorld) writeRecord(d *PlatformDaemon, r lease.Record, rev uint64) recordAnswer {
	if rev != w.revision {
		return w.currentRecord()
	}
	old := w.record
	w.recordHistory = append(w.recordHistory, storedRecord{at: w.now, record: r, revision: w.revision + 1})
	w.record = r
	w.revision++
	w.trace("record %d by %s: holder %s, previous holders %v, primary %s, term %d, target %q", w.revision, d.Name, r.Holder.ID, r.PreviousHolders, r.Primary, r.Term, r.Target)
	w.sendRecord()
	w.notifyRecordStep(old, r, d)
	o := w.currentRecord()
	o.written = r.Era == o.position.Era
	return o
}

// RestoreStore brings the store back from a copy of the given age, in a new era.
func (w *PlatformWorld) RestoreStore(age time.Duration) {
	t := w.now.Add(-age)
	n := len(w.recordHistory)
	for n > 0 && w.recordHistory[n-1].at.After(t) {
		n--
	}
	w.era, w.record, w.revision, w.recordHistory = w.era+1, lease.Record{}, 0, w.recordHistory[:n]
	if n > 0 {
		w.record, w.revision = w.recordHistory[n-1].record, w.recordHistory[n-1].revision
	}
	for id, at := range w.hostsRegistered {
		if at.After(t) {
			delete(w.hostRenewals, id)
			delete(w.hostRecords, id)
			delete(w.hostsRegistered, id)
		}
	}
	w.trace("the store comes back in era %d: record %d, holder %s, primary %s, term %d, target %q", w.era, w.revision, w.record.Holder.ID, w.record.Primary, w.record.Term, w.record.Target)
	w.sendRecord()
	w.sendHostList()
}

// notifyRecordStep reports the step that a change of the record represents.
func (w *PlatformWorld) notifyRecordStep(old, r lease.Record, d *PlatformDaemon) {
	switch {
	case old.Holder.ID != r.Holder.ID:
		w.notifyTakeoverStep(LeaseAcquired, d)
	case len(r.PreviousHolders) < len(old.PreviousHolders) && r.Target == old.Target:
		w.notifyTakeoverStep(LeaseReleased, d)
	case old.Target == "" && r.Target != "":
		w.notifyTakeoverStep(IntentRecorded, d)
	case old.Target != "" && r.Target == "":
		w.notifyTakeoverStep(PrimaryRecorded, d)
	}
}

// sendRecord sends the record to all daemons that watch the store.
func (w *PlatformWorld) sendRecord() {
	r := w.currentRecord()
	for _, d := range w.Daemons {
		if !w.RejectedByStore[d] {
			w.sendMessage(w.Platform.Node, d.Node, &connection{}, func() {
				d.runInIncarnation(d.incarnation, func() { d.observeRecord(r, time.Time{}) })
			})
		}
	}
}

// validHosts returns the hosts with a valid host record.
func (w *PlatformWorld) validHosts() any {
	var o []membership.Host
	for _, d := range w.Daemons {
		if t, ok := w.hostRenewals[d.host.ID]; ok && w.now.Sub(t) < hostRecordTTL {
			o = append(o, w.hostRecords[d.host.ID])
		}
	}
	return o
}

// sendHostList sends the list of hosts to all daemons that watch the store.
func (w *PlatformWorld) sendHostList() {
	l := w.validHosts().([]membership.Host)
	for _, d := range w.Daemons {
		if !w.RejectedByStore[d] {
			w.sendMessage(w.Platform.Node, d.Node, &connection{}, func() {
				d.runInIncarnation(d.incarnation, func() { d.view.Handle(membership.ListReceived{Hosts: l}, w.now) })
			})
		}
	}
}

// handlePromotionRequest handles a daemon's request to promote a member, and
// reports whether it was accepted. The platform doesn't check the token.
func (w *PlatformWorld) handlePromotionRequest(d *PlatformDaemon, m *PlatformMember, token uint64) bool {
	switch {
	case token < w.highestToken:
		w.addViolation("a promotion came with a lower fencing token")
	case token == w.highestToken && d.Name != w.tokenHolder:
		w.addViolation("two holders requested promotions with one fencing token")
	}
	w.highestToken, w.tokenHolder = max(token, w.highestToken), d.Name
	w.trace("promotion of %s requested by %s with token %d", m.Name, d.Name, token)
	w.notifyTakeoverStep(PromotionRequested, d)
	if !m.alive {
		return false
	}
	w.After(promotionDelay, func() { w.makePrimary(m, d) })
	return true
}

// makePrimary makes a member the primary of a new term. Writes that its log
// doesn't have are rolled back.
func (w *PlatformWorld) makePrimary(m *PlatformMember, d *PlatformDaemon) {
	if !m.alive || m.primary && m == w.Primary() {
		return
	}
	for _, o := range w.Members {
		m.term = max(m.term, o.term)
	}
	m.term++
	m.primary, m.source = true, nil
	m.appendEntry("")
	for _, o := range w.Members {
		if o != m && !o.primary {
			o.source = m
		}
	}
	w.trace("%s is primary of term %d", m.Name, m.term)
	w.promotions = append(w.promotions, promotion{at: w.now, member: m, term: m.term})
	for _, x := range w.writes {
		x.rolledBack = x.rolledBack || !x.inLog(m.log)
	}
	w.notifyTakeoverStep(PromotionEffective, d)
}
