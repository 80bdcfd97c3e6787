package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
)

// controlAnswer is a member's answer to a poll or to a control request.
type controlAnswer struct {
	ok     bool
	status failover.Status
}

// controlMember runs f at a member and passes the member's status to done. If
// the open connection gives no answer, a new one is tried. Answers that are
// late or duplicate are passed to done too.
func (d *Daemon) controlMember(m *Member, f func() bool, done func(failover.Status, bool)) {
	if d.world.Options.NoFailover {
		return
	}
	d.sendControlRequest(m, f, done, d.connections[m.Name+" control"] != nil)
}

func (d *Daemon) sendControlRequest(m *Member, f func() bool, done func(failover.Status, bool), retry bool) {
	end := func(v any) {
		r, _ := v.(controlAnswer)
		done(r.status, r.ok)
	}
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: "control", timeout: controlTimeout, onLateAnswer: end,
		handle: func(answer func(any)) {
			ok := f()
			answer(controlAnswer{ok: ok, status: m.status()})
		},
		done: func(v any, ok bool) {
			if !ok && retry {
				d.sendControlRequest(m, f, done, false)
				return
			}
			end(v)
		},
	})
}

// pollMember requests a member's status repeatedly.
func (d *Daemon) pollMember(m *Member) {
	d.pollCount[m.Name]++
	d.sendPoll(m, d.connections[m.Name+" status"] != nil)
}

// sendPoll requests a member's status once, and with retry once more on a new
// connection.
func (d *Daemon) sendPoll(m *Member, retry bool) {
	t := d.world.now
	report := func(v any) {
		d.handleFailoverEvent(failover.StatusReported{Member: m.Name, Status: v.(controlAnswer).status, RequestedAt: t})
	}
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: "status", timeout: controlTimeout, onLateAnswer: report,
		handle: func(answer func(any)) { answer(controlAnswer{ok: true, status: m.status()}) },
		done: func(v any, ok bool) {
			switch {
			case ok:
				report(v)
				d.schedulePoll(m, pollInterval, true)
			case retry:
				d.sendPoll(m, false)
			default:
				d.handleFailoverEvent(failover.PollFailed{Member: m.Name})
				d.schedulePoll(m, failedPollInterval, false)
			}
		},
	})
}

// schedulePoll schedules the next poll after the given pause. If the member is
// alive and a request waits or begins to wait, the pause is cut short.
func (d *Daemon) schedulePoll(m *Member, p time.Duration, alive bool) {
	if alive && len(d.waiters) > 0 {
		d.after(waitingPollInterval, func() { d.pollMember(m) })
		return
	}
	n := d.pollCount[m.Name]
	d.earlyPoll[m.Name] = alive
	d.after(p, func() {
		if d.pollCount[m.Name] == n {
			delete(d.earlyPoll, m.Name)
			d.pollMember(m)
		}
	})
}
