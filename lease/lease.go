// Package lease decides which host holds a database group: sends the work of
// its primary and replaces the primary. It does no I/O and reads no clock.
//
// The record in the store names the holder. A holder sends primary work only
// for Validity after it asked for a record that named it. Another host that
// takes the record over may send work to the same primary at once, since the
// primary itself orders what it commits; it may replace the primary only when
// no earlier holder can still send work to the old one: each has handed over,
// is known to have ended, or Validity has passed.
package lease

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
	// confirmRetry is the pause after a question that failed.
	confirmRetry = 300 * time.Millisecond
	// settle covers work that was sent within validity and is still on its way.
	settle = 1500 * time.Millisecond
)

// Holder is a process that holds or held a group.
type Holder struct {
	// ID is unique among all processes that ever ran.
	ID string `json:"id"`
	// Address is where other daemons reach it.
	Address string `json:"address"`
}

// Record is what the store holds of a group.
type Record struct {
	// Holder is the process that holds the group.
	Holder Holder `json:"holder"`
	// Epoch rises whenever the holder changes.
	Epoch uint64 `json:"epoch"`
	// PreviousHolders are earlier holders that may still send work to the primary, by ID.
	PreviousHolders []Holder `json:"prior,omitempty"`
	// Primary and Term are those of the last promotion that is known.
	Primary string `json:"primary,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	// Target isn't empty while a promotion may have been asked for.
	Target string `json:"target,omitempty"`
}

// Event is something that a tenure learns.
type Event interface{ event() }

// RecordObserved tells of the record in the store.
type RecordObserved struct {
	Record Record
	// Revision is the store's revision of the record; zero if there is none.
	Revision uint64
	// RequestedAt is when the store was asked, by the clock that goes on in a freeze;
	// zero for news that came unasked, which proves nothing of now.
	RequestedAt time.Time
}

// ProcessEnded tells that a host's process has ended.
type ProcessEnded struct{ ProcessID string }

// Finished tells that the host sends no more work of a group that it doesn't
// hold any more.
type Finished struct{}

// ConfirmAttempt tells that the record is being asked for, or that this failed.
type ConfirmAttempt struct{ Failed bool }

func (RecordObserved) event() {}
func (ProcessEnded) event()   {}
func (Finished) event()       {}
func (ConfirmAttempt) event() {}

// Lease is one host's knowledge of who holds a group. It is not safe for
// concurrent use.
type Lease struct {
	self     Holder
	record   Record
	revision uint64
	known    bool
	// until is the end of the own validity, which outlives the loss of the group.
	until time.Time
	// prior maps an earlier holder to the end of what it may still send.
	prior map[string]time.Time
	// ended holds the processes that are known to have ended.
	ended map[string]bool
	// next is when to confirm the record.
	next time.Time
}

// New returns the knowledge of the host self, which is none.
func New(self Holder) *Lease {
	return &Lease{self: self, prior: map[string]time.Time{}, ended: map[string]bool{}}
}

// Handle takes in an event.
func (t *Lease) Handle(e Event, now time.Time) {
	switch x := e.(type) {
	case RecordObserved:
		t.see(x, now)
	case ProcessEnded:
		t.ended[x.ProcessID] = true
		delete(t.prior, x.ProcessID)
	case Finished:
		if t.record.Holder.ID != t.self.ID {
			t.until = time.Time{}
		}
	case ConfirmAttempt:
		t.next = now.Add(ConfirmInterval)
		if x.Failed {
			t.next = now.Add(confirmRetry)
		}
	}
}

func (t *Lease) see(x RecordObserved, now time.Time) {
	if t.known && x.Revision < t.revision {
		return
	}
	held := t.known && t.record.Holder.ID == t.self.ID && t.record.Epoch == x.Record.Epoch
	t.record, t.revision, t.known = x.Record, x.Revision, true
	if x.Record.Holder.ID != t.self.ID {
		clear(t.prior)
		return
	}
	for h := range t.prior {
		if !contains(x.Record.PreviousHolders, h) {
			delete(t.prior, h)
		}
	}
	if !held {
		for _, h := range x.Record.PreviousHolders {
			if !t.ended[h.ID] {
				t.prior[h.ID] = now.Add(Validity + settle)
			}
		}
	}
	if u := x.RequestedAt.Add(Validity); !x.RequestedAt.IsZero() && u.After(t.until) {
		t.until = u
	}
}

// Record returns the record and its revision, or false if none is known.
func (t *Lease) Record() (Record, uint64, bool) { return t.record, t.revision, t.known }

// Holds reports whether the host may send primary work now.
func (t *Lease) Holds(now time.Time) bool {
	return t.known && t.record.Holder.ID == t.self.ID && now.Before(t.until)
}

// Finishing reports whether the host may continue open transactions, also
// after it has lost or passed on the group.
func (t *Lease) Finishing(now time.Time) bool { return now.Before(t.until) }

// MayReplace reports whether no earlier holder can send work to the primary any
// more. The host may replace it once a record with the Target has been written
// on the revision that it knows: if another host has taken the group over
// meanwhile, that fails, and one that does so later finds the Target.
func (t *Lease) MayReplace(now time.Time) bool {
	return t.Holds(now) && len(t.Waiting(now)) == 0
}

// Waiting returns the earlier holders that may still send work, by ID.
func (t *Lease) Waiting(now time.Time) []Holder {
	var o []Holder
	for _, h := range t.record.PreviousHolders {
		if now.Before(t.prior[h.ID]) {
			o = append(o, h)
		}
	}
	return o
}

func contains(l []Holder, id string) bool {
	return slices.ContainsFunc(l, func(p Holder) bool { return p.ID == id })
}

// Confirm reports whether the record is to be asked for now.
func (t *Lease) Confirm(now time.Time) bool {
	return t.known && t.record.Holder.ID == t.self.ID && !now.Before(t.next)
}

// Take returns the record by which the host takes the group over.
func (t *Lease) Take() Record {
	r := t.record
	r.PreviousHolders = parties(append(slices.Clone(r.PreviousHolders), r.Holder), t.self.ID)
	r.Holder = t.self
	r.Epoch++
	return r
}

// Give returns the record by which the holder passes the group to another host
// while its own work may continue until it has ended.
func (t *Lease) Give(to Holder, now time.Time) Record {
	r := t.record
	r.PreviousHolders = parties(append(t.Waiting(now), t.self), to.ID)
	r.Holder = to
	r.Epoch++
	return r
}

// parties returns a list in order, without doubles and without one ID.
func parties(l []Holder, without string) []Holder {
	l = slices.DeleteFunc(l, func(p Holder) bool { return p.ID == "" || p.ID == without })
	slices.SortFunc(l, func(a, b Holder) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(l, func(a, b Holder) bool { return a.ID == b.ID })
}

// Released returns the record without the host among the earlier holders, and
// whether it stood there.
func (t *Lease) Released() (Record, bool) {
	r := t.record
	r.PreviousHolders = slices.DeleteFunc(slices.Clone(r.PreviousHolders), func(h Holder) bool { return h.ID == t.self.ID })
	return r, len(r.PreviousHolders) < len(t.record.PreviousHolders)
}
