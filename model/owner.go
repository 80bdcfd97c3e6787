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
	// replicaAge is the greatest age of data of reads on replicas.
	replicaAge = 10 * time.Second
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
	// known tells that the session knows its floor.
	known    bool
	floor    logpos.Position
	want     Statement
	deadline time.Time
}

// verdict is the owner's answer.
type verdict struct {
	outcome  Outcome
	position logpos.Position
	// found is what a read gave, and echo the request that it answers.
	found bool
	echo  string
	// primary is the primary that the owner knows of.
	primary string
}

// server is an owned backend server.
type server struct {
	q *admission.Queue
	// start maps waiting requests to what they do with their slot; false
	// refuses them.
	start map[uint64]func(bool)
	next  uint64
	// idle are the open connections that are not in use, and since when.
	idle []pooled
	// opened counts the connections that were ever opened.
	opened int
}

// pooled is an idle connection to a backend server.
type pooled struct {
	use  string
	used time.Time
}

func (d *Daemon) server(m string) *server {
	s := d.servers[m]
	if s == nil {
		s = &server{q: admission.New(admission.Config{Slots: slots}), start: map[uint64]func(bool){}}
		d.servers[m] = s
	}
	return s
}

// admit waits for a slot.
func (d *Daemon) admit(s *server, r request, start func(id uint64, ok bool)) {
	s.next++
	id := s.next
	s.start[id] = func(ok bool) { start(id, ok) }
	d.after(r.deadline.Sub(d.w.now)+time.Millisecond, func() { d.queue(s, admission.Ticked{}) })
	d.queue(s, admission.Arrived{ID: id, Rank: bundle.Urgent, Caller: "caller", Deadline: r.deadline, Jitter: d.w.r.Float64()})
}

func (d *Daemon) queue(s *server, e admission.Event) {
	for _, a := range s.q.Handle(e, d.w.now) {
		switch x := a.(type) {
		case admission.Start:
			f := s.start[x.ID]
			delete(s.start, x.ID)
			f(true)
		case admission.Refuse:
			f := s.start[x.ID]
			delete(s.start, x.ID)
			f(false)
		}
	}
}

// serve runs a request on an owned server.
func (d *Daemon) serve(r request, answer func(any)) {
	over := false
	reply := func(v verdict) {
		if !over {
			over = true
			v.primary = d.core.View(d.w.now).Primary
			answer(v)
		}
	}
	if r.read && d.core.MayServe(failover.ReplicaRead{Member: r.member, Floor: r.floor, MaxAge: replicaAge}, d.w.now) {
		d.enter(r, reply)
		return
	}
	w := d.await(func(g *failover.Group) bool {
		v := g.View(d.w.now)
		if g.ReplacingPrimary() {
			return false
		}
		return v.Primary != "" && v.Primary != r.member || v.Primary == r.member && v.Confirmed && !v.OlderThan(r.floor)
	}, func() {
		if d.core.View(d.w.now).Primary != r.member {
			reply(verdict{outcome: NotRun})
			return
		}
		d.inFlight++
		d.enter(r, func(v verdict) {
			d.inFlight--
			reply(v)
		})
	})
	d.after(primaryWait, func() {
		if !w.over {
			w.over = true
			reply(verdict{outcome: NotRun})
		}
	})
}

// enter queues a request and takes a connection for it.
func (d *Daemon) enter(r request, reply func(verdict)) {
	s := d.server(r.member)
	if !r.read {
		d.w.reach(Queued, r.Statement)
	}
	d.admit(s, r, func(id uint64, ok bool) {
		if !ok {
			reply(verdict{outcome: NotRun})
			return
		}
		c, cost := s.take()
		free := func(whole bool) {
			if whole {
				s.idle = append(s.idle, pooled{use: c, used: d.w.now})
			}
			d.queue(s, admission.Finished{ID: id})
		}
		d.after(cost, func() {
			if r.read {
				d.read(r, c, free, reply)
				return
			}
			d.w.reach(Connected, r.Statement)
			newTransaction(d, r, free, reply).forward(c)
		})
	})
}

// read runs a read.
func (d *Daemon) read(r request, use string, free func(bool), reply func(verdict)) {
	m := d.w.Member(r.member)
	d.w.do(&call{
		from: d.Node, to: m.Node, use: use, timeout: r.deadline.Sub(d.w.now) + cancelGrace,
		caller: true,
		handle: func(answer func(any)) { m.read(r.ID, r.want, answer) },
		done: func(v any, ok bool) {
			free(ok)
			x, _ := v.(result)
			if !ok {
				reply(verdict{outcome: NotRun})
				return
			}
			reply(verdict{outcome: Done, found: x.found, echo: x.echo})
		},
	})
}
