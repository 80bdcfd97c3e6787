package experiment

import (
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/route"
)

// request is a caller's request.
type request struct {
	rank   bundle.Rank
	group  int
	caller int
	entry  int
	// flooding marks the requests of the one flooding caller.
	flooding bool
	// tolerant marks a read that accepts data of an age up to its rank's
	// tolerance.
	tolerant    bool
	serviceTime time.Duration
	jitter      float64
	// firstArrival and lastArrival are the times of the caller's first and last
	// attempt.
	firstArrival  time.Duration
	lastArrival   time.Duration
	deadline      time.Duration
	callerRetries int

	// tried holds the members that did not serve the request.
	tried  map[string]bool
	server int
	// onReplica is set if the server is a replica.
	onReplica bool
	owner     *owner
	id        uint64
	// slotAcquiredAt is the time when the request got its slot.
	slotAcquiredAt time.Duration
	ended          bool
	retries        int
	// reservedBytes is the amount reserved from the budget of the region link.
	reservedBytes int
	// inFlight is set while the request counts as in flight to another region.
	inFlight bool
	// spilled is set if the request was sent to another server after a refusal
	// for load.
	spilled bool
}

// maxCallerRetries bounds how often a refused caller retries in OwnerDeath.
const maxCallerRetries = 3

func (w *simulation) isReported(q *request) bool {
	return q.firstArrival >= w.config.WarmUp && q.firstArrival < w.config.WarmUp+w.config.Duration
}

// sendRequest has the request's entry select a member and send the request
// there.
func (w *simulation) sendRequest(q *request) {
	if w.now >= q.deadline {
		w.refuseRequest(q, "deadline", retryDelay)
		return
	}
	e := w.entries[q.entry]
	s, ok := w.selectServer(e, q)
	if ok && !w.checkBudgets(e, q, s) {
		return
	}
	w.report.RequestsSent++
	if !ok {
		q.tried = map[string]bool{}
		w.retryRequest(q)
		return
	}
	q.server = s
	e.outstanding[s]++
	e.table.Handle(route.RequestSent{Member: w.servers[s].name}, w.currentTime())
	w.report.recordSelection(q, s%domainCount != w.primaryDomain[q.group])
	if w.config.Variant.Split {
		w.handleArrivalAtOwner(q)
		return
	}
	w.sendMessage(e.domain, w.servers[s].domain, w.rankLoads[q.rank].requestBytes, func() { w.handleArrivalAtOwner(q) })
}

// selectServer returns the server that an entry selects for a request.
func (w *simulation) selectServer(e *entry, q *request) (int, bool) {
	g := &w.groups[q.group]
	if !w.rankLoads[q.rank].write {
		if w.config.Variant.Exponential {
			return w.leastCostServer(e, q)
		}
		if c, ok := w.selectReadMember(e, q, g); ok {
			return w.serverIndex(q.group, c.Member), true
		}
		return 0, false
	}
	p, ok := e.table.Primary(g.Name)
	if !ok || q.tried[p] {
		return 0, false
	}
	return w.serverIndex(q.group, p), true
}

func (w *simulation) selectReadMember(e *entry, q *request, g *bundle.Group) (route.Choice, bool) {
	return e.table.ChooseForRead(g, w.readRequirement(q), q.tried, w.currentTime())
}

// readRequirement returns the staleness that a read accepts. Log positions are
// virtual times.
func (w *simulation) readRequirement(q *request) route.Requirement {
	if q.tolerant {
		return route.Requirement{Tolerance: w.rankLoads[q.rank].tolerance, AgeOnly: true}
	}
	return route.Requirement{Floor: logpos.Position{Term: 1, Offset: uint64(w.lastWrite[[2]int{q.caller, q.group}])}}
}

func (w *simulation) serverIndex(g int, name string) int {
	for i := g * domainCount; i < (g+1)*domainCount; i++ {
		if w.servers[i].name == name {
			return i
		}
	}
	return -1
}

// handleArrivalAtOwner handles the arrival of a request at the owner of its
// server.
func (w *simulation) handleArrivalAtOwner(q *request) {
	i := q.server
	if w.config.Variant.Split {
		i = q.entry*len(w.servers) + q.server
	}
	o := w.owners[i]
	if o.killed {
		w.returnToEntry(q, func() { w.retryRequest(q) })
		return
	}
	ok, wait := w.canServe(q)
	if !ok {
		w.returnToEntry(q, func() { w.handleDeclined(q) })
		return
	}
	if wait > 0 {
		w.schedule(wait, func() { w.enqueueRequest(q, o) })
		return
	}
	w.enqueueRequest(q, o)
}

// canServe reports whether the server can serve a request, and how long the
// request must wait for the replica to catch up.
func (w *simulation) canServe(q *request) (bool, time.Duration) {
	if q.server%domainCount == w.primaryDomain[q.group] {
		return !w.primaryDown[q.group], 0
	}
	if w.rankLoads[q.rank].write {
		return false, 0
	}
	l := w.replicationLag(q.server)
	if q.tolerant {
		return l <= w.rankLoads[q.rank].tolerance, 0
	}
	behind := w.lastWrite[[2]int{q.caller, q.group}] - (w.now - l)
	return l <= maxReplicaAge && behind <= replicaCatchUpTime, max(behind, 0)
}

// handleDeclined handles an owner's answer that its server can't serve the
// request.
func (w *simulation) handleDeclined(q *request) {
	n := w.servers[q.server].name
	e := w.entries[q.entry]
	q.tried[n] = true
	if w.rankLoads[q.rank].write || w.primaryDown[q.group] {
		q.tried = map[string]bool{}
		if !w.primaryDown[q.group] {
			w.updateView(e, q.group)
		}
		w.retryRequest(q)
		return
	}
	e.table.Handle(route.ReadDeclined{Member: n, Requirement: w.readRequirement(q)}, w.currentTime())
	w.sendRequest(q)
}

// retryAfter is the shortest retry-after interval of a refusal while no owner
// or primary answers; jitter adds up to as much again.
const retryAfter = 500 * time.Millisecond

// returnToEntry sends an answer without rows, of 200 bytes, to the entry.
func (w *simulation) returnToEntry(q *request, f func()) {
	e := w.entries[q.entry]
	e.outstanding[q.server]--
	w.releaseBudgets(e, q, 0)
	e.table.Handle(route.RequestEnded{Member: w.servers[q.server].name}, w.currentTime())
	if w.config.Variant.Split {
		f()
		return
	}
	w.sendMessage(w.servers[q.server].domain, e.domain, 200, f)
}

// enqueueRequest adds a request to an owner's queue.
func (w *simulation) enqueueRequest(q *request, o *owner) {
	w.seq++
	q.id, q.owner = w.seq, o
	o.requests[q.id] = q
	n := "all"
	if !w.config.Variant.OneCaller {
		n = string(rune('0' + q.caller))
	}
	a := admission.Arrived{ID: q.id, Rank: q.rank, Caller: n, Deadline: startTime.Add(q.deadline), Jitter: q.jitter}
	w.handleQueueEvent(o, a)
	d := 0
	for r := range bundle.Rank(bundle.RankCount) {
		d += o.queue.Depth(r)
	}
	o.peakDepth = max(o.peakDepth, d)
	w.report.PeakQueue = max(w.report.PeakQueue, d)
}

// handleQueueEvent passes an event to an owner's queue and performs the actions
// that it returns.
func (w *simulation) handleQueueEvent(o *owner, e admission.Event) {
	for _, a := range o.queue.Handle(e, w.currentTime()) {
		switch x := a.(type) {
		case admission.Start:
			w.startStatement(o.requests[x.ID])
		case admission.Refuse:
			q := o.requests[x.ID]
			delete(o.requests, x.ID)
			w.returnToEntry(q, func() { w.handleRefusal(q, x) })
		}
	}
}

// startStatement sends a statement to its server.
func (w *simulation) startStatement(q *request) {
	q.slotAcquiredAt = w.now
	s := w.servers[q.server]
	d := localDelay
	if w.config.Variant.Split {
		d = w.networkDelay(w.entries[q.entry].domain, s.domain)
	}
	w.schedule(d, func() {
		s.waiting = append(s.waiting, func() { w.executeStatement(q, s) })
		w.runWaiting(s)
	})
}

// runWaiting starts statements that wait inside a server while it has free
// slots.
func (w *simulation) runWaiting(s *server) {
	for s.running < w.config.Fleet.Slots && len(s.waiting) > 0 {
		f := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		f()
	}
}

func (w *simulation) executeStatement(q *request, s *server) {
	w.schedule(q.serviceTime, func() {
		s.running--
		w.report.recordSlotTime(w, q)
		w.finishStatement(q)
		w.runWaiting(s)
	})
}

// finishStatement frees the slot and sends the reply, for a write once a second
// member has it.
func (w *simulation) finishStatement(q *request) {
	o := q.owner
	if o.killed {
		return
	}
	delete(o.requests, q.id)
	d := time.Duration(0)
	if w.config.Variant.Split {
		d = w.networkDelay(w.entries[q.entry].domain, w.servers[q.server].domain)
	}
	w.schedule(d, func() { w.handleQueueEvent(o, admission.Finished{ID: q.id}) })
	w.schedule(w.majorityWait(q), func() { w.sendReply(q) })
}

// majorityWait returns how long a write waits until a second member has it.
func (w *simulation) majorityWait(q *request) time.Duration {
	if !w.rankLoads[q.rank].write {
		return 0
	}
	b := longLag
	for i := q.group * domainCount; i < (q.group+1)*domainCount; i++ {
		if i != q.server {
			b = min(b, w.replicationLag(i)+2*w.networkDelay(w.servers[i].domain, w.servers[q.server].domain))
		}
	}
	return b
}

// sendReply sends the rows to the entry.
func (w *simulation) sendReply(q *request) {
	e := w.entries[q.entry]
	e.outstanding[q.server]--
	e.table.Handle(route.RequestEnded{Member: w.servers[q.server].name}, w.currentTime())
	w.sendMessage(w.servers[q.server].domain, e.domain, w.rankLoads[q.rank].replyBytes, func() {
		if q.ended {
			return
		}
		q.ended = true
		if w.rankLoads[q.rank].write {
			w.lastWrite[[2]int{q.caller, q.group}] = w.now
		}
		w.recordSuccessInBudgets(e, q)
		w.report.recordDone(w, q)
	})
}

// refuseRequest reports to the caller that its request was not run. In
// OwnerDeath the caller retries.
func (w *simulation) refuseRequest(q *request, reason string, retry time.Duration) {
	if w.config.Scenario == OwnerDeath && q.callerRetries < maxCallerRetries {
		q.callerRetries++
		q.tried = map[string]bool{}
		w.schedule(retry, func() {
			q.lastArrival, q.deadline = w.now, w.now+w.rankLoads[q.rank].timeLimit
			w.sendRequest(q)
		})
		return
	}
	w.report.recordRefused(w, q, reason, retry)
}
