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
	// flood marks the one flooding caller's requests.
	flood    bool
	tolerant bool
	service  time.Duration
	jitter   float64
	// first is when the caller first asked, arrived when it last did.
	first    time.Duration
	arrived  time.Duration
	deadline time.Duration
	returns  int

	tried  map[string]bool
	server int
	// replica tells that the server is a replica.
	replica bool
	owner   *owner
	id      uint64
	// started is when the slot was given.
	started time.Duration
	ended   bool
	repeats int
	// reserved are bytes of the region link.
	reserved int
	// flying tells that the request counts as unanswered in another region.
	flying bool
	// spilled tells that the request was sent on after a refusal for load.
	spilled bool
}

// maxReturns is how often a refused caller comes back in OwnerDeath.
const maxReturns = 3

func (w *world) counts(q *request) bool {
	return q.first >= w.c.Warm && q.first < w.c.Warm+w.c.Duration
}

// send lets an entry choose a member for a request and send it there.
func (w *world) send(q *request) {
	if w.now >= q.deadline {
		w.refused(q, "deadline", retryPause)
		return
	}
	e := w.entries[q.entry]
	s, ok := w.choose(e, q)
	if ok && !w.passes(e, q, s) {
		return
	}
	w.r.Sends++
	if !ok {
		q.tried = map[string]bool{}
		w.repeat(q)
		return
	}
	q.server = s
	e.outstanding[s]++
	e.t.Handle(route.RequestSent{Member: w.servers[s].name}, w.time())
	w.r.member(q, s%domains != w.primary[q.group])
	if w.c.Variant.Split {
		w.arrive(q)
		return
	}
	w.travel(e.domain, w.servers[s].domain, w.classes[q.rank].request, func() { w.arrive(q) })
}

// choose returns the server that an entry picks.
func (w *world) choose(e *entry, q *request) (int, bool) {
	g := &w.groups[q.group]
	if !w.classes[q.rank].write {
		if w.c.Variant.Exponential {
			return w.cheapest(e, q)
		}
		if c, ok := w.read(e, q, g); ok {
			return w.find(q.group, c.Member), true
		}
		return 0, false
	}
	p, ok := e.t.Primary(g.Name)
	if !ok || q.tried[p] {
		return 0, false
	}
	return w.find(q.group, p), true
}

func (w *world) read(e *entry, q *request, g *bundle.Group) (route.Choice, bool) {
	return e.t.ChooseForRead(g, w.demand(q), q.tried, w.time())
}

// demand returns how fresh a read's data must be; positions are virtual time.
func (w *world) demand(q *request) route.Requirement {
	if q.tolerant {
		return route.Requirement{Tolerance: w.classes[q.rank].age, AgeOnly: true}
	}
	return route.Requirement{Floor: logpos.Position{Term: 1, Offset: uint64(w.wrote[[2]int{q.caller, q.group}])}}
}

func (w *world) find(g int, name string) int {
	for i := g * domains; i < (g+1)*domains; i++ {
		if w.servers[i].name == name {
			return i
		}
	}
	return -1
}

// arrive brings a request to the owner of its server.
func (w *world) arrive(q *request) {
	i := q.server
	if w.c.Variant.Split {
		i = q.entry*len(w.servers) + q.server
	}
	o := w.owners[i]
	if o.dead {
		w.back(q, func() { w.repeat(q) })
		return
	}
	ok, wait := w.serves(q)
	if !ok {
		w.back(q, func() { w.moved(q) })
		return
	}
	if wait > 0 {
		w.after(wait, func() { w.enter(q, o) })
		return
	}
	w.enter(q, o)
}

// serves reports whether the server may serve a request, perhaps after a short
// wait.
func (w *world) serves(q *request) (bool, time.Duration) {
	if q.server%domains == w.primary[q.group] {
		return !w.down[q.group], 0
	}
	if w.classes[q.rank].write {
		return false, 0
	}
	l := w.lag(q.server)
	if q.tolerant {
		return l <= w.classes[q.rank].age, 0
	}
	behind := w.wrote[[2]int{q.caller, q.group}] - (w.now - l)
	return l <= replicaAge && behind <= replicaWait, max(behind, 0)
}

// moved handles an owner's answer that its server can't serve the request.
func (w *world) moved(q *request) {
	n := w.servers[q.server].name
	e := w.entries[q.entry]
	q.tried[n] = true
	if w.classes[q.rank].write || w.down[q.group] {
		q.tried = map[string]bool{}
		if !w.down[q.group] {
			w.teach(e, q.group)
		}
		w.repeat(q)
		return
	}
	e.t.Handle(route.ReadDeclined{Member: n, Requirement: w.demand(q)}, w.time())
	w.send(q)
}

// retryAfter is the come-back time while no owner or primary answers.
const retryAfter = 500 * time.Millisecond

// back brings an answer without rows to the entry.
func (w *world) back(q *request, do func()) {
	e := w.entries[q.entry]
	e.outstanding[q.server]--
	w.settle(e, q, 0)
	e.t.Handle(route.RequestEnded{Member: w.servers[q.server].name}, w.time())
	if w.c.Variant.Split {
		do()
		return
	}
	w.travel(w.servers[q.server].domain, e.domain, 200, do)
}

// enter puts a request into an owner's queue.
func (w *world) enter(q *request, o *owner) {
	w.seq++
	q.id, q.owner = w.seq, o
	o.requests[q.id] = q
	n := "all"
	if !w.c.Variant.OneCaller {
		n = string(rune('0' + q.caller))
	}
	a := admission.Arrived{ID: q.id, Rank: q.rank, Caller: n, Deadline: epoch.Add(q.deadline), Jitter: q.jitter}
	w.handle(o, a)
	d := 0
	for r := range bundle.Rank(bundle.RankCount) {
		d += o.q.Depth(r)
	}
	o.peak = max(o.peak, d)
	w.r.PeakQueue = max(w.r.PeakQueue, d)
}

// handle feeds an owner's queue and does what it asks for.
func (w *world) handle(o *owner, e admission.Event) {
	for _, a := range o.q.Handle(e, w.time()) {
		switch x := a.(type) {
		case admission.Start:
			w.begin(o.requests[x.ID])
		case admission.Refuse:
			q := o.requests[x.ID]
			delete(o.requests, x.ID)
			w.back(q, func() { w.overloaded(q, x) })
		}
	}
}

// begin sends a statement to its server.
func (w *world) begin(q *request) {
	q.started = w.now
	s := w.servers[q.server]
	d := local
	if w.c.Variant.Split {
		d = w.delay(w.entries[q.entry].domain, s.domain)
	}
	w.after(d, func() {
		s.line = append(s.line, func() { w.serve(q, s) })
		w.next(s)
	})
}

// next runs the statements that wait inside a server.
func (w *world) next(s *server) {
	for s.busy < w.c.Fleet.Slots && len(s.line) > 0 {
		f := s.line[0]
		s.line = s.line[1:]
		s.busy++
		f()
	}
}

func (w *world) serve(q *request, s *server) {
	w.after(q.service, func() {
		s.busy--
		w.r.slot(w, q)
		w.finish(q)
		w.next(s)
	})
}

// finish frees the slot and answers.
func (w *world) finish(q *request) {
	o := q.owner
	if o.dead {
		return
	}
	delete(o.requests, q.id)
	d := time.Duration(0)
	if w.c.Variant.Split {
		d = w.delay(w.entries[q.entry].domain, w.servers[q.server].domain)
	}
	w.after(d, func() { w.handle(o, admission.Finished{ID: q.id}) })
	w.after(w.majority(q), func() { w.answer(q) })
}

// majority returns how long a write waits for a second member.
func (w *world) majority(q *request) time.Duration {
	if !w.classes[q.rank].write {
		return 0
	}
	b := farBehind
	for i := q.group * domains; i < (q.group+1)*domains; i++ {
		if i != q.server {
			b = min(b, w.lag(i)+2*w.delay(w.servers[i].domain, w.servers[q.server].domain))
		}
	}
	return b
}

// answer brings the rows to the entry.
func (w *world) answer(q *request) {
	e := w.entries[q.entry]
	e.outstanding[q.server]--
	e.t.Handle(route.RequestEnded{Member: w.servers[q.server].name}, w.time())
	w.travel(w.servers[q.server].domain, e.domain, w.classes[q.rank].reply, func() {
		if q.ended {
			return
		}
		q.ended = true
		if w.classes[q.rank].write {
			w.wrote[[2]int{q.caller, q.group}] = w.now
		}
		w.succeeded(e, q)
		w.r.done(w, q)
	})
}

// refused tells the caller that its request was not run.
func (w *world) refused(q *request, why string, retry time.Duration) {
	if w.c.Scenario == OwnerDeath && q.returns < maxReturns {
		q.returns++
		q.tried = map[string]bool{}
		w.after(retry, func() {
			q.arrived, q.deadline = w.now, w.now+w.classes[q.rank].limit
			w.send(q)
		})
		return
	}
	w.r.refused(w, q, why, retry)
}
