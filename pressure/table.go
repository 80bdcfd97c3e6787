package pressure

import (
	"maps"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

const (
	// maxAge is how long a level is used. An entry whose owner doesn't answer any more,
	// or to which nothing was sent, goes on by asking.
	maxAge = time.Second
	// minReturnDelay is the least time after which a refused caller is to return.
	minReturnDelay = 200 * time.Millisecond
	// firstReturn is the part of the schedule before which no caller returns that an
	// entry refused: its beginning is taken by those that the queue refused.
	firstReturn = 0.4
)

// Request is what the decision of an entry depends on. Its group's primary alone may
// serve it; reads that replicas may serve are placed by what their owners report.
type Request struct {
	Group string
	Rank  bundle.Rank
	// Chance and Jitter are random numbers from 0 to 1.
	Chance, Jitter float64
}

// Verdict is the decision of an entry.
type Verdict struct {
	// Refuse is set if the request is refused; it has not run.
	Refuse     bool
	RetryAfter time.Duration
	// Level is the share of such requests that are refused.
	Level float64
}

// Table holds the levels of primaries that one entry has been told, by group. It is not
// safe for concurrent use.
type Table struct{ primaries map[string]told }

type told struct {
	State
	at time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{primaries: map[string]told{}} }

// Observe records what an answer tells about the primary of a group.
func (t *Table) Observe(group string, s State, now time.Time) {
	if s.Levels.IsZero() {
		delete(t.primaries, group)
		return
	}
	if _, ok := t.primaries[group]; !ok {
		maps.DeleteFunc(t.primaries, func(_ string, o told) bool { return now.Sub(o.at) > maxAge })
	}
	t.primaries[group] = told{s, now}
}

// Level returns the level of a group's primary for a rank, zero if none is known that
// is recent enough.
func (t *Table) Level(group string, r bundle.Rank, now time.Time) float64 {
	s, ok := t.primaries[group]
	if !ok || now.Sub(s.at) > maxAge {
		return 0
	}
	return s.Levels[r]
}

// ToldAt returns when the levels of a group's primary were told, zero if none are known.
func (t *Table) ToldAt(group string) time.Time { return t.primaries[group].at }

// Decide returns whether the entry refuses a request.
func (t *Table) Decide(r Request, now time.Time) Verdict {
	v := Verdict{Level: t.Level(r.Group, r.Rank, now)}
	if r.Chance >= v.Level {
		return v
	}
	within := float64(t.primaries[r.Group].Returns[r.Rank])
	v.Refuse, v.RetryAfter = true, minReturnDelay+time.Duration((firstReturn+(1-firstReturn)*r.Jitter)*within)
	return v
}
