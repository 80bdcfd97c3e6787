// Package storecopy keeps a daemon's local copy of the platform's store, and decides
// from where the daemon learns of changes. It does no I/O and reads no clock.
//
// Package gossip chooses the daemons that it learns them from.
package storecopy

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/store"
)

// TombstoneTime is how long the removal of a key is kept so that it reaches
// other daemons.
const TombstoneTime = time.Minute

// Copy is the local copy of the store's items as of a position. It is safe for
// concurrent use.
type Copy struct {
	mu sync.Mutex
	// items are all of the era of position.
	items map[string]store.Item
	// tombstones holds the time at which each removal of a key was observed.
	tombstones map[string]time.Time
	position   store.Position
	// currentAt is a time at which the copy contained all changes of the store, by
	// the boot-time clock.
	currentAt time.Time
	// prunedRevision is the highest revision, in this era, of a removal that is no
	// longer kept.
	prunedRevision uint64
}

// New returns an empty copy.
func New() *Copy {
	return &Copy{items: map[string]store.Item{}, tombstones: map[string]time.Time{}}
}

// Position returns the store's position that the copy reflects; zero before the first
// update.
func (c *Copy) Position() store.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// Age returns the time since the copy was known to contain all changes of the store,
// or false if it never was.
func (c *Copy) Age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.currentAt), !c.currentAt.IsZero()
}

// Update is what a daemon learns of the store: the items that changed up to a
// position, and a time at which that was all.
type Update struct {
	// Items are of the era of Position.
	Items    []store.Item
	Position store.Position
	// CurrentAt is when the position was current, by the boot-time clock, or
	// earlier. Zero if that isn't known.
	CurrentAt time.Time
	// Complete is set if the items are all items of the store, read at the position
	// or later.
	Complete bool
}

// Apply applies an update and returns the items that are newer than the copy. A key
// missing from a complete update becomes a removal, unless it changed after the
// update's position. An update of an earlier era changes nothing; one of a later era
// must be complete, and then replaces all items.
func (c *Copy) Apply(u Update, now time.Time) []store.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Position.Era < c.position.Era || u.Position.Era > c.position.Era && !u.Complete {
		return nil
	}
	if u.Complete {
		u.Items = append(slices.Clone(u.Items), c.missing(u)...)
	}
	if u.Position.Era > c.position.Era {
		c.position, c.prunedRevision = store.Position{Era: u.Position.Era}, 0
	}
	var o []store.Item
	for _, i := range u.Items {
		if i.Position.Compare(c.items[i.Key].Position) <= 0 {
			continue
		}
		c.items[i.Key] = i
		delete(c.tombstones, i.Key)
		if i.Removed {
			c.tombstones[i.Key] = now
		}
		o = append(o, i)
	}
	if c.position.Before(u.Position) {
		c.position = u.Position
	}
	// A copy that has reached the other one's position is as current.
	if u.CurrentAt.After(c.currentAt) {
		c.currentAt = u.CurrentAt
	}
	c.prune(now)
	return o
}

// missing returns the removals of the keys that a complete update doesn't contain;
// c.mu is held.
func (c *Copy) missing(u Update) []store.Item {
	listed := map[string]bool{}
	for _, i := range u.Items {
		listed[i.Key] = true
	}
	later := u.Position.Era > c.position.Era
	var o []store.Item
	for k, i := range c.items {
		// In a later era also the removals change: their revisions were of an earlier one.
		if !listed[k] && (later || !i.Removed && i.Position.Compare(u.Position) <= 0) {
			o = append(o, store.Item{Key: k, Position: u.Position, Removed: true})
		}
	}
	return o
}

// prune forgets old removals; c.mu is held.
func (c *Copy) prune(now time.Time) {
	for k, t := range c.tombstones {
		if now.Sub(t) > TombstoneTime {
			c.prunedRevision = max(c.prunedRevision, c.items[k].Revision)
			delete(c.tombstones, k)
			delete(c.items, k)
		}
	}
}

// ChangesSince returns the items that changed after a position. The update is
// complete if the position is of an earlier era, or if not all removals since then are
// known any more.
func (c *Copy) ChangesSince(p store.Position) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Position: c.position, CurrentAt: c.currentAt}
	if c.position.Compare(p) <= 0 {
		return u
	}
	u.Complete = p.Era < c.position.Era || p.Revision > 0 && p.Revision < c.prunedRevision
	for _, i := range c.items {
		if u.Complete && !i.Removed || !u.Complete && i.Revision > p.Revision {
			u.Items = append(u.Items, i)
		}
	}
	slices.SortFunc(u.Items, func(a, b store.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return u
}

// Item returns an item of the copy, and the time at which the copy was current.
func (c *Copy) Item(key string) (store.Item, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[key], c.currentAt
}
