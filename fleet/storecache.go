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

// apply applies changes up to a revision and returns the items that are newer
// than the copy.
func (m *storeCache) apply(l []store.Item, revision uint64, now time.Time) []store.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var o []store.Item
	for _, i := range l {
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
	m.revision = max(m.revision, revision)
	for k, t := range m.tombstones {
		if now.Sub(t) > tombstoneTime {
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
func (m *storeCache) replace(l []store.Item, revision uint64, now time.Time) []store.Item {
	listed := map[string]bool{}
	for _, i := range l {
		listed[i.Key] = true
	}
	m.mu.Lock()
	for k, i := range m.items {
		if !listed[k] && !i.Removed && i.Revision <= revision {
			l = append(l, store.Item{Key: k, Revision: revision, Removed: true})
		}
	}
	m.mu.Unlock()
	return m.apply(l, revision, now)
}

// changesSince returns the items that changed after a revision, and the current
// revision.
func (m *storeCache) changesSince(revision uint64) ([]store.Item, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var o []store.Item
	if m.revision <= revision {
		return nil, m.revision
	}
	for _, i := range m.items {
		if i.Revision > revision {
			o = append(o, i)
		}
	}
	slices.SortFunc(o, func(a, b store.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return o, m.revision
}
