package site

import (
	"fmt"
	"sync"
	"time"
)

// LoadReport holds the results of RunLoad.
type LoadReport struct {
	mu sync.Mutex
	// Served, Refused, InDoubt and Disconnected count operations by outcome.
	// Operations in doubt may or may not have taken effect. Disconnected
	// operations got no complete answer within clientTimeout or before the
	// connection ended.
	Served, Refused, InDoubt, Disconnected int
	// FirstServed is when the first operation was served.
	FirstServed time.Time
	// Denied counts the sessions and operations that were denied. Denied operations are
	// among the refused ones.
	Denied int
	// Lost are the statements without a complete answer that a member has received or
	// that were sent longer than lossSlack before the connection ended.
	Lost []string
	// LongestWriteGap is the longest time between two served writes on a primary
	// database.
	LongestWriteGap time.Duration
	lastWrite       time.Time
	// refusedIDs are the IDs of refused writes.
	refusedIDs []string
}

// VerifyWrites checks the writes of a finished load: a refused write must not be
// in any log (REFUSED), and none more than once in all logs (TWICE).
func (s *Site) VerifyWrites(o *LoadReport) {
	n := map[string]int{}
	for _, g := range s.groups {
		g.countWrites(n)
	}
	for _, id := range o.refusedIDs {
		if n[id] > 0 {
			s.reportViolation("REFUSED", "%s was refused but is in the log", quote(id))
		}
	}
	for id, k := range n {
		if k > 1 {
			s.reportViolation("TWICE", "%s is in the logs %d times", quote(id), k)
		}
	}
}

// recordLoss records a statement without a complete answer, unless it may have crossed
// the close of its connection.
func (c *Client) recordLoss(a *statement) {
	d := time.Since(a.sent)
	c.site.mu.Lock()
	received := a.received
	c.site.mu.Unlock()
	if !received && d <= lossSlack {
		return
	}
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	c.report.Lost = append(c.report.Lost, fmt.Sprintf("%s %s sent %s before the end, in a transaction: %t, received by a member: %t",
		quote(a.id), quote(a.text), d.Round(time.Millisecond), a.inTransaction, received))
}

// countDenied counts a refusal by its code.
func (c *Client) countDenied(code string) {
	if code == "DENIED" {
		c.report.mu.Lock()
		c.report.Denied++
		c.report.mu.Unlock()
	}
}

// recordOutcome counts an operation by its outcome. writeIDs are the IDs of the
// operation's writes.
func (c *Client) recordOutcome(code string, complete bool, writeIDs []string, isWrite bool) {
	now := time.Now()
	c.countDenied(code)
	if code == "" && complete {
		for _, id := range writeIDs {
			for _, g := range c.site.groups {
				g.recordAcknowledgment(id, now)
			}
		}
	}
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	switch {
	case !complete:
		c.report.Disconnected++
	case code == "":
		c.report.Served++
		if c.report.FirstServed.IsZero() {
			c.report.FirstServed = time.Now()
		}
		if isWrite && c.kind == "primary" {
			c.report.LongestWriteGap = max(c.report.LongestWriteGap, now.Sub(c.report.lastWrite))
			c.report.lastWrite = now
		}
	case code == "INDOUBT" || code == "TIMEOUT" || code == "FAILED":
		c.report.InDoubt++
	default:
		c.report.Refused++
		c.report.refusedIDs = append(c.report.refusedIDs, writeIDs...)
	}
}
