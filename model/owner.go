package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// Timing and sizes of an owner.
const (
	slots = 3
	// deadline bounds a request from its arrival to its answer.
	deadline    = 2 * time.Second
	cancelGrace = 500 * time.Millisecond
	connectCost = 12 * time.Millisecond
	// primaryWait is how long a request waits for a primary to be known.
	primaryWait = 300 * time.Millisecond
	// maxReplicaAge is the greatest age of data of reads on replicas.
	maxReplicaAge = 10 * time.Second
)

// Outcome is what a caller is told.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	InDoubt Outcome = "in-doubt"
)

// request is what an entry asks of an owner.
type request struct {
	Statement
	member string
	read   bool
	// floorKnown tells that the session knows its floor.
	floorKnown bool
	floor      logpos.Position
	expected   Statement
	deadline   time.Time
}

// ownerAnswer is the owner's answer.
type ownerAnswer struct {
	outcome  Outcome
	position logpos.Position
	// found is what a read gave, and echo the request that it answers.
	found     bool
	requestID string
	// primary is the primary that the owner knows of.
	primary string
}

// server is an owned backend server.
type server struct {
	queue *admission.Queue
	// waiting maps waiting requests to what they do with their slot; false
	// refuses them.
	waiting map[uint64]func(bool)
	lastID  uint64
	// idle are the open connections that are not in use, and since when.
	idle []idleConnection
	// opened counts the connections that were ever opened.
	opened int
}

// idleConnection is an idle connection to a backend server.
type idleConnection struct {
	purpose  string
	lastUsed time.Time
}

func (d *Daemon) server(m string) *server {
	s := d.servers[m]
	if s == nil {
		s = &server{queue: admission.New(admission.Config{Slots: slots}), waiting: map[uint64]func(bool){}}
		d.servers[m] = s
	}
	return s
}

// admit waits for a slot.
func (d *Daemon) admit(s *server, r request, start func(id uint64, ok bool)) {
	s.lastID++
	id := s.lastID
	s.waiting[id] = func(ok bool) { start(id, ok) }
	d.after(r.deadline.Sub(d.w.now)+time.Millisecond, func() { d.handleQueueEvent(s, admission.Ticked{}) })
	d.handleQueueEvent(s, admission.Arrived{ID: id, Rank: bundle.Urgent, Caller: "caller", Deadline: r.deadline, Jitter: d.w.random.Float64()})
}

func (d *Daemon) handleQueueEvent(s *server, e admission.Event) {
	for _, a := range s.queue.Handle(e, d.w.now) {
		switch x := a.(type) {
		case admission.Start:
			f := s.waiting[x.ID]
			delete(s.waiting, x.ID)
			f(true)
		case admission.Refuse:
			f := s.waiting[x.ID]
			delete(s.waiting, x.ID)
			f(false)
		}
	}
}

// serve runs a request on an owned server.
func (d *Daemon) serve(r request, answer func(any)) {
	answered := false
	reply := func(v ownerAnswer) {
		if !answered {
			answered = true
			v.primary = d.group.View(d.w.now).Primary
			answer(v)
		}
	}
	if r.read && d.group.Serves(failover.Read{Member: r.member, Floor: r.floor, MaxAge: maxReplicaAge}, d.w.now) {
		d.enqueue(r, reply)
		return
	}
	w := d.runWhen(func(g *failover.Group) bool {
		v := g.View(d.w.now)
		if g.ReplacingPrimary() {
			return false
		}
		return v.Primary != "" && v.Primary != r.member || v.Primary == r.member && v.Confirmed && !v.OlderThan(r.floor)
	}, func() {
		if d.group.View(d.w.now).Primary != r.member {
			reply(ownerAnswer{outcome: NotRun})
			return
		}
		d.inFlight++
		d.enqueue(r, func(v ownerAnswer) {
			d.inFlight--
			reply(v)
		})
	})
	d.after(primaryWait, func() {
		if !w.done {
			w.done = true
			reply(ownerAnswer{outcome: NotRun})
		}
	})
}

// enqueue queues a request and takes a connection for it.
func (d *Daemon) enqueue(r request, reply func(ownerAnswer)) {
	s := d.server(r.member)
	if !r.read {
		d.w.notifyWriteStep(Queued, r.Statement)
	}
	d.admit(s, r, func(id uint64, ok bool) {
		if !ok {
			reply(ownerAnswer{outcome: NotRun})
			return
		}
		c, cost := s.takeConnection()
		release := func(reusable bool) {
			if reusable {
				s.idle = append(s.idle, idleConnection{purpose: c, lastUsed: d.w.now})
			}
			d.handleQueueEvent(s, admission.Finished{ID: id})
		}
		d.after(cost, func() {
			if r.read {
				d.runRead(r, c, release, reply)
				return
			}
			d.w.notifyWriteStep(ConnectionTaken, r.Statement)
			newTransaction(d, r, release, reply).forward(c)
		})
	})
}

// runRead runs a read.
func (d *Daemon) runRead(r request, purpose string, release func(bool), reply func(ownerAnswer)) {
	m := d.w.Member(r.member)
	d.w.startCall(&call{
		from: d.Node, to: m.Node, purpose: purpose, timeout: r.deadline.Sub(d.w.now) + cancelGrace,
		callerRequest: true,
		handle:        func(answer func(any)) { m.read(r.ID, r.expected, answer) },
		done: func(v any, ok bool) {
			release(ok)
			x, _ := v.(result)
			if !ok {
				reply(ownerAnswer{outcome: NotRun})
				return
			}
			reply(ownerAnswer{outcome: Done, found: x.found, requestID: x.requestID})
		},
	})
}
