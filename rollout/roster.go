package rollout

import (
	"slices"
	"sort"

	"github.com/dragonflypick/dragonflypick/membership"
)

// maxTombstones and maxRecentIndexes are the numbers of removed hosts and of former lists
// that a roster remembers.
const (
	maxTombstones    = 256
	maxRecentIndexes = 128
)

// maxStaleReads is the number of own reads in a row below the index of the list
// after which the platform's index is taken to have fallen.
const maxStaleReads = 2

// Stamp tells which of two host lists is newer.
type Stamp struct {
	// Generation rises when the platform's index falls, after its store was
	// restored.
	Generation uint64 `json:"generation"`
	// Index is the platform's index of the list.
	Index uint64 `json:"index"`
}

// After reports whether s is newer than o.
func (s Stamp) After(o Stamp) bool {
	return s.Generation > o.Generation || s.Generation == o.Generation && s.Index > o.Index
}

// Entry is a host on the list, or one that was removed from it.
type Entry struct {
	Host membership.Host `json:"host"`
	// Changed is the index at which the entry was last seen to change.
	Changed uint64 `json:"changed"`
	Removed bool   `json:"removed,omitempty"`
}

// Update is the difference between two lists, or a whole list.
type Update struct {
	Version Stamp `json:"stamp"`
	// Complete tells that hosts which aren't among the entries are not listed.
	Complete bool    `json:"whole,omitempty"`
	Entries  []Entry `json:"entries"`
}

// Roster is the newest host list that a daemon has read or been told. It is
// not safe for concurrent use.
type Roster struct {
	version Stamp
	// lastRead is the index of this daemon's last own read.
	lastRead uint64
	// staleReads is the number of own reads in a row that were older than the list.
	staleReads int
	// indexFell tells that the platform's index has fallen since the list was read.
	indexFell bool
	entries   map[string]Entry
	// prunedIndex is the index up to which removals have been forgotten.
	prunedIndex uint64
	// recentIndexes are the indexes of the lists held last in this generation. Only to a
	// daemon with one of these lists can the difference be told: of another, it
	// isn't known which hosts it has.
	recentIndexes []uint64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{entries: map[string]Entry{}} }

// Stamp returns the age of the list.
func (r *Roster) Stamp() Stamp { return r.version }

// Hosts returns the listed hosts, by ID.
func (r *Roster) Hosts() []membership.Host {
	var o []membership.Host
	for _, e := range r.entries {
		if !e.Removed {
			o = append(o, e.Host)
		}
	}
	sort.Slice(o, func(i, j int) bool { return o[i].ID < o[j].ID })
	return o
}

// Read takes in a list that the platform gave, and reports whether it is new.
// An empty list, or one older than what is held, is ignored; but if the
// platform's index has fallen since this daemon's last read, or stays below
// what is held, the list counts as newer.
func (r *Roster) Read(index uint64, hosts []membership.Host) bool {
	if r.staleReads++; index >= r.version.Index {
		r.staleReads = 0
	}
	r.indexFell = r.indexFell || index < r.lastRead || r.staleReads >= maxStaleReads
	r.lastRead = index
	s := Stamp{Generation: r.version.Generation, Index: index}
	if r.indexFell {
		s.Generation++
	}
	if len(hosts) == 0 || !s.After(r.version) {
		return false
	}
	u := Update{Version: s, Complete: true}
	for _, h := range hosts {
		e, ok := r.entries[h.ID]
		if !ok || e.Removed || e.Host != h {
			e = Entry{Host: h, Changed: index}
		}
		u.Entries = append(u.Entries, e)
	}
	r.apply(u)
	return true
}

// Apply takes in a peer's update, and reports whether it is new.
func (r *Roster) Apply(u Update) bool {
	if !u.Version.After(r.version) {
		return false
	}
	r.apply(u)
	return true
}

func (r *Roster) apply(u Update) {
	if u.Version.Generation != r.version.Generation {
		r.entries = map[string]Entry{}
		r.prunedIndex, r.recentIndexes = u.Version.Index, nil
	}
	n := map[string]bool{}
	for _, e := range u.Entries {
		n[e.Host.ID] = true
		r.entries[e.Host.ID] = e
	}
	for id, e := range r.entries {
		if u.Complete && !n[id] && !e.Removed {
			e.Removed, e.Changed = true, u.Version.Index
			r.entries[id] = e
		}
	}
	r.version, r.indexFell, r.staleReads = u.Version, false, 0
	r.recentIndexes = append(r.recentIndexes, u.Version.Index)
	r.recentIndexes = r.recentIndexes[max(len(r.recentIndexes)-maxRecentIndexes, 0):]
	r.pruneTombstones()
}

// pruneTombstones forgets the oldest removals.
func (r *Roster) pruneTombstones() {
	var l []Entry
	for _, e := range r.entries {
		if e.Removed {
			l = append(l, e)
		}
	}
	if len(l) <= maxTombstones {
		return
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Changed > l[j].Changed })
	for _, e := range l[maxTombstones/2:] {
		r.prunedIndex = max(r.prunedIndex, e.Changed)
		delete(r.entries, e.Host.ID)
	}
}

// Since returns what a daemon with a list of the given stamp lacks.
func (r *Roster) Since(s Stamp) Update {
	u := Update{Version: r.version}
	u.Complete = s.Generation != r.version.Generation || s.Index < r.prunedIndex || !slices.Contains(r.recentIndexes, s.Index)
	for _, e := range r.entries {
		if u.Complete && !e.Removed || !u.Complete && e.Changed > s.Index {
			u.Entries = append(u.Entries, e)
		}
	}
	sort.Slice(u.Entries, func(i, j int) bool { return u.Entries[i].Host.ID < u.Entries[j].Host.ID })
	return u
}
