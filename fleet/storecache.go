package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/store"
)

// tombstoneTime is how long the removal of a key is kept so that it reaches
// other daemons.
const tombstoneTime = time.Minute

// storeCache is the local copy of the store's items as of a revision. It is
// safe for concurrent use.
type storeCache struct {
	mu    sync.Mutex
	items map[string]store.Item
	// tombstones holds the time at which each removal of a key was observed.
	tombstones map[string]time.Time
	revision   uint64
	// currentAt is a time at which the copy contained all changes of the store, by
	// the boot-time clock.
	currentAt time.Time
	// prunedRevision is the highest revision of a removal that is no longer kept.
	prunedRevision uint64
	// changed is closed and replaced whenever an item changes.
	changed chan struct{}
}

func newStoreCache() *storeCache {
	return &storeCache{items: map[string]store.Item{}, tombstones: map[string]time.Time{}, changed: make(chan struct{})}
}

// currentRevision returns the store's revision that the copy reflects.
func (m *storeCache) currentRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// copyUpdate is what a daemon learns of the store: the items that changed up to a
// revision, and a time at which that was all.
type copyUpdate struct {
	items    []store.Item
	revision uint64
	// currentAt is when the revision was current, by the boot-time clock, or
	// earlier. Zero if that isn't known.
	currentAt time.Time
	// complete is set if the items are all items of the store.
	complete bool
	// source is where the update comes from: sourceStore or a daemon's ID.
	source string
}

// sourceStore is the source of the updates that the store itself returned.
const sourceStore = "store"

// apply applies changes and returns the items that are newer than the copy.
func (m *storeCache) apply(u copyUpdate, now time.Time) []store.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var o []store.Item
	for _, i := range u.items {
		if i.Revision <= m.items[i.Key].Revision {
			continue
		}
		m.items[i.Key] = i
		delete(m.tombstones, i.Key)
		if i.Removed {
			m.tombstones[i.Key] = now
		}
		o = append(o, i)
	}
	m.revision = max(m.revision, u.revision)
	// A copy that has reached the other one's revision is as current.
	if u.currentAt.After(m.currentAt) {
		m.currentAt = u.currentAt
	}
	for k, t := range m.tombstones {
		if now.Sub(t) > tombstoneTime {
			m.prunedRevision = max(m.prunedRevision, m.items[k].Revision)
			delete(m.tombstones, k)
			delete(m.items, k)
		}
	}
	if len(o) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return o
}

// replace applies a complete listing of the store, read at the revision or
// later, and returns the items that are newer than the copy. A key missing from
// the listing becomes a removal, unless it changed after the revision.
func (m *storeCache) replace(u copyUpdate, now time.Time) []store.Item {
	listed := map[string]bool{}
	for _, i := range u.items {
		listed[i.Key] = true
	}
	m.mu.Lock()
	for k, i := range m.items {
		if !listed[k] && !i.Removed && i.Revision <= u.revision {
			u.items = append(u.items, store.Item{Key: k, Revision: u.revision, Removed: true})
		}
	}
	m.mu.Unlock()
	return m.apply(u, now)
}

// changesSince returns the items that changed after a revision. If not all removals
// since then are known any more, it returns all items and true.
func (m *storeCache) changesSince(revision uint64) (copyUpdate, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := copyUpdate{revision: m.revision, currentAt: m.currentAt}
	if m.revision <= revision {
		return u, false
	}
	complete := revision > 0 && revision < m.prunedRevision
	for _, i := range m.items {
		if complete && !i.Removed || !complete && i.Revision > revision {
			u.items = append(u.items, i)
		}
	}
	slices.SortFunc(u.items, func(a, b store.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return u, complete
}

// age returns the time since the copy was known to contain all changes of the store,
// or false if it never was.
func (m *storeCache) age(now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.currentAt), !m.currentAt.IsZero()
}

// item returns an item of the copy, and the time at which the copy was current.
func (m *storeCache) item(key string) (store.Item, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.items[key], m.currentAt
}
