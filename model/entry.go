package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Timing of an entry.
const (
	// retryBackoff is the pause before a request is sent again.
	retryBackoff = 30 * time.Millisecond
	// answerGrace is how long after the deadline an entry still waits for an
	// owner.
	answerGrace = 2 * time.Second
)

// handleCallerRequest handles a request from a caller.
func (d *Daemon) handleCallerRequest(r request, reply func(any)) {
	r.deadline = d.world.now.Add(requestTimeout)
	if !r.read {
		d.world.notifyWriteStep(Classified, r.Statement)
	}
	if r.read && !r.floorKnown {
		d.queryFloor(r, 0, reply)
		return
	}
	d.sendToOwner(r, 0, reply)
}

// sendToOwner sends a request to the owner of a member. While the answer is
// NotRun, the request is sent again until its deadline.
func (d *Daemon) sendToOwner(r request, n int, reply func(any)) {
	m := d.selectMember(r, n)
	retry := func() {
		if d.world.now.Add(retryBackoff).After(r.deadline) {
			reply(ownerAnswer{outcome: NotRun, requestID: r.ID})
			return
		}
		d.after(retryBackoff, func() { d.sendToOwner(r, n+1, reply) })
	}
	o := d.world.Owner(d, m)
	if o == nil {
		retry()
		return
	}
	r.member = m.Name
	if !r.read {
		d.world.notifyWriteStep(SentToOwner, r.Statement)
	}
	d.world.startCall(&call{
		from: d.Node, to: o.Node, purpose: "statement", timeout: r.deadline.Sub(d.world.now) + answerGrace,
		callerRequest: true, probed: true,
		handle: func(answer func(any)) { o.handleEntryRequest(r, answer) },
		done: func(v any, ok bool) {
			if !ok {
				d.handleLostOwner(o, r, retry, reply)
				return
			}
			d.view.Handle(membership.HostAnswered{ID: o.Name}, d.world.now)
			x := v.(ownerAnswer)
			if x.primary != "" {
				d.knownPrimary = x.primary
			}
			if x.outcome == NotRun {
				retry()
				return
			}
			reply(x)
		},
	})
}

// handleLostOwner handles an owner that gave no answer: a read is repeated, a
// write is in doubt.
func (d *Daemon) handleLostOwner(o *Daemon, r request, retry func(), reply func(any)) {
	d.view.Handle(membership.LinkFailed{ID: o.Name}, d.world.now)
	if r.read || d.world.Options.RetryInDoubt {
		retry()
		return
	}
	reply(ownerAnswer{outcome: InDoubt, requestID: r.ID})
}

// selectMember selects the member for attempt n of a request: the primary for a
// write, a random member for a read. Later attempts alternate between the
// primary and other members, in case the entry's view is outdated.
func (d *Daemon) selectMember(r request, n int) *Member {
	if r.read && n == 0 {
		return d.world.Members[d.world.random.IntN(len(d.world.Members))]
	}
	if m := d.world.Member(d.knownPrimary); m != nil && n%2 == 0 {
		return m
	}
	return d.world.Members[n%len(d.world.Members)]
}
