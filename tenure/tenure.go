// Package tenure decides which host holds a database group: sends the work of
// its primary and replaces the primary. It does no I/O and reads no clock.
//
// The record in the store names the holder. A holder sends primary work only
// for Validity after it asked for a record that named it. Another host that
// takes the record over may send work to the same primary at once, since the
// primary itself orders what it commits; it may replace the primary only when
// no earlier holder can still send work to the old one: each has handed over,
// is known to have ended, or Validity has passed.
package tenure

import (
	"slices"
	"strings"
	"time"
)

// Timing of tenures.
const (
	// Validity is how long a holder goes on without the store; it outlasts the
	// outages of the store that operators report.
	Validity = 10 * time.Second
	// ConfirmInterval is how often a holder asks for its record.
	ConfirmInterval = time.Second
	// confirmRetryDelay is the pause after a question that failed.
	confirmRetryDelay = 300 * time.Millisecond
	// inFlightTime covers work that was sent within validity and is still on its way.
	inFlightTime = 1500 * time.Millisecond
)

// Party is a process that holds or held a group.
type Party struct {
	// ID is unique among all processes that ever ran.
	ID string `json:"id"`
	// Address is where other daemons reach it.
	Address string `json:"address"`
}

// Record is what the store holds of a group.
type Record struct {
	// Holder is the process that holds the group.
	Holder Party `json:"holder"`
	// Epoch rises whenever the holder changes.
	Epoch uint64 `json:"epoch"`
	// Prior are earlier holders that may still send work to the primary, by ID.
	Prior []Party `json:"prior,omitempty"`
	// Primary and Term are those of the last promotion that is known.
	Primary string `json:"primary,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	// Target isn't empty while a promotion may have been asked for.
	Target string `json:"target,omitempty"`
}

// Event is something that a tenure learns.
type Event interface{ event() }

// Seen tells of the record in the store.
type Seen struct {
	Record Record
	// Revision is the store's revision of the record; zero if there is none.
	Revision uint64
	// Asked is when the store was asked, by the clock that goes on in a freeze;
	// zero for news that came unasked, which proves nothing of now.
	Asked time.Time
}

// Ended tells that a host's process has ended.
type Ended struct{ Host string }

// WorkFinished tells that the host sends no more work of a group that it doesn't
// hold any more.
type WorkFinished struct{}

// Asking tells that the record is being asked for, or that this failed.
type Asking struct{ Failed bool }

func (Seen) event()         {}
func (Ended) event()        {}
func (WorkFinished) event() {}
func (Asking) event()       {}

// State is one host's knowledge of who holds a group. It is not safe for
// concurrent use.
type State struct {
	self     Party
	record   Record
	revision uint64
	known    bool
	// validUntil is the end of the own validity, which outlives the loss of the group.
	validUntil time.Time
	// unfinished maps an earlier holder to the end of what it may still send.
	unfinished map[string]time.Time
	// ended holds the processes that are known to have ended.
	ended map[string]bool
	// confirmAt is when to confirm the record.
	confirmAt time.Time
}

// New returns the knowledge of the host self, which is none.
func New(self Party) *State {
	return &State{self: self, unfinished: map[string]time.Time{}, ended: map[string]bool{}}
}

// Handle takes in an event.
func (s *State) Handle(e Event, now time.Time) {
	switch x := e.(type) {
	case Seen:
		s.observe(x, now)
	case Ended:
		s.ended[x.Host] = true
		delete(s.unfinished, x.Host)
	case WorkFinished:
		if s.record.Holder.ID != s.self.ID {
			s.validUntil = time.Time{}
		}
	case Asking:
		s.confirmAt = now.Add(ConfirmInterval)
		if x.Failed {
			s.confirmAt = now.Add(confirmRetryDelay)
		}
	}
}

func (s *State) observe(x Seen, now time.Time) {
	if s.known && x.Revision < s.revision {
		return
	}
	held := s.known && s.record.Holder.ID == s.self.ID && s.record.Epoch == x.Record.Epoch
	s.record, s.revision, s.known = x.Record, x.Revision, true
	if x.Record.Holder.ID != s.self.ID {
		clear(s.unfinished)
		return
	}
	for h := range s.unfinished {
		if !containsHolder(x.Record.Prior, h) {
			delete(s.unfinished, h)
		}
	}
	if !held {
		for _, h := range x.Record.Prior {
			if !s.ended[h.ID] {
				s.unfinished[h.ID] = now.Add(Validity + inFlightTime)
			}
		}
	}
	if u := x.Asked.Add(Validity); !x.Asked.IsZero() && u.After(s.validUntil) {
		s.validUntil = u
	}
}

// Record returns the record and its revision, or false if none is known.
func (s *State) Record() (Record, uint64, bool) { return s.record, s.revision, s.known }

// Holds reports whether the host may send primary work now.
func (s *State) Holds(now time.Time) bool {
	return s.known && s.record.Holder.ID == s.self.ID && now.Before(s.validUntil)
}

// MayFinish reports whether the host may continue open transactions, also
// after it has lost or passed on the group.
func (s *State) MayFinish(now time.Time) bool { return now.Before(s.validUntil) }

// MayReplace reports whether no earlier holder can send work to the primary any
// more. The host may replace it once a record with the Target has been written
// on the revision that it knows: if another host has taken the group over
// meanwhile, that fails, and one that does so later finds the Target.
func (s *State) MayReplace(now time.Time) bool {
	return s.Holds(now) && len(s.UnfinishedHolders(now)) == 0
}

// UnfinishedHolders returns the earlier holders that may still send work, by ID.
func (s *State) UnfinishedHolders(now time.Time) []Party {
	var o []Party
	for _, h := range s.record.Prior {
		if now.Before(s.unfinished[h.ID]) {
			o = append(o, h)
		}
	}
	return o
}

func containsHolder(l []Party, id string) bool {
	return slices.ContainsFunc(l, func(p Party) bool { return p.ID == id })
}

// ConfirmDue reports whether the record is to be asked for now.
func (s *State) ConfirmDue(now time.Time) bool {
	return s.known && s.record.Holder.ID == s.self.ID && !now.Before(s.confirmAt)
}

// AcquireRecord returns the record by which the host takes the group over.
func (s *State) AcquireRecord() Record {
	r := s.record
	r.Prior = sortedHolders(append(slices.Clone(r.Prior), r.Holder), s.self.ID)
	r.Holder = s.self
	r.Epoch++
	return r
}

// TransferRecord returns the record by which the holder passes the group to another host
// while its own work may continue until it has ended.
func (s *State) TransferRecord(to Party, now time.Time) Record {
	r := s.record
	r.Prior = sortedHolders(append(s.UnfinishedHolders(now), s.self), to.ID)
	r.Holder = to
	r.Epoch++
	return r
}

// sortedHolders returns a list in order, without doubles and without one ID.
func sortedHolders(l []Party, without string) []Party {
	l = slices.DeleteFunc(l, func(p Party) bool { return p.ID == "" || p.ID == without })
	slices.SortFunc(l, func(a, b Party) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(l, func(a, b Party) bool { return a.ID == b.ID })
}

// ReleaseRecord returns the record without the host among the earlier holders, and
// whether it stood there.
func (s *State) ReleaseRecord() (Record, bool) {
	r := s.record
	r.Prior = slices.DeleteFunc(slices.Clone(r.Prior), func(h Party) bool { return h.ID == s.self.ID })
	return r, len(r.Prior) < len(s.record.Prior)
}
