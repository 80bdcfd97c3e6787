package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Holder is the identity of a process that holds or held a group's lease.
type Holder struct {
	// ID is unique among all processes that ever ran.
	ID string `json:"id"`
	// Address is where other daemons reach the process.
	Address string `json:"address"`
}

// Member is one process of a backend server.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// StartMillis is its start time in Unix milliseconds. A later process of the same ID
	// may have lost its log.
	StartMillis int64 `json:"born,omitempty"`
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
	// LogEnd is a position that the primary's log has reached in Term; zero if it isn't
	// known. A lower one means that the primary has lost its log.
	LogEnd logpos.Position `json:"log-end,omitzero"`
	// Target is the ID of the member whose promotion may have been requested last, while
	// the result isn't recorded yet; empty if none may have been. Records of earlier
	// versions hold another word instead.
	Target string `json:"target,omitempty"`
	// TargetTerm is the least term that Target leads once its promotion has taken effect.
	TargetTerm uint64 `json:"target-term,omitempty"`
	// EarlierTargets are the IDs of the other members whose promotion may have been
	// requested since Term, sorted.
	EarlierTargets []string `json:"earlier-targets,omitempty"`
	// CallsPending is set while a call that requested a promotion may yet be carried out,
	// although Target is empty.
	CallsPending bool `json:"calls-pending,omitempty"`
	// Era is the store's era in which the record was written.
	Era uint64 `json:"era,omitempty"`
	// Settled is set if no holder of an earlier era can act any more. It isn't
	// needed in era 0.
	Settled bool `json:"settled,omitempty"`
	// PrimaryUncertain is set if Primary and Term come from a record of an earlier
	// era whose holder didn't write them again: a later promotion may be unknown.
	PrimaryUncertain bool `json:"primary-uncertain,omitempty"`
	// Members are the processes of the group's backend servers that may hold an
	// acknowledged commit which no other one holds, whether the store lists them or not,
	// sorted by ID and start. It is kept only for groups whose commits wait for replicas;
	// empty if it isn't known.
	Members []Member `json:"members,omitempty"`
}

// supersedes reports whether a record was written later than o, as far as the records
// tell.
func (r Record) supersedes(o Record) bool {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Term, o.Term)) > 0
}

// Change is a record that is to replace the store's.
type Change struct {
	Record Record
	// Revision is the revision that the store's record must have; zero if there must
	// be none.
	Revision uint64
	// Era is the era of Revision. In a later one the condition may hold by accident.
	Era uint64
}

// Change returns the change that replaces the record that the store was last known to
// have.
func (s *Lease) Change(r Record) Change {
	return Change{Record: r, Revision: s.condition, Era: s.era}
}

// AcquireRecord returns the record by which the host takes the lease over.
func (s *Lease) AcquireRecord(now time.Time) Record {
	r := s.record
	r.PreviousHolders = sortedHolders(append(slices.Clone(r.PreviousHolders), r.Holder), s.self.ID)
	if s.restored {
		// Whoever held the lease in an earlier era can't act any more.
		r.PreviousHolders, r.PrimaryUncertain = nil, s.condition != 0 || r.Primary != ""
	}
	r.Holder = s.self
	r.Epoch++
	return s.written(r, now)
}

// RewriteRecord returns the record by which the holder of an earlier era goes on.
func (s *Lease) RewriteRecord(now time.Time) Record {
	r := s.record
	r.PreviousHolders = s.UnfinishedHolders(now)
	r.Epoch++
	return s.written(r, now)
}

// TransferRecord returns the record by which the holder transfers the lease to
// another process. The holder's own work may continue until it has finished.
func (s *Lease) TransferRecord(to Holder, now time.Time) Record {
	r := s.record
	r.PreviousHolders = sortedHolders(append(s.UnfinishedHolders(now), s.self), to.ID)
	r.Holder = to
	r.Epoch++
	return s.written(r, now)
}

// written completes a record that is to be written now.
func (s *Lease) written(r Record, now time.Time) Record {
	r.Era, r.Settled = s.era, s.era > 0 && s.settled(now)
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
func (s *Lease) ReleaseRecord(now time.Time) (Record, bool) {
	r := s.record
	r.PreviousHolders = slices.DeleteFunc(slices.Clone(r.PreviousHolders), func(h Holder) bool { return h.ID == s.self.ID })
	return s.written(r, now), len(r.PreviousHolders) < len(s.record.PreviousHolders)
}

// UpdateRecord returns the current record to be changed by its holder, with the previous
// holders that may still send work.
func (s *Lease) UpdateRecord(now time.Time) Record {
	r := s.record
	r.PreviousHolders = s.UnfinishedHolders(now)
	return s.written(r, now)
}

func containsHolder(l []Holder, id string) bool {
	return slices.ContainsFunc(l, func(p Holder) bool { return p.ID == id })
}
