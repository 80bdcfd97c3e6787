package owner

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Timing of the checks of a connection.
const (
	// watchInterval is how often a connection with a pending answer is checked.
	watchInterval = 250 * time.Millisecond
	// silenceTimeout is how long an answer may be pending without any message
	// before the member's state is checked.
	silenceTimeout = 700 * time.Millisecond
)

// watchConnection aborts the connection if an answer is pending, no message was read
// or written for silenceTimeout, and abandonReason returns a reason.
func (e *exchange) watchConnection(x context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return
		case <-t.C:
		}
		h := e.lastActivity.Load()
		if !e.awaitingAnswer() || time.Since(e.startedAt)-time.Duration(h) < silenceTimeout {
			continue
		}
		if why := e.abandonReason(x, h); why != "" {
			e.task.owner.config.Log.Warn("connection abandoned", "group", e.task.header.Group, "member", e.task.header.Member,
				"rank", bundle.Rank(e.task.header.Rank).String(), "reason", why)
			e.abortConnection()
			return
		}
	}
}

// awaitingAnswer reports whether an answer is pending.
func (e *exchange) awaitingAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdsSlot && !e.connReturned
}

// abandonReason returns why the connection, whose last activity was at h, should be
// abandoned; empty if it shouldn't. If the server reports the session as idle, the
// connection gets another watchInterval for an answer in transit.
func (e *exchange) abandonReason(x context.Context, h int64) string {
	v := e.task.monitor.View()
	if e.task.header.Kind != peer.KindRead && v.Primary != "" && v.Primary != e.task.header.Member && v.Term > e.term {
		return "primary-replaced"
	}
	for _, m := range v.Members {
		if m.Name == e.task.header.Member && !m.Reachable && e.task.header.Kind == peer.KindRead {
			return "member-unreachable"
		}
	}
	if !e.task.monitor.SessionIdle(x, e.backendSession()) {
		return ""
	}
	select {
	case <-x.Done():
		return ""
	case <-time.After(watchInterval):
	}
	if e.lastActivity.Load() != h || !e.awaitingAnswer() {
		return ""
	}
	return "connection-silent"
}
