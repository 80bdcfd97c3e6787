package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
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
		r.LogEnd = logpos.Position{}
		observeRecord(fresh, r, 1)
		fresh.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{emptied("p", 1), {Member: replica("q", 0, false).Member, Status: query.Status{Term: 1}}}}, start)
		fresh.Handle(untold, start.Add(time.Millisecond))
		Expect(fresh.MaySendWork(start.Add(time.Millisecond))).To(BeTrue())
	})
})

var _ = Describe("a primary that has started again", func() {
	restarted := takeover.MemberRestarted{Member: "p"}

	It("is sent no work until its log has been checked", func() {
		g := newHolder()
		g.Handle(restarted, start)
		Expect(g.MaySendWork(start)).To(BeFalse())
		Expect(g.NextAction(healthyState(), start)).To(Equal(takeover.DiscoverPrimary{}))
	})

	It("is used again by its own answer alone if it has the log", func() {
		g := newHolder()
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 5}, RequestedAt: start.Add(1)}, start.Add(2))
		g.Handle(restarted, start.Add(3))
		l := []takeover.MemberStatus{primary("p", 1, 5)}
		Expect(g.MayDiscover(l, 3)).To(BeTrue())
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start.Add(3)}, start.Add(4))
		Expect(g.MaySendWork(start.Add(4))).To(BeTrue())
	})

	It("is replaced by its own answer alone if it holds nothing", func() {
		g := newHolder()
		g.Handle(restarted, start)
		l := []takeover.MemberStatus{emptied("p", 1)}
		Expect(g.MayDiscover(l, 3)).To(BeTrue())
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start}, start.Add(1))
		Expect(g.NextAction(healthyState(), start.Add(1))).To(Equal(takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}))
	})

	It("is checked again when its replacement has failed", func() {
		g := newHolder()
		g.Handle(takeover.ReplacementStarted{}, start)
		g.Handle(restarted, start)
		g.Handle(takeover.ReplacementEnded{}, start)
		Expect(g.MaySendWork(start)).To(BeFalse())
		Expect(g.NextAction(healthyState(), start)).To(Equal(takeover.DiscoverPrimary{}))
	})

	It("doesn't matter if it is another member", func() {
		g := newHolder()
		g.Handle(takeover.MemberRestarted{Member: "q"}, start)
		Expect(g.MaySendWork(start)).To(BeTrue())
	})
})

// Guards against the use of an empty primary by a host that becomes the holder later, and
// has not seen its log (three random pairs of faults of package matrix).
var _ = Describe("a host that becomes the holder after the primary has restarted without its log", func() {
	end := logpos.Position{Term: 2, Offset: 7}
	newLaterHolder := func(l ...takeover.MemberStatus) *takeover.Group {
		g := takeover.New(lease.Holder{ID: "b"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "b"}, Epoch: 2, Primary: "p", Term: 2, LogEnd: end}, 1)
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start}, start.Add(1))
		return g
	}

	DescribeTable("sends it no work, and replaces it", func(l ...takeover.MemberStatus) {
		g := newLaterHolder(l...)
		Expect(g.MaySendWork(start.Add(1))).To(BeFalse())
		Expect(g.NextAction(healthyState(), start.Add(1))).To(Equal(takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}))
	},
		Entry("if the replicas haven't received anything of its term", primary("p", 2, 0), replica("q", 7, false)),
		Entry("if it has been written to since", primary("p", 2, 1), replica("q", 7, false)),
		Entry("if it tells no position, and no other member answers", emptied("p", 2), unreachable("q")),
	)

	It("replaces it as soon as it answers if no member has answered before", func() {
		g := newLaterHolder(unreachable("p"), unreachable("q"))
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 2}, RequestedAt: start.Add(2)}, start.Add(3))
		expectLost(g, primary("p", 2, 0), unreachable("q"))
	})

	DescribeTable("uses a primary", func(l ...takeover.MemberStatus) {
		Expect(newLaterHolder(l...).MaySendWork(start.Add(1))).To(BeTrue())
	},
		Entry("that has come back with its log", primary("p", 2, 7), unreachable("q")),
		Entry("that was promoted since without the end of the earlier term", unreachable("p"), primary("q", 3, 6)),
	)
})

// Guards against the use of a promoted member that has lost its log, by a holder that starts
// with the record alone.
var _ = Describe("a member that leads a later term without a log", func() {
	empty := takeover.MemberStatus{Member: replica("q", 0, false).Member, Status: query.Status{Primary: true, Term: 2, Received: logpos.Position{Term: 2}}}

	DescribeTable("isn't used by a later holder, whichever member answers first", func(l ...takeover.MemberStatus) {
		g := takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "q", Term: 2}, 1)
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start}, start)
		Expect(g.PrimaryDiscovered()).To(BeTrue())
		Expect(g.MaySendWork(start)).To(BeFalse())
	},
		Entry("itself", empty, replica("s", 44, false)),
		Entry("another", replica("s", 44, false), empty),
	)

	It("doesn't hide that there were entries from a later holder if the store comes back from an older copy", func() {
		g := newHolder()
		g.Handle(takeover.PrimaryConfirmed{Member: "q", Status: empty.Status, LogEnd: logpos.Position{Term: 1, Offset: 5}}, start)
		Expect(g.PrimaryUsable()).To(BeFalse())
		g.Handle(takeover.LeaseEvent{Event: lease.EraObserved{Era: 1, Since: start}}, start)
		c := g.Rewrite(start)
		Expect(c.Record.LogEnd.Offset).To(Equal(uint64(5)))
	})
})

var _ = Describe("the end of the log in a group's record", func() {
	It("is written with the primary", func() {
		c, ok := newHolder().NamePrimary(start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.LogEnd).To(Equal(logpos.Position{Term: 1, Offset: 5}))
	})

	It("is written once the log has entries", func() {
		g := takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1}, 1)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{emptied("p", 1)}}, start)
		Expect(g.NextAction(healthyState(), start)).To(BeNil())
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 1}, RequestedAt: start}, start)
		Expect(g.NextAction(healthyState(), start)).To(Equal(takeover.RecordPrimary{}))
	})

	It("is that of the new primary's term after a promotion that has rolled back entries", func() {
		g := newHolder()
		g.Handle(takeover.PrimaryConfirmed{Member: "q", Status: query.Status{Primary: true, Term: 2, Received: logpos.Position{Term: 2, Offset: 4}}, LogEnd: logpos.Position{Term: 1, Offset: 4}}, start)
		c, ok := g.NamePrimary(start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.LogEnd).To(Equal(logpos.Position{Term: 2, Offset: 4}))
	})
})

var _ = Describe("a member that holds nothing", func() {
	none := takeover.MemberStatus{Member: replica("q", 0, false).Member, Status: query.Status{Term: 1}}
	choose := func(g *takeover.Group, c takeover.SelectionInput) (string, takeover.SelectionResult) {
		c.OldPrimary, c.Nearer = "p", func(catalog.Member, catalog.Member) bool { return false }
		a, r := g.SelectCandidate(c)
		return a.Member.ID, r
	}
	lost := func(g *takeover.Group) {
		g.Handle(takeover.MemberRestarted{Member: "p"}, start)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{emptied("p", 1)}}, start)
	}

	DescribeTable("isn't promoted while another may hold more", func(change func(*takeover.Group), c takeover.SelectionInput) {
		g := newHolder()
		change(g)
		_, r := choose(g, c)
		Expect(r).To(Equal(takeover.NoCandidate))
	},
		Entry("such as the silent primary", func(*takeover.Group) {}, takeover.SelectionInput{Statuses: []takeover.MemberStatus{none}}),
		Entry("such as the draining primary", func(*takeover.Group) {}, takeover.SelectionInput{Planned: true, CatchUpExpired: true, Statuses: []takeover.MemberStatus{primary("p", 1, 5), none}}),
		Entry("such as a replica that doesn't answer", lost, takeover.SelectionInput{Statuses: []takeover.MemberStatus{none, unreachable("s")}}),
		Entry("though it is primary in a later term", lost, takeover.SelectionInput{Statuses: []takeover.MemberStatus{emptied("q", 2), unreachable("s")}}),
	)

	DescribeTable("isn't preferred to one with a log, though it is primary in a later term", func(a takeover.MemberStatus, log logpos.Position) {
		o := replica("s", 0, false)
		o.Status.Term, o.Status.Received = 2, log
		id, r := choose(newHolder(), takeover.SelectionInput{Statuses: []takeover.MemberStatus{a, o}})
		Expect(id).To(Equal("s"))
		Expect(r).To(Equal(takeover.CandidateReady))
	},
		Entry("that has received nothing of it", primary("q", 2, 0), logpos.Position{Term: 1, Offset: 5}),
		Entry("that has received more of it", primary("q", 2, 1), logpos.Position{Term: 2, Offset: 7}),
	)

	DescribeTable("is promoted if no other can hold more", func(change func(*takeover.Group), c takeover.SelectionInput) {
		g := newHolder()
		change(g)
		id, r := choose(g, c)
		Expect(id).To(Equal("q"))
		Expect(r).To(Equal(takeover.CandidateReady))
	},
		Entry("since the primary is gone", func(*takeover.Group) {}, takeover.SelectionInput{OldPrimaryGone: true, Statuses: []takeover.MemberStatus{none}}),
		Entry("since the primary has lost its log", lost, takeover.SelectionInput{Statuses: []takeover.MemberStatus{none}}),
	)
})
