package budget

import "time"

// LinkConfig holds the limits of bytes that cross regions.
type LinkConfig struct {
	// Rate is the number of bytes a second that are earned.
	Rate float64
	// Burst is the greatest number of bytes that are saved up.
	Burst float64
}

// Link is a budget of bytes for low ranks on the link between regions. The
// size of an answer is known only when it has passed, so the budget may fall
// below zero; nothing more passes then until it has recovered. It is not safe
// for concurrent use.
type Link struct {
	c LinkConfig
	b bucket
}

// NewLink returns a full budget.
func NewLink(c LinkConfig) *Link { return &Link{c: c, b: bucket{tokens: c.Burst}} }

// Pass reports whether an answer may cross, and when to come back if not.
func (l *Link) Pass(now time.Time) (bool, time.Duration) {
	l.fill(now)
	if l.b.tokens > 0 {
		return true, 0
	}
	return false, time.Duration((1 - l.b.tokens) / l.c.Rate * float64(time.Second))
}

// Spend counts bytes that have crossed.
func (l *Link) Spend(bytes int, now time.Time) {
	l.fill(now)
	l.b.tokens -= float64(bytes)
}

func (l *Link) fill(now time.Time) {
	if !l.b.at.IsZero() {
		l.b.tokens = min(l.b.tokens+l.c.Rate*max(now.Sub(l.b.at), 0).Seconds(), l.c.Burst)
	}
	l.b.at = now
}
