// Package explanation defines the answer to where a request would go now, and why: the
// steps of the decision in order, the inputs that each of them used with their ages, and
// what would have to change. Package fleet fills it in by the code that routes requests;
// package command/explain prints it.
package explanation

import "time"

// Explanation explains what a daemon would do with a request. All ages are as of the
// answer; an age of -1 means that nothing is known.
type Explanation struct {
	Daemon   Daemon    `json:"daemon"`
	Request  Request   `json:"request"`
	Database *Database `json:"database,omitempty"`
	// Team is nil if the request has none.
	Team *Team `json:"team,omitempty"`
	// Primary is the primary as this daemon knows it.
	Primary *Primary `json:"primary,omitempty"`
	// Candidates are the members that may serve a read, and Skipped those that may not.
	Candidates []Candidate `json:"candidates,omitempty"`
	Skipped    []Skipped   `json:"skipped,omitempty"`
	// Gap is set if the group couldn't serve such requests when last tried.
	Gap *Gap `json:"gap,omitempty"`
	// Steps are the decisions in the order in which they are made. Those after a
	// refusal tell what would come next.
	Steps    []Step   `json:"steps"`
	Decision Decision `json:"decision"`
}

// Daemon is the state of the daemon that was asked.
type Daemon struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	CutOff        bool   `json:"cut-off"`
	// Version is that of the configuration in force; zero if there is none.
	Version uint64 `json:"version"`
	// StoreCopyMS is how long ago the local copy of the store, with the members and
	// the groups' holders, was known to be current.
	StoreCopyMS int64 `json:"store-copy-ms"`
}

// Request is the request that is explained.
type Request struct {
	Kind Kind `json:"kind"`
	// Primary is set if only the primary may run it.
	Primary bool `json:"primary"`
	// Floor is the position of the session's writes, empty if it doesn't apply.
	// FloorMS is for how long the daemon has known that the log had reached it.
	Floor   string `json:"floor,omitempty"`
	FloorMS int64  `json:"floor-ms,omitempty"`
}

// Database is the database's configuration in force.
type Database struct {
	Name        string `json:"name"`
	Group       string `json:"group"`
	Consistency string `json:"consistency"`
	MaxAgeMS    int64  `json:"max-age-ms"`
	Rank        string `json:"rank"`
	TimeoutMS   int64  `json:"timeout-ms"`
	TargetMS    int64  `json:"target-ms"`
	Anonymous   bool   `json:"anonymous"`
}

// Team is the team of the request.
type Team struct {
	Name string `json:"name"`
	// Rate is zero if it isn't bounded.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Accountants are in the order in which they are asked.
	Accountants []Accountant `json:"accountants,omitempty"`
}

// Accountant is one of a team's accountants as the daemon knows it. What it has left is
// known to it alone.
type Accountant struct {
	Group     string `json:"group"`
	Host      string `json:"host,omitempty"`
	Reachable bool   `json:"reachable"`
	// Tokens is the number of its tokens that the daemon has in stock.
	Tokens int `json:"tokens"`
	// RefusedMS is how long ago it refused the team, if it isn't asked again yet; else
	// -1. RetryAfterMS is what the next caller is told then.
	RefusedMS    int64 `json:"refused-ms"`
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
}

// Primary is the primary of a group as the daemon knows it.
type Primary struct {
	Member string `json:"member"`
	// Holder is the ID of the host that holds the group.
	Holder    string `json:"holder,omitempty"`
	Reachable bool   `json:"reachable"`
	// Serving tells whether the daemon asked, if it is the holder, may send work to
	// the primary now.
	Serving bool `json:"serving"`
	// Level is the share of requests of the rank that entries refuse, as told
	// LevelMS ago.
	Level   float64 `json:"level"`
	LevelMS int64   `json:"level-ms"`
	Report  *Report `json:"report,omitempty"`
}

// Candidate is a member that may serve a read.
type Candidate struct {
	Member  string `json:"member"`
	Owner   string `json:"owner"`
	Primary bool   `json:"primary"`
	Slots   int    `json:"slots"`
	// RoundTripUS is the assumed round trip to the owner in microseconds.
	RoundTripUS int64 `json:"round-trip-us"`
	InFlight    int   `json:"in-flight"`
	// Share is the part of its usual reads that the member gets by its standing; zero
	// means that it is ejected.
	Share float64 `json:"share"`
	// CatchUpMS is the predicted time until the member has the data, CostMS that until
	// its answer. Chosen marks the one that the read goes to.
	CatchUpMS int64   `json:"catch-up-ms"`
	CostMS    int64   `json:"cost-ms"`
	Chosen    bool    `json:"chosen"`
	Report    *Report `json:"report,omitempty"`
}

// Report is what a member's owner last told of it, AgeMS ago.
type Report struct {
	Position string  `json:"position"`
	LagMS    int64   `json:"lag-ms"`
	WaitMS   int64   `json:"wait-ms"`
	SlotMS   int64   `json:"slot-ms"`
	Busy     float64 `json:"busy"`
	Failures float64 `json:"failures"`
	AgeMS    int64   `json:"age-ms"`
}

// Skipped is a member that isn't considered.
type Skipped struct {
	Member string `json:"member"`
	Reason string `json:"reason"`
}

// Gap is a time in which a group can't serve.
type Gap struct {
	SinceMS int64 `json:"since-ms"`
	// ReturnMS is about when a refused caller would be told to return.
	ReturnMS int64 `json:"return-ms"`
}

// Step is one decision on the way of a request.
type Step struct {
	Name    StepName `json:"name"`
	Verdict Verdict  `json:"verdict"`
	Reason  string   `json:"reason"`
	// RetryAfterMS is about what a refused caller is told, zero if nothing.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Change is what would let the request pass.
	Change string `json:"change,omitempty"`
}

// StepName names a decision.
type StepName string

// The decisions in their order.
const (
	StepConfiguration StepName = "configuration"
	StepTeam          StepName = "team"
	StepRate          StepName = "rate"
	StepOverload      StepName = "overload"
	StepPressure      StepName = "pressure"
	StepHolder        StepName = "holder"
	StepPlacement     StepName = "placement"
)

// Verdict is the result of a step.
type Verdict string

// Possible values of Verdict.
const (
	Passes Verdict = "passes"
	// Asks means that another host decides, by what it alone knows.
	Asks Verdict = "asks"
	// Waits means that the request waits for the condition, and is refused if that
	// isn't met in time.
	Waits   Verdict = "waits"
	Refuses Verdict = "refuses"
)

// Decision is the outcome of the steps.
type Decision struct {
	Outcome Outcome `json:"outcome"`
	// Member, Host, Reason and the times are where the request is sent and why.
	Member    string `json:"member,omitempty"`
	Host      string `json:"host,omitempty"`
	Reason    string `json:"reason"`
	CostMS    int64  `json:"cost-ms,omitempty"`
	CatchUpMS int64  `json:"catch-up-ms,omitempty"`
	// HedgeMS is after which time without an answer the read may be sent to a second
	// member, zero if never.
	HedgeMS int64 `json:"hedge-ms,omitempty"`
	// RetryAfterMS is about what a refused caller is told.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Conditions are what the outcome depends on at other hosts; Changes are what
	// would have to change, all of them, for the request to be served.
	Conditions []string `json:"conditions,omitempty"`
	Changes    []string `json:"changes,omitempty"`
}

// Outcome is what becomes of a request.
type Outcome string

// Possible values of Outcome.
const (
	Sent     Outcome = "sent"
	Waiting  Outcome = "waiting"
	Rejected Outcome = "refused"
)

// Decide sets the decision by the steps: the first one that doesn't let the request pass
// decides. target is where the request is sent otherwise.
func (e *Explanation) Decide(target Decision) {
	var stop *Step
	var d Decision
	for i := range e.Steps {
		s := &e.Steps[i]
		switch s.Verdict {
		case Refuses, Waits:
			if stop == nil {
				stop = s
			}
			d.Changes = append(d.Changes, s.Change)
		case Asks:
			target.Conditions = append(target.Conditions, s.Reason)
		}
	}
	if stop == nil {
		target.Outcome = Sent
		e.Decision = target
		return
	}
	d.Outcome, d.Reason, d.RetryAfterMS = Rejected, stop.Reason, stop.RetryAfterMS
	if stop.Verdict == Waits {
		d.Outcome = Waiting
	}
	e.Decision = d
}

// AgeMS returns an age in milliseconds.
func AgeMS(at, now time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
