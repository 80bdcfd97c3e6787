package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// emptied is the status of a primary that has started again and holds nothing.
func emptied(id string, term uint64) takeover.MemberStatus {
	a := primary(id, term, 0)
	a.Status.Received = logpos.Position{}
	return a
}

var _ = Describe("a primary that tells no position when a connection is opened", func() {
	untold := takeover.PositionReported{Member: "p", RequestedAt: start.Add(1)}

	It("is sent no work until its log has been checked", func() {
		g := newHolder()
		Expect(g.MaySendWork(start)).To(BeTrue())
		g.Handle(untold, start.Add(2))
		Expect(g.MaySendWork(start.Add(2))).To(BeFalse())
		Expect(g.NextAction(healthyState(), start.Add(2))).To(Equal(takeover.DiscoverPrimary{}))
	})

	DescribeTable("is replaced if it holds nothing", func(l ...takeover.MemberStatus) {
		g := newHolder()
		g.Handle(untold, start.Add(2))
		g.Handle(takeover.MembersPolled{Statuses: l}, start.Add(3))
		Expect(g.MaySendWork(start.Add(3))).To(BeFalse())
		Expect(g.NextAction(healthyState(), start.Add(3))).To(Equal(takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}))
	},
		Entry("and a replica has its log", emptied("p", 1), replica("q", 5, false)),
		Entry("and no other member answers", emptied("p", 1), unreachable("q")),
	)

	It("is used again as soon as it shows its log", func() {
		g := newHolder()
		g.Handle(untold, start.Add(2))
		l := []takeover.MemberStatus{primary("p", 1, 5), replica("q", 4, false)}
		Expect(g.MayDiscover(l, 3)).To(BeTrue())
		g.Handle(takeover.MembersPolled{Statuses: l}, start.Add(3))
		Expect(g.MaySendWork(start.Add(3))).To(BeTrue())
		Expect(g.NextAction(healthyState(), start.Add(3))).To(BeNil())
	})

	It("is sent no work either if the answer is older than what it has told since", func() {
		g := newHolder()
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 6}, RequestedAt: start}, start.Add(2))
		g.Handle(untold, start.Add(3))
		Expect(g.MaySendWork(start.Add(3))).To(BeFalse())
	})

	It("is sent work if nothing was ever written", func() {
		g := newHolder()
		fresh := takeover.New(g.Holder())
		r, _ := g.Record()
		observeRecord(fresh, r, 1)
		fresh.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{emptied("p", 1), {Member: replica("q", 0, false).Member, Status: query.Status{Term: 1}}}}, start)
		fresh.Handle(untold, start.Add(time.Millisecond))
		Expect(fresh.MaySendWork(start.Add(time.Millisecond))).To(BeTrue())
	})
})
