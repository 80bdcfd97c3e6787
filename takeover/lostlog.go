package takeover

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

// observePosition compares a position that the primary reports with the group's
// furthest position. A lower one means that the primary has lost log entries. One without
// entries is what a member reports that holds nothing, or that tells no position.
func (g *Group) observePosition(o PositionReported, now time.Time) {
	if !g.ReportsLogEnd(o.Member, now) {
		return
	}
	switch {
	case o.Position.IsZero():
		g.logDoubted = g.logDoubted || g.logEnd.Offset > 0
		return
	case o.Position.Less(g.logEnd) && o.RequestedAt.After(g.logEndAt):
		g.primaryUnusable = true
		return
	case g.logEnd.Less(o.Position):
		g.logEnd, g.logEndAt = o.Position, now
	}
	g.observeComplete(o.RequestedAt)
}

// PrimaryDoubted reports whether the primary may have lost its log, so that the holder has
// to discover the primary again before it sends any more work there.
func (g *Group) PrimaryDoubted() bool { return g.logDoubted }

// LogEnd returns the furthest position of the group's log that this host has learned of as
// the holder, and when; zero if it has learned of none.
func (g *Group) LogEnd() (logpos.Position, time.Time) { return g.logEnd, g.logEndAt }

// hasLostLog reports whether a primary with a status has started again without its log.
func (g *Group) hasLostLog(s query.Status) bool {
	return s.Received.Offset == 0 && g.logEnd.Offset > 0
}
