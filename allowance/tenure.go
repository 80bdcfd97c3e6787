package allowance

import (
	"time"
)

// Standing is what a host knows of a group's lease.
type Standing struct {
	// Holder is the latest known holder, Epoch counts the changes of the holder, and
	// Era is the store's era in which the record was written.
	Holder string
	Epoch  uint64
	Era    uint64
	// Holds is set while this host holds the lease.
	Holds bool
	// ConfirmedAt is when this host last requested a record that proved to name it.
	ConfirmedAt time.Time
	// Unfinished are the previous holders that may still act.
	Unfinished []string
	// Unsettled is set while holders of an earlier era of the store may act.
	Unsettled bool
	// First is set if there was no holder before in the life of the system.
	First bool
}

// segment is a span of time with one mode; it lasts until the next one.
type segment struct {
	from time.Time
	mode Mode
}

// tenure is the time for which this host holds a group's lease.
type tenure struct {
	epoch uint64
	// start is when this host first knew that it holds the lease. No earlier holder
	// confirms its lease after that.
	start time.Time
	// calm is set if the holder hadn't changed for a window before.
	calm bool
	// first is Standing.First at the start.
	first bool
	// rivalsAtStart is the number of the previous holders that might still act.
	rivalsAtStart int
	// soleSince is since when no earlier accountant can lend; zero while one can.
	soleSince time.Time
	// imported is set if the earlier accountant has handed over its accounts, at
	// importedAt. It has lent at the full rate for fullFor.
	imported   bool
	importedAt time.Time
	fullFor    time.Duration
	// closed is the set of previous holders that have stated that they lend nothing
	// any more.
	closed map[string]bool
	// segments are in the order of time and never empty.
	segments []segment
}

func newTenure(s Standing, calm bool, now time.Time) *tenure {
	t := &tenure{epoch: s.Epoch, start: now, calm: calm, first: s.First, rivalsAtStart: len(s.Unfinished), closed: map[string]bool{}}
	t.observeRivals(s, now)
	return t
}

// observeRivals notes when no earlier accountant can lend any more.
func (t *tenure) observeRivals(s Standing, now time.Time) {
	if !t.soleSince.IsZero() {
		return
	}
	for _, id := range s.Unfinished {
		if !t.closed[id] {
			return
		}
	}
	t.soleSince = now
}

// mode returns how much this host may lend at a time.
func (t *tenure) mode(s Standing, now time.Time) Mode {
	doubtful := s.Unsettled || !now.Before(s.ConfirmedAt.Add(FreshTime))
	switch {
	case !s.Holds:
		return Closed
	case t.soleSince.IsZero():
		return t.modeWithRivals(doubtful, now)
	case !t.first && !t.imported && now.Before(t.soleSince.Add(unusedTime)):
		switch {
		case doubtful:
			return Closed
		case t.shares(t.soleSince):
			return Shared
		case !t.calm:
			return Succeeding
		default:
			return Settling
		}
	case doubtful:
		return Reduced
	default:
		return Full
	}
}

// shares reports whether an earlier accountant lends at the reduced rate by now, and
// what it lent before has expired.
func (t *tenure) shares(now time.Time) bool {
	return !now.Before(t.start.Add(FreshTime + unusedTime))
}

// modeWithRivals is mode while an earlier accountant may still lend. That one lends
// at the reduced rate once it can't have confirmed its lease for FreshTime; if it had
// rivals itself, it lends nothing then.
func (t *tenure) modeWithRivals(doubtful bool, now time.Time) Mode {
	switch {
	case doubtful:
		return Closed
	case t.shares(now):
		return Shared
	case t.calm && t.rivalsAtStart == 1:
		return Pending
	default:
		return Closed
	}
}

// setMode records the mode from a time on.
func (t *tenure) setMode(m Mode, from time.Time) {
	n := len(t.segments)
	switch {
	case n == 0:
		t.segments = []segment{{from: from, mode: m}}
	case t.segments[n-1].mode != m:
		t.segments = append(t.segments, segment{from: from, mode: m})
	}
}

// modeAt returns the mode at a time, and when it ends, which is now at the latest.
func (t *tenure) modeAt(at, now time.Time) (Mode, time.Time) {
	m := Closed
	for _, s := range t.segments {
		if s.from.After(at) {
			return m, earlier(s.from, now)
		}
		m = s.mode
	}
	return m, now
}

// lastSegment returns the present segment.
func (t *tenure) lastSegment() segment { return t.segments[len(t.segments)-1] }
