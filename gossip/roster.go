package gossip

import (
	"slices"
	"sort"

	"github.com/dragonflypick/dragonflypick/membership"
)

// tombstones and heldMost are the numbers of removed hosts and of former lists
// that a roster remembers.
const (
	tombstones = 256
	heldMost   = 128
)

// behindMost is the number of own reads in a row below the index of the list
// after which the platform's index is taken to have fallen.
const behindMost = 2

// ListVersion tells which of two host lists is newer.
type ListVersion struct {
	// Generation rises when the platform's index falls, after its store was
	// restored.
	Generation uint64 `json:"generation"`
	// Index is the platform's index of the list.
	Index uint64 `json:"index"`
}

// After reports whether s is newer than o.
func (s ListVersion) After(o ListVersion) bool {
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
	Stamp ListVersion `json:"stamp"`
	// Whole tells that hosts which aren't among the entries are not listed.
	Whole   bool    `json:"whole,omitempty"`
	Entries []Entry `json:"entries"`
}

// HostList is the newest host list that a daemon has read or been told. It is
// not safe for concurrent use.
type HostList struct {
	stamp ListVersion
	// last is the index of this daemon's last own read.
	last uint64
	// behind is the number of own reads in a row that were older than the list.
	behind int
	// fell tells that the platform's index has fallen since the list was read.
	fell    bool
	entries map[string]Entry
	// floor is the index up to which removals have been forgotten.
	floor uint64
	// held are the indexes of the lists held last in this generation. Only to a
	// daemon with one of these lists can the difference be told: of another, it
	// isn't known which hosts it has.
	held []uint64
}

// NewHostList returns an empty roster.
func NewHostList() *HostList { return &HostList{entries: map[string]Entry{}} }

// Version returns the age of the list.
func (r *HostList) Version() ListVersion { return r.stamp }

// Hosts returns the listed hosts, by ID.
func (r *HostList) Hosts() []membership.Host {
	var o []membership.Host
	for _, e := range r.entries {
		if !e.Removed {
			o = append(o, e.Host)
		}
	}
	sort.Slice(o, func(i, j int) bool { return o[i].ID < o[j].ID })
	return o
}

// UpdateFromPlatform takes in a list that the platform gave, and reports whether it is new.
// An empty list, or one older than what is held, is ignored; but if the
// platform's index has fallen since this daemon's last read, or stays below
// what is held, the list counts as newer.
func (r *HostList) UpdateFromPlatform(index uint64, hosts []membership.Host) bool {
	if r.behind++; index >= r.stamp.Index {
		r.behind = 0
	}
	r.fell = r.fell || index < r.last || r.behind >= behindMost
	r.last = index
	s := ListVersion{Generation: r.stamp.Generation, Index: index}
	if r.fell {
		s.Generation++
	}
	if len(hosts) == 0 || !s.After(r.stamp) {
		return false
	}
	u := Update{Stamp: s, Whole: true}
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
func (r *HostList) Apply(u Update) bool {
	if !u.Stamp.After(r.stamp) {
		return false
	}
	r.apply(u)
	return true
}

func (r *HostList) apply(u Update) {
	if u.Stamp.Generation != r.stamp.Generation {
		r.entries = map[string]Entry{}
		r.floor, r.held = u.Stamp.Index, nil
	}
	n := map[string]bool{}
	for _, e := range u.Entries {
		n[e.Host.ID] = true
		r.entries[e.Host.ID] = e
	}
	for id, e := range r.entries {
		if u.Whole && !n[id] && !e.Removed {
			e.Removed, e.Changed = true, u.Stamp.Index
			r.entries[id] = e
		}
	}
	r.stamp, r.fell, r.behind = u.Stamp, false, 0
	r.held = append(r.held, u.Stamp.Index)
	r.held = r.held[max(len(r.held)-heldMost, 0):]
	r.trim()
}

// trim forgets the oldest removals.
func (r *HostList) trim() {
	var l []Entry
	for _, e := range r.entries {
		if e.Removed {
			l = append(l, e)
		}
	}
	if len(l) <= tombstones {
		return
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Changed > l[j].Changed })
	for _, e := range l[tombstones/2:] {
		r.floor = max(r.floor, e.Changed)
		delete(r.entries, e.Host.ID)
	}
}

// Since returns what a daemon with a list of the given stamp lacks.
func (r *HostList) Since(s ListVersion) Update {
	u := Update{Stamp: r.stamp}
	u.Whole = s.Generation != r.stamp.Generation || s.Index < r.floor || !slices.Contains(r.held, s.Index)
	for _, e := range r.entries {
		if u.Whole && !e.Removed || !u.Whole && e.Changed > s.Index {
			u.Entries = append(u.Entries, e)
		}
	}
	sort.Slice(u.Entries, func(i, j int) bool { return u.Entries[i].Host.ID < u.Entries[j].Host.ID })
	return u
}
