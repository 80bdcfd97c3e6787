// Package lease implements the lease of a database group: the time-limited right
// of one host, the holder, to send work to the group's primary and to replace the
// primary. It does no I/O and reads no clock.
//
// The record in the store names the holder. A holder sends primary work only for
// Validity after it requested a record that named it as holder. Another host that
// takes the lease over may send work to the same primary at once, since the
// primary itself orders the commits. It may replace the primary only when no
// previous holder can still send work to the old one: each has released the lease,
// its process is known to have ended, or its lease has expired.
//
// Package takeover decides when a host acquires, transfers or releases a lease.
package lease

import (
	"slices"
	"strings"
	"time"
)

// Timing of leases.
const (
	// Validity is how long a lease lasts after the request for the record that
	// last confirmed it. It is longer than the outages of the store that
	// operators report.
	Validity = 10 * time.Second
	// ConfirmInterval is the age at which a holder renews the confirmation of its
	// lease by a request to the store, unless it was renewed otherwise. Validity
	// minus ConfirmInterval is the outage of the store that a holder survives.
	ConfirmInterval = 3 * time.Second
	// confirmRetryDelay is the delay before the next such request after a
	// failed one.
	confirmRetryDelay = 300 * time.Millisecond
	// inFlightTime is how long work that was sent before the lease expired may
	// take to reach the primary.
	inFlightTime = 1500 * time.Millisecond
)

// Holder is the identity of a process that holds or held a group's lease.
type Holder struct {
	// ID is unique among all processes that ever ran.
	ID string `json:"id"`
	// Address is where other daemons reach the process.
	Address string `json:"address"`
}

// Record is the record of a database group in the store.
type Record struct {
	// Holder is the process that holds the lease.
	Holder Holder `json:"holder"`
	// Epoch increases whenever the holder changes.
	Epoch uint64 `json:"epoch"`
	// PreviousHolders are the previous holders that may still send work to the
	// primary, sorted by ID.
	PreviousHolders []Holder `json:"prior,omitempty"`
	// Primary and Term are the primary and its term after the latest known
	// promotion.
	Primary string `json:"primary,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	// Target isn't empty while a promotion may have been requested whose result
	// isn't recorded yet.
	Target string `json:"target,omitempty"`
}

// Event is an input that changes the state of a lease.
type Event interface{ event() }

// RecordObserved is an observation of the record in the store.
type RecordObserved struct {
	Record Record
	// Revision is the store's revision of the record; zero if there is none.
	Revision uint64
	// RequestedAt is when the record was requested, by the boot-time clock,
	// which also advances while the process or host is suspended. It is zero
	// for an update that wasn't requested, which doesn't prove that the record
	// is still current.
	RequestedAt time.Time
}

// ProcessEnded reports that the process with the given ID has ended.
type ProcessEnded struct{ ProcessID string }

// WorkFinished reports that this host sends no more work to the primary of a group
// whose lease it no longer holds.
type WorkFinished struct{}

// ConfirmAttempt reports that the record is being requested to confirm the
// lease, or that the request failed.
type ConfirmAttempt struct{ Failed bool }

func (RecordObserved) event() {}
func (ProcessEnded) event()   {}
func (WorkFinished) event()   {}
func (ConfirmAttempt) event() {}

// Lease is the state of a group's lease as one host observes it. It is not safe
// for concurrent use.
type Lease struct {
	self        Holder
	record      Record
	revision    uint64
	recordKnown bool
	// validUntil is when this host's lease expires. It is kept when another host
	// becomes the holder, since open transactions may continue until then.
	validUntil time.Time
	// unfinishedUntil maps the ID of a previous holder to the time until which
	// it may still send work.
	unfinishedUntil map[string]time.Time
	// endedProcesses is the set of IDs of the processes that are known to have
	// ended.
	endedProcesses map[string]bool
	// confirmAt is when the record must be requested next.
	confirmAt time.Time
}

// New returns the lease of a group on the host self before any event.
func New(self Holder) *Lease {
	return &Lease{self: self, unfinishedUntil: map[string]time.Time{}, endedProcesses: map[string]bool{}}
}

// Handle processes an event.
func (s *Lease) Handle(e Event, now time.Time) {
	switch x := e.(type) {
	case RecordObserved:
		s.observeRecord(x, now)
	case ProcessEnded:
		s.endedProcesses[x.ProcessID] = true
		delete(s.unfinishedUntil, x.ProcessID)
	case WorkFinished:
		if s.record.Holder.ID != s.self.ID {
			s.validUntil = time.Time{}
		}
	case ConfirmAttempt:
		s.confirmAt = now.Add(ConfirmInterval)
		if x.Failed {
			s.confirmAt = now.Add(confirmRetryDelay)
		}
	}
}

func (s *Lease) observeRecord(x RecordObserved, now time.Time) {
	if s.recordKnown && x.Revision < s.revision {
		return
	}
	held := s.recordKnown && s.record.Holder.ID == s.self.ID && s.record.Epoch == x.Record.Epoch
	s.record, s.revision, s.recordKnown = x.Record, x.Revision, true
	if x.Record.Holder.ID != s.self.ID {
		clear(s.unfinishedUntil)
		return
	}
	for h := range s.unfinishedUntil {
		if !containsHolder(x.Record.PreviousHolders, h) {
			delete(s.unfinishedUntil, h)
		}
	}
	if !held {
		for _, h := range x.Record.PreviousHolders {
			if !s.endedProcesses[h.ID] {
				s.unfinishedUntil[h.ID] = now.Add(Validity + inFlightTime)
			}
		}
	}
	if u := x.RequestedAt.Add(Validity); !x.RequestedAt.IsZero() && u.After(s.validUntil) {
		s.validUntil = u
	}
	if u := x.RequestedAt.Add(ConfirmInterval); u.After(s.confirmAt) {
		s.confirmAt = u
	}
}

// Record returns the latest observed record and its revision, or false if none
// has been observed.
func (s *Lease) Record() (Record, uint64, bool) { return s.record, s.revision, s.recordKnown }

// Holds reports whether the host holds the lease and may send work to the primary
// now.
func (s *Lease) Holds(now time.Time) bool {
	return s.recordKnown && s.record.Holder.ID == s.self.ID && now.Before(s.validUntil)
}

// MayFinishTransactions reports whether the host may continue open
// transactions. It may also do so after another host has taken the lease over
// or received it.
func (s *Lease) MayFinishTransactions(now time.Time) bool { return now.Before(s.validUntil) }

// MayReplacePrimary reports whether the host holds the lease and no previous
// holder can send work to the primary any more. The host may replace the
// primary once it has written a record with a Target in place of the revision
// that it observed: if another host has taken the lease over in the meantime,
// that write fails, and a host that takes it over later reads the Target.
func (s *Lease) MayReplacePrimary(now time.Time) bool {
	return s.Holds(now) && len(s.UnfinishedHolders(now)) == 0
}

// UnfinishedHolders returns the previous holders that may still send work to the
// primary, sorted by ID.
func (s *Lease) UnfinishedHolders(now time.Time) []Holder {
	var o []Holder
	for _, h := range s.record.PreviousHolders {
		if now.Before(s.unfinishedUntil[h.ID]) {
			o = append(o, h)
		}
	}
	return o
}

func containsHolder(l []Holder, id string) bool {
	return slices.ContainsFunc(l, func(p Holder) bool { return p.ID == id })
}

// ConfirmDue reports whether the record must be requested from the store now.
func (s *Lease) ConfirmDue(now time.Time) bool {
	return s.recordKnown && s.record.Holder.ID == s.self.ID && !now.Before(s.confirmAt)
}

// AcquireRecord returns the record by which the host takes the lease over.
func (s *Lease) AcquireRecord() Record {
	r := s.record
	r.PreviousHolders = sortedHolders(append(slices.Clone(r.PreviousHolders), r.Holder), s.self.ID)
	r.Holder = s.self
	r.Epoch++
	return r
}

// TransferRecord returns the record by which the holder transfers the lease to
// another process. The holder's own work may continue until it has finished.
func (s *Lease) TransferRecord(to Holder, now time.Time) Record {
	r := s.record
	r.PreviousHolders = sortedHolders(append(s.UnfinishedHolders(now), s.self), to.ID)
	r.Holder = to
	r.Epoch++
	return r
}

// sortedHolders returns the holders sorted by ID, without duplicates and without
// the holder whose ID is without.
func sortedHolders(l []Holder, without string) []Holder {
	l = slices.DeleteFunc(l, func(p Holder) bool { return p.ID == "" || p.ID == without })
	slices.SortFunc(l, func(a, b Holder) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(l, func(a, b Holder) bool { return a.ID == b.ID })
}

// ReleaseRecord returns the record without this host among the previous holders,
// and whether it was among them.
func (s *Lease) ReleaseRecord() (Record, bool) {
	r := s.record
	r.PreviousHolders = slices.DeleteFunc(slices.Clone(r.PreviousHolders), func(h Holder) bool { return h.ID == s.self.ID })
	return r, len(r.PreviousHolders) < len(s.record.PreviousHolders)
}
