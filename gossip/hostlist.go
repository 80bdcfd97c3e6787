package gossip

import (
	"slices"
	"sort"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

// maxTombstones and maxRecentIndexes limit the numbers of removed hosts and of
// indexes of recent lists that are kept.
const (
	maxTombstones    = 256
	maxRecentIndexes = 128
)

// maxStaleReads is the number of reads in a row with an index below that of the
// list after which the platform's store is assumed to have been restored.
const maxStaleReads = 2

// HostEntry is a host on the list, or the tombstone of a host that was removed
// from it.
type HostEntry struct {
	Host membership.Host `json:"host"`
	// Changed is the index of the list in which the entry last changed.
	Changed uint64 `json:"changed"`
	// Removed is set in a tombstone.
	Removed bool `json:"removed,omitempty"`
}

// Update is the difference between two lists, or a complete list.
type Update struct {
	// Version is the list's position. This platform tells no era: a daemon that sees
	// its index fall begins the next one.
	Version store.Position `json:"stamp"`
	// Complete is set if the update is a complete list: a host without an entry
	// isn't listed.
	Complete bool        `json:"whole,omitempty"`
	Entries  []HostEntry `json:"entries"`
}

// HostList is the newest host list that a daemon has read from the platform or
// received from another daemon. It is not safe for concurrent use.
type HostList struct {
	version store.Position
	// lastRead is the index of the list that this daemon last read from the
	// platform.
	lastRead uint64
	// staleReads counts this daemon's reads in a row that were older than the
	// list.
	staleReads int
	// indexFell is set if the platform's index has fallen since the current
	// list was applied.
	indexFell bool
	entries   map[string]HostEntry
	// prunedIndex is the index up to which tombstones may have been pruned.
	prunedIndex uint64
	// recentIndexes are the indexes of the latest lists in this era. A
	// difference can be computed only for a daemon that has one of these lists,
	// since the hosts on any other list are unknown.
	recentIndexes []uint64
}

// NewHostList returns an empty host list.
func NewHostList() *HostList { return &HostList{entries: map[string]HostEntry{}} }

// Version returns the version of the list.
func (r *HostList) Version() store.Position { return r.version }

// Hosts returns the listed hosts, sorted by ID.
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

// UpdateFromPlatform applies a list that was read from the platform, and
// reports whether it is newer than the current list. An empty or older list is
// ignored. If the platform's index has fallen since this daemon's last read, or
// stays below the current index for maxStaleReads reads, the list counts as
// newer.
func (r *HostList) UpdateFromPlatform(index uint64, hosts []membership.Host) bool {
	if r.staleReads++; index >= r.version.Revision {
		r.staleReads = 0
	}
	r.indexFell = r.indexFell || index < r.lastRead || r.staleReads >= maxStaleReads
	r.lastRead = index
	s := store.Position{Era: r.version.Era, Revision: index}
	if r.indexFell {
		s.Era++
	}
	if len(hosts) == 0 || !r.version.Before(s) {
		return false
	}
	u := Update{Version: s, Complete: true}
	for _, h := range hosts {
		e, ok := r.entries[h.ID]
		if !ok || e.Removed || e.Host != h {
			e = HostEntry{Host: h, Changed: index}
		}
		u.Entries = append(u.Entries, e)
	}
	r.applyUpdate(u)
	return true
}

// Apply applies an update from another daemon, and reports whether it is newer
// than the current list.
func (r *HostList) Apply(u Update) bool {
	if !r.version.Before(u.Version) {
		return false
	}
	r.applyUpdate(u)
	return true
}

func (r *HostList) applyUpdate(u Update) {
	if u.Version.Era != r.version.Era {
		r.entries = map[string]HostEntry{}
		r.prunedIndex, r.recentIndexes = u.Version.Revision, nil
	}
	n := map[string]bool{}
	for _, e := range u.Entries {
		n[e.Host.ID] = true
		r.entries[e.Host.ID] = e
	}
	for id, e := range r.entries {
		if u.Complete && !n[id] && !e.Removed {
			e.Removed, e.Changed = true, u.Version.Revision
			r.entries[id] = e
		}
	}
	r.version, r.indexFell, r.staleReads = u.Version, false, 0
	r.recentIndexes = append(r.recentIndexes, u.Version.Revision)
	r.recentIndexes = r.recentIndexes[max(len(r.recentIndexes)-maxRecentIndexes, 0):]
	r.pruneTombstones()
}

// pruneTombstones removes the oldest tombstones once there are more than
// maxTombstones.
func (r *HostList) pruneTombstones() {
	var l []HostEntry
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

// UpdateSince returns the update for a daemon that has the list of the given
// version: the difference, or the complete list if the difference isn't known.
func (r *HostList) UpdateSince(s store.Position) Update {
	u := Update{Version: r.version}
	u.Complete = s.Era != r.version.Era || s.Revision < r.prunedIndex || !slices.Contains(r.recentIndexes, s.Revision)
	for _, e := range r.entries {
		if u.Complete && !e.Removed || !u.Complete && e.Changed > s.Revision {
			u.Entries = append(u.Entries, e)
		}
	}
	sort.Slice(u.Entries, func(i, j int) bool { return u.Entries[i].Host.ID < u.Entries[j].Host.ID })
	return u
}
