package storecopy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

var _ = Describe("copy", func() {
	at := func(rev uint64) store.Position { return store.Position{Revision: rev} }
	item := func(key string, rev uint64) store.Item { return store.Item{Key: key, Position: at(rev)} }
	removal := func(key string, rev uint64) store.Item {
		return store.Item{Key: key, Position: at(rev), Removed: true}
	}
	get := func(c *storecopy.Copy, key string) store.Item {
		i, _ := c.Item(key)
		return i
	}

	It("returns only items that are newer than its own, and the changes that another copy lacks", func() {
		c, d, t := storecopy.New(), storecopy.New(), time.Now()
		apply := func(rev uint64, l ...store.Item) []store.Item {
			return c.Apply(storecopy.Update{Items: l, Position: at(rev)}, t)
		}
		Expect(apply(3, item("a", 2), item("b", 3))).To(HaveLen(2))
		Expect(apply(3, item("a", 2))).To(BeEmpty())
		Expect(apply(5, removal("b", 5))).To(HaveLen(1))
		d.Apply(c.ChangesSince(d.Position()), t)
		Expect(d.Position()).To(Equal(at(5)))
		Expect(d.ChangesSince(at(0))).To(Equal(c.ChangesSince(at(0))))
		Expect(c.ChangesSince(at(0)).Items).To(Equal([]store.Item{item("a", 2), removal("b", 5)}))
		Expect(c.ChangesSince(at(5)).Items).To(BeEmpty())
	})

	It("treats keys missing from a complete listing as removed, except newer ones", func() {
		c, t := storecopy.New(), time.Now()
		c.Apply(storecopy.Update{Items: []store.Item{item("a", 2), item("b", 9)}, Position: at(9)}, t)
		o := c.Apply(storecopy.Update{Items: []store.Item{item("c", 4)}, Position: at(7), Complete: true}, t)
		Expect(o).To(ConsistOf(item("c", 4), removal("a", 7)))
		Expect(get(c, "b").Removed).To(BeFalse())
	})

	It("sends a complete copy to a daemon that has missed removals which are no longer kept", func() {
		c, d, t := storecopy.New(), storecopy.New(), time.Now()
		c.Apply(storecopy.Update{Items: []store.Item{item("left", 1), item("stays", 2)}, Position: at(2)}, t)
		d.Apply(c.ChangesSince(at(0)), t)
		c.Apply(storecopy.Update{Items: []store.Item{removal("left", 3)}, Position: at(3)}, t)
		later := t.Add(2 * storecopy.TombstoneTime)
		c.Apply(storecopy.Update{Items: []store.Item{item("new", 4)}, Position: at(4)}, later)
		u := c.ChangesSince(d.Position())
		Expect(u.Complete).To(BeTrue())
		d.Apply(u, later)
		Expect(get(d, "left").Removed).To(BeTrue())
		Expect(get(d, "stays")).To(Equal(item("stays", 2)))
		Expect(get(d, "new")).To(Equal(item("new", 4)))
		Expect(c.ChangesSince(at(4)).Complete).To(BeFalse())
	})

	It("is as current as the most current copy that it has followed", func() {
		c, t := storecopy.New(), time.Now()
		_, ok := c.Age(t)
		Expect(ok).To(BeFalse())
		c.Apply(storecopy.Update{Position: at(4), CurrentAt: t}, t)
		c.Apply(storecopy.Update{Position: at(3), CurrentAt: t.Add(-time.Second)}, t)
		c.Apply(storecopy.Update{Position: at(4)}, t)
		_, currentAt := c.Item("a")
		Expect(currentAt).To(Equal(t))
		age, ok := c.Age(t.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(time.Second))
	})

	It("takes over everything of a later era, although revisions have gone back", func() {
		era := func(e, rev uint64) store.Position { return store.Position{Era: e, Revision: rev} }
		c, t := storecopy.New(), time.Now()
		c.Apply(storecopy.Update{Items: []store.Item{item("kept", 2), item("changed", 8), item("lost", 9)}, Position: at(9), CurrentAt: t}, t)

		By("but not in part")
		part := storecopy.Update{Items: []store.Item{{Key: "kept", Position: era(1, 4)}}, Position: era(1, 12), CurrentAt: t.Add(time.Second)}
		Expect(c.Apply(part, t)).To(BeEmpty())
		Expect(c.Position()).To(Equal(at(9)))
		age, _ := c.Age(t)
		Expect(age).To(BeZero())

		By("as a whole")
		whole := storecopy.Update{Items: []store.Item{{Key: "kept", Position: era(1, 2)}, {Key: "changed", Position: era(1, 5)}}, Position: era(1, 6), Complete: true}
		Expect(c.Apply(whole, t)).To(ConsistOf(whole.Items[0], whole.Items[1], store.Item{Key: "lost", Position: era(1, 6), Removed: true}))
		Expect(c.Position()).To(Equal(era(1, 6)))

		By("and nothing more of the earlier one")
		Expect(c.Apply(storecopy.Update{Items: []store.Item{item("late", 50)}, Position: at(50), CurrentAt: t.Add(time.Hour)}, t)).To(BeEmpty())
		Expect(c.Apply(storecopy.Update{Items: []store.Item{item("late", 50)}, Position: at(50), Complete: true}, t)).To(BeEmpty())
		Expect(get(c, "late").Revision).To(BeZero())
		Expect(c.Position()).To(Equal(era(1, 6)))

		By("and passes it on as a whole")
		u := c.ChangesSince(at(9))
		Expect(u.Complete).To(BeTrue())
		Expect(u.Items).To(ConsistOf(whole.Items[0], whole.Items[1]))
		d := storecopy.New()
		d.Apply(storecopy.Update{Items: []store.Item{item("lost", 9)}, Position: at(9)}, t)
		d.Apply(u, t)
		Expect(d.Position()).To(Equal(era(1, 6)))
		Expect(get(d, "lost").Removed).To(BeTrue())
		Expect(c.ChangesSince(era(2, 1)).Items).To(BeEmpty())
	})
})
