package storecopy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

var _ = Describe("copy", func() {
	item := func(key string, rev uint64) store.Item { return store.Item{Key: key, Revision: rev} }
	get := func(c *storecopy.Copy, key string) store.Item {
		i, _ := c.Item(key)
		return i
	}

	It("returns only items that are newer than its own, and the changes that another copy lacks", func() {
		c, d, t := storecopy.New(), storecopy.New(), time.Now()
		apply := func(rev uint64, l ...store.Item) []store.Item {
			return c.Apply(storecopy.Update{Items: l, Revision: rev}, t)
		}
		Expect(apply(3, item("a", 2), item("b", 3))).To(HaveLen(2))
		Expect(apply(3, item("a", 2))).To(BeEmpty())
		Expect(apply(5, store.Item{Key: "b", Revision: 5, Removed: true})).To(HaveLen(1))
		d.Apply(c.ChangesSince(d.Revision()), t)
		Expect(d.Revision()).To(Equal(uint64(5)))
		Expect(d.ChangesSince(0)).To(Equal(c.ChangesSince(0)))
		Expect(c.ChangesSince(0).Items).To(Equal([]store.Item{item("a", 2), {Key: "b", Revision: 5, Removed: true}}))
		Expect(c.ChangesSince(5).Items).To(BeEmpty())
	})

	It("treats keys missing from a complete listing as removed, except newer ones", func() {
		c, t := storecopy.New(), time.Now()
		c.Apply(storecopy.Update{Items: []store.Item{item("a", 2), item("b", 9)}, Revision: 9}, t)
		o := c.Apply(storecopy.Update{Items: []store.Item{item("c", 4)}, Revision: 7, Complete: true}, t)
		Expect(o).To(ConsistOf(item("c", 4), store.Item{Key: "a", Revision: 7, Removed: true}))
		Expect(get(c, "b").Removed).To(BeFalse())
	})

	It("sends a complete copy to a daemon that has missed removals which are no longer kept", func() {
		c, d, t := storecopy.New(), storecopy.New(), time.Now()
		c.Apply(storecopy.Update{Items: []store.Item{item("left", 1), item("stays", 2)}, Revision: 2}, t)
		d.Apply(c.ChangesSince(0), t)
		c.Apply(storecopy.Update{Items: []store.Item{{Key: "left", Revision: 3, Removed: true}}, Revision: 3}, t)
		later := t.Add(2 * storecopy.TombstoneTime)
		c.Apply(storecopy.Update{Items: []store.Item{item("new", 4)}, Revision: 4}, later)
		u := c.ChangesSince(d.Revision())
		Expect(u.Complete).To(BeTrue())
		d.Apply(u, later)
		Expect(get(d, "left").Removed).To(BeTrue())
		Expect(get(d, "stays")).To(Equal(item("stays", 2)))
		Expect(get(d, "new")).To(Equal(item("new", 4)))
		Expect(c.ChangesSince(4).Complete).To(BeFalse())
	})

	It("is as current as the most current copy that it has followed", func() {
		c, t := storecopy.New(), time.Now()
		_, ok := c.Age(t)
		Expect(ok).To(BeFalse())
		c.Apply(storecopy.Update{Revision: 4, CurrentAt: t}, t)
		c.Apply(storecopy.Update{Revision: 3, CurrentAt: t.Add(-time.Second)}, t)
		c.Apply(storecopy.Update{Revision: 4}, t)
		_, at := c.Item("a")
		Expect(at).To(Equal(t))
		age, ok := c.Age(t.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(time.Second))
	})
})
