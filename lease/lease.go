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
// The store may come back from an older copy, in a new era: the record may then be an
// earlier one, and name a holder that has been replaced. A record that was written in an
// earlier era than its position is therefore only a hint. The holder of the earlier era
// writes its record again. Other hosts, which may not know of a later holder, wait for
// SettleTime after the start of the era, until whoever held the lease before it can't
// act any more; nobody replaces the primary before that.
//
// Package takeover decides when a host acquires, transfers or releases a lease.
package lease

import (
	"time"

	"github.com/dragonflypick/dragonflypick/store"
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
	// SettleTime is how long a holder of an earlier era may act after the era's start:
	// its lease was confirmed before that. In addition to the work in flight, a
	// promotion that it requested may take seconds until it has taken effect.
	SettleTime = Validity + 4*time.Second
	// PromotionValidity is how long after the request for the record that last confirmed its
	// lease a holder may request a promotion.
	PromotionValidity = 4 * time.Second
	// PromotionCallTime is how long a call that requests a promotion may be on its way
	// after it was sent, also if its sender has given it up or has ended.
	PromotionCallTime = 6 * time.Second
	// PromotionEffectTime is how long a promotion may take from the call's arrival until
	// the member leads.
	PromotionEffectTime = 2 * time.Second
	// abandonTime is how long after that the preferred host may take to acquire a
	// lease that nobody has written again.
	abandonTime = 2 * time.Second
)

// Event is an input that changes the state of a lease.
type Event interface{ event() }

// RecordObserved is an observation of the record in the store.
type RecordObserved struct {
	Record Record
	// Position is the position of the record's last change; its revision is zero if
	// there is no record.
	Position store.Position
	// Removed is set if the record was removed at Position.
	Removed bool
	// RequestedAt is when the record was requested, by the boot-time clock,
	// which also advances while the process or host is suspended. It is zero
	// for an update that wasn't requested, which doesn't prove that the record
	// is still current.
	RequestedAt time.Time
}

// RecordReported is a record that another host knows, which the store may have lost.
type RecordReported struct{ Record Record }

// EraObserved reports the store's era.
type EraObserved struct {
	Era uint64
	// Since is a time by which the era had started, by the boot-time clock.
	Since time.Time
	// First is set if no process of the system ran before this era: no record can
	// have been lost that doesn't exist.
	First bool
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
func (RecordReported) event() {}
func (EraObserved) event()    {}
func (ProcessEnded) event()   {}
func (WorkFinished) event()   {}
func (ConfirmAttempt) event() {}

// Lease is the state of a group's lease as one host observes it. It is not safe
// for concurrent use.
type Lease struct {
	self Holder
	// record is the latest record that this host knows of. The store may have lost it
	// if restored is set.
	record      Record
	recordKnown bool
	// position is that of the record in the store, and condition the revision that
	// it must have for this host to replace it: zero if there is none.
	position  store.Position
	condition uint64
	// restored is set if the store's record was written in an earlier era than
	// position's, or is missing in an era after the first.
	restored bool
	// era is the store's era and eraSince a time by which it had started; firstEra is
	// EraObserved.First.
	era      uint64
	eraSince time.Time
	firstEra bool
	// validUntil is when this host's lease expires. It is kept when another host
	// becomes the holder, since open transactions may continue until then.
	validUntil time.Time
	// unfinishedUntil maps the ID of a previous holder to the time until which
	// it may still send work.
	unfinishedUntil map[string]time.Time
	// mayPromoteUntil is a time after which no earlier holder whose process has ended since
	// this host became the holder, or that isn't among the previous holders, has requested a
	// promotion.
	mayPromoteUntil time.Time
	// displacedAt maps the ID of a previous holder to when this host first knew that
	// another process was the holder, and has known of no record since that names it.
	displacedAt map[string]time.Time
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
	case RecordReported:
		if s.restored && x.Record.supersedes(s.record) {
			s.record = x.Record
		}
	case EraObserved:
		s.observeEra(x)
	case ProcessEnded:
		if t := s.promotesUntil(x.ProcessID); !t.IsZero() {
			s.mayPromoteUntil = latest(s.mayPromoteUntil, earliest(t, now))
		}
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

// observeEra adopts a later era, in which no record has been observed yet, or learns
// that the era had started earlier or wasn't the first one.
func (s *Lease) observeEra(x EraObserved) {
	switch {
	case x.Era > s.era:
		s.era, s.eraSince, s.firstEra = x.Era, x.Since, x.First
		s.position, s.condition, s.restored = store.Position{Era: x.Era}, 0, true
	case x.Era == s.era:
		s.firstEra = s.firstEra && x.First
		if x.Since.Before(s.eraSince) {
			s.eraSince = x.Since
		}
	}
}

func (s *Lease) observeRecord(x RecordObserved, now time.Time) {
	if x.Position.Era > s.era {
		s.observeEra(EraObserved{Era: x.Position.Era, Since: now})
	}
	if x.Position.Era < s.era || x.Position.Before(s.position) {
		return
	}
	s.position, s.condition = x.Position, x.Position.Revision
	if x.Removed {
		s.condition = 0
	}
	if x.Record.Era < s.era && !(s.firstEra && s.condition == 0) {
		s.observeRestored(x.Record)
		return
	}
	if !s.recordKnown {
		s.endPredecessors(x.Record)
	}
	s.observeDisplacements(x.Record, now)
	old := s.record
	held := s.recordKnown && old.Holder.ID == s.self.ID && (old.Epoch == x.Record.Epoch || old.Era < x.Record.Era)
	s.record, s.recordKnown, s.restored = x.Record, true, false
	if x.Record.Holder.ID != s.self.ID {
		clear(s.unfinishedUntil)
		return
	}
	for h := range s.unfinishedUntil {
		if !containsHolder(x.Record.PreviousHolders, h) {
			// It has released the group, and so requests nothing any more.
			s.mayPromoteUntil = latest(s.mayPromoteUntil, earliest(s.promotesUntil(h), now))
			delete(s.unfinishedUntil, h)
		}
	}
	if !held {
		s.mayPromoteUntil = now
		for _, h := range x.Record.PreviousHolders {
			if !s.endedProcesses[h.ID] {
				s.unfinishedUntil[h.ID] = s.displacedAt[h.ID].Add(Validity + inFlightTime)
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

// observeDisplacements records when the previous holders were known not to be the holder
// any more. Each change of the holder counts one epoch: of a record that this host hasn't
// seen in between, any of them may have been the holder.
func (s *Lease) observeDisplacements(r Record, now time.Time) {
	complete := s.recordKnown && !s.restored && r.Era == s.record.Era && r.Epoch <= s.record.Epoch+1
	m := map[string]time.Time{}
	for _, h := range r.PreviousHolders {
		t, ok := s.displacedAt[h.ID]
		if !ok || !complete {
			t = now
		}
		m[h.ID] = t
	}
	s.displacedAt = m
}

// observeRestored handles a record that the store has kept from an earlier era. It
// proves nothing, but may be later than what this host knows.
func (s *Lease) observeRestored(r Record) {
	s.restored = true
	if !s.recordKnown || r.supersedes(s.record) {
		s.record, s.recordKnown = r, s.recordKnown || s.condition != 0
	}
}

// Record returns the latest known record, or false if none is known.
func (s *Lease) Record() (Record, bool) { return s.record, s.recordKnown }

// Position returns the position of the store's record.
func (s *Lease) Position() store.Position { return s.position }

// Restored reports whether the store's record may be older than the latest one: it was
// written in an earlier era.
func (s *Lease) Restored() bool { return s.restored }

// settled reports whether no holder of an earlier era can act any more.
func (s *Lease) settled(now time.Time) bool {
	return s.era == 0 || s.firstEra && s.condition == 0 || !s.restored && s.record.Settled || !now.Before(s.eraSince.Add(SettleTime))
}

// MustRewrite reports whether this host holds the lease by a record that the store may
// have lost, and has to write it again.
func (s *Lease) MustRewrite(now time.Time) bool { return s.restored && s.Holds(now) }

// MayAcquire reports whether another host than the holder may acquire the lease: not
// while the latest holder may be unknown.
func (s *Lease) MayAcquire(now time.Time) bool { return !s.restored || s.settled(now) }

// Abandoned reports whether any host may acquire a lease that nobody has written again
// since the era has settled: hosts that know of different primaries don't agree on who
// should.
func (s *Lease) Abandoned(now time.Time) bool {
	return s.restored && !now.Before(s.eraSince.Add(SettleTime+abandonTime))
}

// SettleDue reports whether the holder has to record that no holder of an earlier era
// can act any more.
func (s *Lease) SettleDue(now time.Time) bool {
	return s.era > 0 && !s.restored && !s.record.Settled && s.settled(now)
}

// Holds reports whether the host holds the lease and may send work to the primary
// now.
func (s *Lease) Holds(now time.Time) bool {
	return s.recordKnown && s.record.Holder.ID == s.self.ID && now.Before(s.validUntil)
}

// ConfirmedAt returns when the latest record that proved that this host is the holder
// was requested.
func (s *Lease) ConfirmedAt() time.Time { return s.validUntil.Add(-Validity) }

// Settled reports whether no holder of an earlier era of the store can act any more,
// unless it is the holder by the present record.
func (s *Lease) Settled(now time.Time) bool { return !s.restored && s.settled(now) }

// MayFinishTransactions reports whether the host may continue open
// transactions. It may also do so after another host has taken the lease over
// or received it.
func (s *Lease) MayFinishTransactions(now time.Time) bool { return now.Before(s.validUntil) }

// MayReplacePrimary reports whether the host holds the lease and no previous
// holder, also of an earlier era, can send work to the primary any more. The host may replace the
// primary once it has written a record with a Target in place of the revision
// that it observed: if another host has taken the lease over in the meantime,
// that write fails, and a host that takes it over later reads the Target.
func (s *Lease) MayReplacePrimary(now time.Time) bool {
	return s.Holds(now) && !s.restored && s.settled(now) && len(s.UnfinishedHolders(now)) == 0
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

// Succeeds reports whether the lease is held by a process that has ended, since this one
// has started at its address.
func (s *Lease) Succeeds() bool {
	return s.recordKnown && !s.restored && s.endedProcesses[s.record.Holder.ID] && s.record.Holder.Address == s.self.Address
}

// endPredecessors records that the processes at this one's address that the first known
// record names have ended: two can't listen there at a time. A process that a later
// record names may have started there after this one.
func (s *Lease) endPredecessors(r Record) {
	for _, h := range append([]Holder{r.Holder}, r.PreviousHolders...) {
		if h.ID != s.self.ID && h.Address != "" && h.Address == s.self.Address {
			s.endedProcesses[h.ID] = true
		}
	}
}

// UnfinishedUntil returns until when previous holders may still send work to the primary,
// zero if none may.
func (s *Lease) UnfinishedUntil(now time.Time) time.Time {
	var o time.Time
	for _, h := range s.UnfinishedHolders(now) {
		if t := s.unfinishedUntil[h.ID]; t.After(o) {
			o = t
		}
	}
	return o
}

// UnsettledUntil returns until when a holder of an earlier era of the store may act, zero if none
// may.
func (s *Lease) UnsettledUntil(now time.Time) time.Time {
	if s.settled(now) {
		return time.Time{}
	}
	return s.eraSince.Add(SettleTime)
}

// ConfirmDue reports whether the record must be requested from the store now.
func (s *Lease) ConfirmDue(now time.Time) bool {
	return s.recordKnown && !s.restored && s.record.Holder.ID == s.self.ID && !now.Before(s.confirmAt)
}
