// Package allowance bounds the rate of a team's operations over all hosts. It
// answers teams that ask many times their rate through every host at once, while
// hosts fail, are cut off or are suspended. It does no I/O and reads no clock.
//
// Each team has a few accountants, the holders of the leases of database groups, with
// a fixed share of the team's rate each. A
// Ledger is the accountant's state: it mints tokens at that rate and lends
// them. A Borrower is the state of a host that takes callers: each operation uses
// one token of a loan. A loan expires by itself; until then the ledger counts its
// tokens as outstanding, so that what can be used at any time is bounded:
//
//	stock + outstanding <= burst + a share of the reserve
//
// The reserve is what the rule allows beyond rate * window + burst. The rest of it
// covers the time in which two accountants may act: see docs/design/rates.md.
package allowance

import (
	"time"
)

// Timing of loans and accountants.
const (
	// LoanTime is how long a loan lasts after the borrower has sent its request. It
	// covers a slow round trip between regions.
	LoanTime = 400 * time.Millisecond
	// FreshTime is the age of the last confirmation of a lease at which its holder
	// begins to lend less. It is longer than confirmations take while the store
	// answers.
	FreshTime = 4 * time.Second
	// unusedTime is how long tokens that were lent may remain unused.
	unusedTime = LoanTime + promiseTime
	// MovedTime is how long after a change of the groups the accountant of a team
	// under the earlier groups may still lend.
	MovedTime = 12 * time.Second
	// promiseTime bounds the time after which a promised token is minted.
	promiseTime = 120 * time.Millisecond
	// MaxRetryAfter bounds the time after which a refused caller may come back.
	MaxRetryAfter = 3 * time.Second
)

// Shares of the rate, the burst and the reserve. Those of the reserve, with half of
// startShare counted once more, add up to less than 1.
const (
	// reducedShare is the share of the rate that a holder lends whose lease wasn't
	// confirmed for FreshTime. It exceeds what teams usually ask.
	reducedShare = 0.65
	// spreadShare is the share of the burst that is spread over the window, so that a
	// team that asks too much for longer than a moment gets what the rule allows.
	spreadShare = 0.4
	// lagShare is added to the burst, for tokens that have been used and still count as
	// outstanding. extraShare is spread over the window.
	lagShare   = 0.3
	extraShare = 0.42
	// startShare is for an accountant while loans of an earlier one may be unused; half
	// of it if that one had just begun.
	startShare = 0.1
	// paceShare is for an accountant while an earlier one may still lend.
	paceShare = 0.05
	// promiseShare is for tokens that are lent before they are minted.
	promiseShare = 0.05
)

// Bounds state how rates are measured: in any Window at most (rate * Window + burst) *
// (1 + Overage) + slack operations of a team may run.
type Bounds struct {
	Window  time.Duration
	Overage float64
}

// Limit is an accountant's share of a team's limit: operations per second, how many may
// start at once after a pause, and the slack of the rule.
type Limit struct {
	Rate  float64 `json:"r"`
	Burst float64 `json:"b"`
	Slack float64 `json:"s"`
}

// reserve returns what the rule allows in a window beyond rate * window + burst.
func (b Bounds) reserve(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + l.Slack
}

// Mode is how much an accountant may lend.
type Mode string

// Possible values of Mode.
const (
	// Closed accountants lend nothing: they don't hold the lease, or can't tell what
	// others lend.
	Closed Mode = "closed"
	// Pending means that an earlier accountant may still lend at the full rate.
	Pending Mode = "pending"
	// Shared means that an earlier accountant may lend at the reduced rate.
	Shared Mode = "shared"
	// Settling means that loans of an earlier accountant may be unused; Succeeding that
	// this accountant may be the third within a window.
	Settling   Mode = "settling"
	Succeeding Mode = "succeeding"
	// Reduced means that the lease wasn't confirmed for FreshTime, or that the store
	// has come back from an older copy.
	Reduced Mode = "reduced"
	// Full accountants lend at the team's rate.
	Full Mode = "full"
)

// terms are the terms of minting.
type terms struct {
	// share is the share of the rate that follows from budget, and pace a rate in
	// addition.
	share, pace float64
	// budget is what may be used in a window.
	budget float64
	// most is the most that may be in stock and outstanding together.
	most float64
}

func (b Bounds) terms(m Mode, l Limit) terms {
	r, w := b.reserve(l), b.Window.Seconds()
	start, pace := startShare*r, paceShare*r/w
	// At least half a second's loans may be outstanding, or they would bound the rate.
	budget := l.Rate*w + l.Burst + (lagShare+extraShare)*r
	lowest := min((budget-(1-spreadShare)*l.Burst-lagShare*r)/w, budget/(w+0.5))
	most := max(budget-lowest*w, 1)
	switch m {
	case Full:
		return terms{share: 1, budget: budget, most: most}
	case Reduced:
		return terms{share: reducedShare, budget: budget, most: reducedShare * most}
	case Settling:
		return terms{share: 1, budget: budget, most: start}
	case Succeeding:
		return terms{share: 1, budget: budget, most: start / 2}
	case Shared:
		return terms{share: 1 - reducedShare, pace: pace, budget: budget, most: (1-reducedShare)*most + start}
	case Pending:
		return terms{pace: pace, budget: budget, most: start}
	default:
		return terms{budget: budget, most: start}
	}
}

// rate returns the rate of minting if at most peak tokens were in stock and outstanding
// at any time in the last window. What is minted in a window and what there was at its
// start so never exceed the budget.
func (x terms) rate(peak float64, w time.Duration) float64 {
	return x.share*max(x.budget-peak, 0)/w.Seconds() + x.pace
}

// Call is a request of a borrower to the accountant of some teams.
type Call struct {
	Group string `json:"g"`
	// Host is the borrower's process, and Number the number of the call there.
	Host   string `json:"h"`
	Number uint64 `json:"n"`
	Items  []Item `json:"i"`
}

// Item is the part of a call about one team.
type Item struct {
	Team string `json:"t"`
	// Limit is what the borrower knows of the team. It counts only if the accountant
	// doesn't know the team yet.
	Limit Limit `json:"l"`
	// Waiting is the number of operations that wait for a token, and Ahead that of
	// tokens for later ones.
	Waiting int `json:"w,omitempty"`
	Ahead   int `json:"a,omitempty"`
	// Patience is how long an operation may wait for a promised token.
	Patience time.Duration `json:"p,omitempty"`
	// Spent and Returned are tokens of earlier loans that were used, or that will not
	// be.
	Spent    []Settled `json:"s,omitempty"`
	Returned []Settled `json:"b,omitempty"`
}

// Settled is a number of tokens of the loan that a call received.
type Settled struct {
	Call  uint64 `json:"c"`
	Count int    `json:"n"`
}

// Reply is the accountant's reply to a call.
type Reply struct {
	// Holder is the group's holder if it isn't the host that was called; empty
	// otherwise.
	Holder string  `json:"h,omitempty"`
	Mode   Mode    `json:"m"`
	Grants []Grant `json:"g,omitempty"`
}

// Grant is the part of a reply about one team.
type Grant struct {
	Team string `json:"t"`
	// Count tokens may be used at once. Promised further ones may be used after
	// Delay, each one Spacing later than the one before.
	Count    int           `json:"n,omitempty"`
	Promised int           `json:"p,omitempty"`
	Delay    time.Duration `json:"d,omitempty"`
	Spacing  time.Duration `json:"s,omitempty"`
	// RetryAfter is when the first operation that gets no token may come back, each
	// further one Spacing later.
	RetryAfter time.Duration `json:"a,omitempty"`
	// Limit, Stock and Outstanding explain a refusal.
	Limit       Limit   `json:"l"`
	Stock       float64 `json:"k,omitempty"`
	Outstanding int     `json:"o,omitempty"`
}
