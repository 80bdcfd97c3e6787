package owner

import (
	"context"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Timing of the watch over a connection.
const (
	// watchInterval is how often a connection that owes an answer is looked at.
	watchInterval = 250 * time.Millisecond
	// silentAfter is how long it may owe an answer before its server is asked.
	silentAfter = 700 * time.Millisecond
)

// watch ends the use of a connection that has gone silent, or whose server is
// no longer the primary, while an answer is due.
func (e *exchange) watch(x context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return
		case <-t.C:
		}
		h := e.heard.Load()
		if !e.waiting() || time.Since(e.began)-time.Duration(h) < silentAfter {
			continue
		}
		if why := e.dead(x, h); why != "" {
			e.t.o.c.Log.Warn("connection given up", "group", e.t.h.Group, "member", e.t.h.Member,
				"rank", bundle.Rank(e.t.h.Rank).String(), "reason", why)
			e.cut()
			return
		}
	}
}

// waiting reports whether an answer is due.
func (e *exchange) waiting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holds && !e.returned
}

// dead tells why the connection, last heard at h, should be given up; empty if
// it shouldn't. One that the server calls idle gets a moment more for an answer
// that is on its way.
func (e *exchange) dead(x context.Context, h int64) string {
	v := e.t.m.View()
	if e.t.h.Kind != peer.KindRead && v.Primary != "" && v.Primary != e.t.h.Member && v.Term > e.term {
		return "primary-replaced"
	}
	for _, m := range v.Members {
		if m.Name == e.t.h.Member && !m.Reachable && e.t.h.Kind == peer.KindRead {
			return "member-unreachable"
		}
	}
	if !e.t.m.SessionIdle(x, e.attempt()) {
		return ""
	}
	select {
	case <-x.Done():
		return ""
	case <-time.After(watchInterval):
	}
	if e.heard.Load() != h || !e.waiting() {
		return ""
	}
	return "connection-silent"
}
