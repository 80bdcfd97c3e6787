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
	slotsPerMember = 3
	// requestTimeout is the time that a request has from its arrival to its
	// answer.
	requestTimeout = 2 * time.Second
	// cancelGrace is how long after the deadline an owner still waits for a
	// member.
	cancelGrace = 500 * time.Millisecond
	// connectCost is how long opening a connection takes.
	connectCost = 12 * time.Millisecond
	// primaryWait is how long a request waits for a confirmed primary.
	primaryWait = 300 * time.Millisecond
	// memberDrainTime is how long a draining member may get new work, and newWorkTime how long
	// it gets it after its owner knows.
	memberDrainTime = 6 * time.Second
	newWorkTime     = 4 * time.Second
	// maxReplicaAge is the maximum age of the data in a read on a replica.
	maxReplicaAge = 10 * time.Second
)

// Outcome is the outcome of a request, as its caller receives it.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	InDoubt Outcome = "in-doubt"
)

// request is a request from an entry to an owner.
type request struct {
	Statement
	member string
	read   bool
	// floorKnown means that the session has a floor.
	floorKnown bool
	floor      logpos.Position
	// expected is the write that a read should show.
	expected Statement
	deadline time.Time
}

// ownerAnswer is an owner's answer to a request.
type ownerAnswer struct {
	outcome  Outcome
	position logpos.Position
	// found is the result of a read; requestID is the request that is answered.
	found     bool
	requestID string
	// primary is the primary in the owner's view.
	primary string
}

// server is a backend server that the daemon owns.
type server struct {
	queue *admission.Queue
	// callbacks maps the IDs of queued requests to functions that are called
	// with true when the request gets a slot and with false when it is refused.
	callbacks map[uint64]func(bool)
	lastID    uint64
	// idle are the open connections that are not in use.
	idle []idleConnection
	// openedCount counts all connections that were opened.
	openedCount int
}

// idleConnection is an idle connection to a backend server.
type idleConnection struct {
	purpose  string
	lastUsed time.Time
}

func (d *Daemon) server(m string) *server {
	s := d.servers[m]
	if s == nil {
		s = &server{queue: admission.New(admission.Config{Slots: slotsPerMember}), callbacks: map[uint64]func(bool){}}
		d.servers[m] = s
	}
	return s
}

// enqueueRequest queues a request and calls start when it gets a slot or is
// refused.
func (d *Daemon) enqueueRequest(s *server, r request, start func(id uint64, ok bool)) {
	s.lastID++
	id := s.lastID
	s.callbacks[id] = func(ok bool) { start(id, ok) }
	d.after(r.deadline.Sub(d.world.now)+time.Millisecond, func() { d.handleQueueEvent(s, admission.Ticked{}) })
	d.handleQueueEvent(s, admission.Arrived{ID: id, Rank: bundle.Urgent, Caller: "caller", Deadline: r.deadline, Jitter: d.world.random.Float64()})
}

// handleQueueEvent passes an event to the queue, and starts and refuses
// requests accordingly.
func (d *Daemon) handleQueueEvent(s *server, e admission.Event) {
	for _, a := range s.queue.Handle(e, d.world.now) {
		switch x := a.(type) {
		case admission.Start:
			f := s.callbacks[x.ID]
			delete(s.callbacks, x.ID)
			f(true)
		case admission.Refuse:
			f := s.callbacks[x.ID]
			delete(s.callbacks, x.ID)
			f(false)
		}
	}
}

// handleEntryRequest runs a request on an owned server. Unless the member can
// serve the read itself, the request waits up to primaryWait for the member to
// be the confirmed primary.
func (d *Daemon) handleEntryRequest(r request, answer func(any)) {
	answered := false
	reply := func(v ownerAnswer) {
		if !answered {
			answered = true
			v.primary = d.group.View(d.world.now).Primary
			answer(v)
		}
	}
	if _, draining := d.drains.Age(r.member, d.world.now); !draining && r.read && d.group.MayServe(failover.ReplicaRead{Member: r.member, Floor: r.floor, MaxAge: maxReplicaAge}, d.world.now) {
		d.runWhenAdmitted(r, reply)
		return
	}
	w := d.runWhen(func(g *failover.Group) bool {
		v := g.View(d.world.now)
		if g.ReplacingPrimary() {
			return false
		}
		return v.Primary != "" && v.Primary != r.member || v.Primary == r.member && v.Confirmed && !v.OlderThan(r.floor)
	}, func() {
		if d.group.View(d.world.now).Primary != r.member {
			reply(ownerAnswer{outcome: NotRun})
			return
		}
		d.inFlight++
		d.runWhenAdmitted(r, func(v ownerAnswer) {
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

// mayStart reports whether new work may be sent to a member.
func (d *Daemon) mayStart(member string) bool {
	return d.world.Options.NoDrainBound || d.drains.MayStart(member, d.world.now)
}

// runWhenAdmitted runs a request once it has a slot and a connection.
func (d *Daemon) runWhenAdmitted(r request, reply func(ownerAnswer)) {
	s := d.server(r.member)
	if !r.read {
		d.world.notifyWriteStep(Queued, r.Statement)
	}
	d.enqueueRequest(s, r, func(id uint64, ok bool) {
		if !ok {
			reply(ownerAnswer{outcome: NotRun})
			return
		}
		if !d.mayStart(r.member) {
			d.handleQueueEvent(s, admission.Finished{ID: id})
			reply(ownerAnswer{outcome: NotRun})
			return
		}
		c, cost := s.takeConnection()
		release := func(reusable bool) {
			if reusable {
				s.idle = append(s.idle, idleConnection{purpose: c, lastUsed: d.world.now})
			}
			d.handleQueueEvent(s, admission.Finished{ID: id})
		}
		d.after(cost, func() {
			if r.read {
				d.runRead(r, c, release, reply)
				return
			}
			d.world.notifyWriteStep(ConnectionTaken, r.Statement)
			newTransaction(d, r, release, reply).forward(c)
		})
	})
}

// runRead sends a read to its member.
func (d *Daemon) runRead(r request, purpose string, release func(bool), reply func(ownerAnswer)) {
	m := d.world.Member(r.member)
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: purpose, timeout: r.deadline.Sub(d.world.now) + cancelGrace,
		callerRequest: true,
		handle:        func(answer func(any)) { m.executeRead(r.ID, r.expected, answer) },
		done: func(v any, ok bool) {
			release(ok)
			x, _ := v.(memberAnswer)
			if !ok {
				reply(ownerAnswer{outcome: NotRun})
				return
			}
			reply(ownerAnswer{outcome: Done, found: x.found, requestID: x.requestID})
		},
	})
}
