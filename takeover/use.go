package takeover

import "time"

// MaySendWork reports whether the host may send new work to the primary now.
func (g *Group) MaySendWork(now time.Time) bool {
	return g.lease.Holds(now) && g.primaryDiscovered && !g.logDoubted && !g.replacing && !g.primaryUnusable
}

// MayFinishTransactions reports whether the host may continue open transactions.
func (g *Group) MayFinishTransactions(now time.Time) bool { return g.lease.MayFinishTransactions(now) }

// PrimaryUse is the use of a member as the primary for one step.
type PrimaryUse struct {
	Member string
	// Term is the primary's term when the step was allowed to be sent.
	Term uint64
	// Change is set if the step changes data.
	Change bool
	// InTransaction is set if the step belongs to an open transaction.
	InTransaction bool
}

// MaySend reports whether a step may be sent now.
func (g *Group) MaySend(u PrimaryUse, now time.Time) bool {
	if g.primary != u.Member {
		return false
	}
	if u.InTransaction {
		return g.MayFinishTransactions(now)
	}
	return g.MaySendWork(now)
}

// PassesReply reports whether the reply to a step may be passed on. It may not after this
// host's lease has ended, since another holder may have replaced the primary since the step was
// sent. One about a change may not either if the member isn't the primary of that term any more,
// or is being replaced.
func (g *Group) PassesReply(u PrimaryUse, now time.Time) bool {
	same := g.primary == u.Member && g.term == u.Term && g.PassesReplies()
	return g.MayFinishTransactions(now) && (same || !u.Change)
}
