package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// callDaemon makes a call to another daemon and passes its result to the view.
// Only pings and exchanges are answered by the other daemon alone, so only
// their failures count as a failed link.
func (d *PlatformDaemon) callDaemon(o *PlatformDaemon, purpose string, timeout time.Duration, handle func(func(any)), done func(any, bool)) {
	d.world.startCall(&call{
		from: d.Node, to: o.Node, purpose: purpose, timeout: timeout, handle: handle,
		done: func(v any, ok bool) {
			if ok {
				d.view.Handle(membership.HostAnswered{ID: o.host.ID}, d.world.now)
				if o.host.ID == d.group.Holder().ID {
					d.lastHolderReply = d.world.now
				}
			} else if purpose == "ping" || purpose == "exchange" {
				d.view.Handle(membership.LinkFailed{ID: o.host.ID}, d.world.now)
			}
			done(v, ok)
		},
	})
}

// callMember makes a call to a member. Before the first call on a connection,
// the member's position is requested and compared with those that it reported
// before.
func (d *PlatformDaemon) callMember(m *PlatformMember, purpose string, timeout time.Duration, handle func(func(any)), done func(v any, sent time.Time, ok bool)) {
	if l := d.connections[m.Name+" "+purpose]; l == nil || !d.positionChecked[l] {
		sent := d.world.now
		d.world.startCall(&call{
			from: d.Node, to: m.Node, purpose: purpose, timeout: memberTimeout,
			handle: func(reply func(any)) { reply(m.position()) },
			done: func(v any, ok bool) {
				d.recordContact(m, v, sent, ok)
				if ok {
					d.positionChecked[d.connections[m.Name+" "+purpose]] = true
					d.callCheckedMember(m, purpose, timeout, handle, done)
				} else {
					done(nil, sent, false)
				}
			},
		})
		return
	}
	d.callCheckedMember(m, purpose, timeout, handle, done)
}

// callCheckedMember makes a call to a member whose position was compared, if
// the daemon may send work to it.
func (d *PlatformDaemon) callCheckedMember(m *PlatformMember, purpose string, timeout time.Duration, handle func(func(any)), done func(v any, sent time.Time, ok bool)) {
	sent := d.world.now
	if purpose == "work" {
		h := handle
		handle = func(reply func(any)) {
			m.checkDrain(sent)
			h(reply)
		}
	}
	if !d.group.MaySend(takeover.PrimaryUse{Member: m.Name}, sent) || purpose == "work" && !d.maySendNewWork() {
		done(nil, sent, false)
		return
	}
	d.world.startCall(&call{
		from: d.Node, to: m.Node, purpose: purpose, timeout: timeout, handle: handle,
		done: func(v any, ok bool) {
			d.recordContact(m, v, sent, ok)
			done(v, sent, ok)
		},
	})
}

// recordContact records whether a member answered, and the position in its
// answer.
func (d *PlatformDaemon) recordContact(m *PlatformMember, v any, sent time.Time, ok bool) {
	if m == d.knownPrimary() {
		d.primaryFailures++
		if ok {
			d.lastPrimaryReply, d.primaryFailures = d.world.now, 0
		}
	}
	switch v := v.(type) {
	case logpos.Position:
		d.observePosition(m, v, sent)
	case platformMemberAnswer:
		d.observePosition(m, v.position, sent)
	}
}

// closeConnections closes the connections to a member that carry statements and
// position queries.
func (d *PlatformDaemon) closeConnections(m *PlatformMember) {
	for _, purpose := range []string{"work", "position"} {
		k := m.Name + " " + purpose
		l := d.connections[k]
		if l == nil {
			continue
		}
		for _, c := range append([]*call(nil), l.pendingCalls...) {
			d.world.failCall(c, k)
		}
		delete(d.connections, k)
	}
}
