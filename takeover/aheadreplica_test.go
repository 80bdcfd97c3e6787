package takeover_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// A replica that doesn't follow the new primary yet tells entries that a promotion has
// rolled back.
var _ = Describe("entries of an earlier term that a replica is yet to roll back", func() {
	ahead := replica("q", 9, false)
	promoted := primary("p", 2, 6)
	promoted.Status.Received = logpos.Position{Term: 1, Offset: 6}
	statuses := []takeover.MemberStatus{promoted, ahead, unreachable("s")}
	newHolderAt := func(id string, r lease.Record, l []takeover.MemberStatus) *takeover.Group {
		g := takeover.New(lease.Holder{ID: id})
		r.Holder = lease.Holder{ID: id}
		observeRecord(g, r, 1)
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start}, start.Add(1))
		return g
	}

	It("aren't recorded as the end of the primary's log", func() {
		g := newHolderAt("a", lease.Record{Epoch: 1, Primary: "p", Term: 2}, statuses)
		c, ok := g.NamePrimary(start.Add(2))
		Expect(ok).To(BeTrue())
		Expect(c.Record.LogEnd).NotTo(Equal(logpos.Position{Term: 1, Offset: 9}))
	})

	It("don't make a later holder replace a primary that has its log", func() {
		early := newHolderAt("a", lease.Record{Epoch: 1, Primary: "p", Term: 2}, statuses)
		c, ok := early.NamePrimary(start.Add(2))
		Expect(ok).To(BeTrue())
		r := c.Record
		r.Epoch = 2
		later := newHolderAt("b", r, []takeover.MemberStatus{primary("p", 2, 7), unreachable("q"), unreachable("s")})
		Expect(later.MaySendWork(start.Add(1))).To(BeTrue())
		Expect(later.NextAction(healthyState(), start.Add(1))).NotTo(Equal(takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}))
	})
})
