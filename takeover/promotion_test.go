package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// announce writes the intent to promote a member into the record, and reports whether the
// host may request the promotion.
func announce(g *takeover.Group, member string, l []takeover.MemberStatus, now time.Time) bool {
	c, ok := g.AnnouncePromotion(takeover.Announcement{Target: member, Statuses: l}, now)
	if !ok {
		return false
	}
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: c.Record, Position: store.Position{Revision: c.Revision + 1}, RequestedAt: now}}, now)
	return true
}

// requestPromotion announces and requests the promotion of a member, to which the platform
// gives an answer.
func requestPromotion(g *takeover.Group, member string, l []takeover.MemberStatus, a takeover.PromotionAnswer, now time.Time) {
	GinkgoHelper()
	Expect(announce(g, member, l, now)).To(BeTrue())
	_, ok := g.Promotion(member, now)
	Expect(ok).To(BeTrue())
	g.Handle(takeover.PromotionRequested{Member: member}, now)
	g.Handle(takeover.PromotionAnswered{Member: member, Answer: a}, now)
}

// selectAt selects the member to promote by statuses that were requested at a time.
func selectAt(g *takeover.Group, now time.Time, l ...takeover.MemberStatus) (string, takeover.SelectionResult) {
	a, r := g.SelectCandidate(takeover.SelectionInput{Statuses: l, RequestedAt: now, OldPrimary: "p", Nearer: func(catalog.Member, catalog.Member) bool { return false }})
	return a.Member.ID, r
}

// Guards against the use of a member that was promoted earlier, after the promotion of another
// one was requested (case 6 of the review, ONE).
var _ = Describe("a holder that has requested two promotions, one after the other", func() {
	var g *takeover.Group
	later := start.Add(lease.PromotionEffectTime)
	settled := later.Add(lease.PromotionEffectTime)

	BeforeEach(func() {
		g = newHolder()
		requestPromotion(g, "a", []takeover.MemberStatus{replica("a", 5, false), replica("b", 5, false)}, takeover.PromotionAccepted, start)
		Expect(g.MayRequestPromotion("b", later.Add(-1))).To(BeFalse(), "the first one may yet take effect")
		requestPromotion(g, "b", []takeover.MemberStatus{unreachable("a"), replica("b", 5, false)}, takeover.PromotionAccepted, later)
	})

	It("doesn't use the first member", func() {
		Expect(g.LeadsAsRequested(primary("a", 2, 5))).To(BeFalse())
		_, r := selectAt(g, later.Add(time.Second), primary("a", 2, 5), unreachable("b"))
		Expect(r).To(Equal(takeover.CandidatePending))
		id, r := selectAt(g, settled, primary("a", 2, 5), unreachable("b"))
		Expect(r).To(Equal(takeover.CandidateReady), "only by another promotion")
		Expect(id).To(Equal("a"))
	})

	It("uses the second member as soon as it leads", func() {
		Expect(g.LeadsAsRequested(primary("b", 3, 5))).To(BeTrue())
		id, r := selectAt(g, later.Add(time.Second), unreachable("a"), primary("b", 2, 5))
		Expect(r).To(Equal(takeover.CandidateLeads), "also if the first promotion had no effect")
		Expect(id).To(Equal("b"))
	})

	It("uses the member of the latest term once both answer and the promotions have taken effect", func() {
		l := []takeover.MemberStatus{primary("a", 2, 5), replica("b", 5, false)}
		_, r := selectAt(g, settled.Add(-1), l...)
		Expect(r).NotTo(Equal(takeover.CandidateLeads))
		id, r := selectAt(g, settled, l...)
		Expect(r).To(Equal(takeover.CandidateLeads))
		Expect(id).To(Equal("a"))
		l[1].Status.Term = 3
		_, r = selectAt(g, settled, l...)
		Expect(r).NotTo(Equal(takeover.CandidateLeads), "the other one knows of a later term")
	})

	It("uses the first member after it was promoted again, by its later term", func() {
		requestPromotion(g, "a", []takeover.MemberStatus{primary("a", 2, 5), unreachable("b")}, takeover.PromotionAccepted, settled)
		Expect(g.LeadsAsRequested(primary("a", 2, 5))).To(BeFalse())
		Expect(g.LeadsAsRequested(primary("a", 4, 5))).To(BeTrue())
	})

	It("uses the first member, promoted again, once the second one is gone, in an unchanged term", func() {
		requestPromotion(g, "a", []takeover.MemberStatus{primary("a", 2, 5), unreachable("b")}, takeover.PromotionAccepted, settled)
		after := settled.Add(lease.PromotionEffectTime)
		_, r := selectAt(g, after, primary("a", 2, 5), unreachable("b"))
		Expect(r).NotTo(Equal(takeover.CandidateLeads))
		_, r = selectAt(g, after, primary("a", 2, 5))
		Expect(r).To(Equal(takeover.CandidateLeads))
	})

	It("tells a later holder which members it has promoted", func() {
		r, _ := g.Record()
		o := takeover.New(lease.Holder{ID: "o"})
		r.Holder, r.Epoch = lease.Holder{ID: "o"}, r.Epoch+1
		observeRecord(o, r, 9)
		Expect(o.MayDiscover([]takeover.MemberStatus{primary("a", 2, 5)}, 3)).To(BeFalse())
		Expect(o.MayDiscover([]takeover.MemberStatus{primary("b", 2, 5)}, 3)).To(BeTrue())
		o.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("a", 2, 5), unreachable("b")}, RequestedAt: start}, start)
		Expect(o.PrimaryDiscovered()).To(BeTrue())
		Expect(o.MaySendWork(start)).To(BeFalse())
	})
})

var _ = Describe("a requested promotion", func() {
	l := []takeover.MemberStatus{replica("a", 5, false), replica("b", 5, false)}

	It("doesn't keep another member from being promoted if it was rejected", func() {
		g := newHolder()
		requestPromotion(g, "a", l, takeover.PromotionRejected, start)
		requestPromotion(g, "b", l, takeover.PromotionAccepted, start)
		r, _ := g.Record()
		Expect(r.EarlierTargets).To(BeEmpty())
	})

	It("may be requested again at once, but not that of another member while the call may be carried out", func() {
		g := newHolder()
		requestPromotion(g, "a", l, takeover.NoPromotionAnswer, start)
		later := start.Add(lease.PromotionCallTime)
		Expect(g.MayRequestPromotion("a", start)).To(BeTrue())
		Expect(g.MayRequestPromotion("b", later)).To(BeFalse())
		_, r := selectAt(g, later, unreachable("a"), replica("b", 5, false))
		Expect(r).To(Equal(takeover.CandidatePending))
		id, _ := selectAt(g, later, l...)
		Expect(id).To(Equal("a"))
		Expect(g.MayRequestPromotion("b", later.Add(lease.PromotionEffectTime))).To(BeTrue())
	})

	It("is followed by another one at once after it has taken effect", func() {
		g := newHolder()
		requestPromotion(g, "a", l, takeover.PromotionAccepted, start)
		g.Handle(takeover.PrimaryConfirmed{Member: "a", Status: primary("a", 2, 5).Status}, start.Add(time.Second))
		Expect(g.MayRequestPromotion("b", start.Add(time.Second))).To(BeTrue())
	})

	It("of a member that an earlier version didn't name is taken for that of any", func() {
		g := takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1, Target: "pending"}, 1)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("a", 2, 5), unreachable("b")}, RequestedAt: start}, start)
		Expect(g.MaySendWork(start)).To(BeFalse())
		requestPromotion(g, "a", []takeover.MemberStatus{primary("a", 2, 5)}, takeover.PromotionAccepted, start)
		Expect(g.LeadsAsRequested(primary("a", 3, 5))).To(BeTrue())
	})
})

// Guards against a promotion that is requested while the call of an earlier holder, which has
// ended, is still on its way (case 7 of the review, ONE).
var _ = Describe("the successor of a holder that ended after it had announced a promotion", func() {
	var g *takeover.Group
	f := healthyState()
	f.PrimaryDraining = true
	arrived := start.Add(lease.PromotionCallTime)
	settled := arrived.Add(lease.PromotionEffectTime)

	// hold makes g the holder by a record of the host h, which has ended.
	hold := func(r lease.Record) {
		r.Holder, r.Primary, r.Term, r.LogEnd = lease.Holder{ID: "h"}, "p", max(r.Term, 1), logpos.Position{Term: 1, Offset: 5}
		g = takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, r, 1)
		c := g.Acquire(start)
		observeRecord(g, c.Record, 2)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5), replica("a", 5, false), replica("b", 5, false)}, RequestedAt: start}, start)
		g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: "h"}}, start)
	}

	It("requests none until the other holder's call must have arrived and taken effect", func() {
		hold(lease.Record{Target: "a", TargetTerm: 2})
		Expect(g.MayReplace(start)).To(BeTrue())
		for _, id := range []string{"a", "b"} {
			Expect(g.MayRequestPromotion(id, settled.Add(-1))).To(BeFalse())
			Expect(g.MayRequestPromotion(id, settled)).To(BeTrue())
		}
		Expect(g.NextAction(f, start)).To(Equal(takeover.AwaitPromotion{Member: "a"}))
		Expect(g.BlockedUntil(takeover.PrimaryState{Listed: true}, start.Add(time.Second))).To(BeZero(), "the member may lead at any time")
		Expect(g.BlockedUntil(takeover.PrimaryState{Listed: true}, start.Add(lease.PromotionEffectTime+1))).To(Equal(settled))
		observeRecordAt(g, 2, settled)
		Expect(g.NextAction(f, settled)).To(Equal(takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}))
	})

	It("uses the member whose promotion was announced once it leads", func() {
		hold(lease.Record{Target: "a", TargetTerm: 2})
		g.Handle(takeover.PromotionEffective{}, start)
		Expect(g.NextAction(f, start)).To(Equal(takeover.DiscoverPrimary{}))
		l := []takeover.MemberStatus{primary("a", 2, 5)}
		Expect(g.MayDiscover(l, 3)).To(BeTrue())
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start}, start)
		Expect(g.MaySendWork(start)).To(BeTrue())
	})

	It("tells the next holder that the call may yet be carried out, and takes that back in time", func() {
		hold(lease.Record{Target: "a", TargetTerm: 2})
		g.Handle(takeover.PromotionEffective{}, start)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("a", 2, 5)}, RequestedAt: start}, start)
		c, ok := g.NamePrimary(start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.Target).To(BeEmpty())
		Expect(c.Record.CallsPending).To(BeTrue())
		observeRecord(g, c.Record, 3)
		f := healthyState()
		Expect(g.NextAction(f, start)).To(BeNil())
		Expect(g.Transfer(lease.Holder{ID: "b"}, start).Record.CallsPending).To(BeTrue())
		observeRecordAt(g, 3, arrived)
		f.PrimaryHealth = nil
		Expect(g.NextAction(f, arrived)).To(Equal(takeover.RecordPrimary{}))
		c, _ = g.NamePrimary(arrived)
		Expect(c.Record.CallsPending).To(BeFalse())
	})

	It("waits also if it is told only that a call may yet be carried out", func() {
		hold(lease.Record{CallsPending: true})
		Expect(g.MaySendWork(start)).To(BeTrue())
		Expect(g.MayRequestPromotion("b", settled.Add(-1))).To(BeFalse())
		Expect(g.MayRequestPromotion("b", settled)).To(BeTrue())
	})

	It("knows when a holder that may be alive has requested the last one", func() {
		g = takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "h"}, Primary: "p", Term: 1, Target: "a", TargetTerm: 2}, 1)
		observeRecord(g, g.Acquire(start).Record, 2)
		expired := start.Add(lease.PromotionValidity + lease.PromotionCallTime + lease.PromotionEffectTime)
		observeRecordAt(g, 2, expired)
		Expect(g.MayReplace(expired)).To(BeTrue())
		Expect(g.MayRequestPromotion("a", expired.Add(-1))).To(BeFalse())
		Expect(g.MayRequestPromotion("a", expired)).To(BeTrue())
	})

	It("asks in turn whether the previous holder has ended, while it may not have", func() {
		g = takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "h"}, Primary: "p", Term: 1, Target: "a", TargetTerm: 2}, 1)
		observeRecord(g, g.Acquire(start).Record, 2)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}, RequestedAt: start}, start)
		Expect(g.NextAction(f, start)).To(Equal(takeover.AwaitPromotion{Member: "a"}))
		Expect(g.NextAction(f, start)).To(Equal(takeover.PollPreviousHolders{}))
		Expect(g.NextAction(f, start)).To(Equal(takeover.AwaitPromotion{Member: "a"}))
	})
})

var _ = It("a promotion is requested only soon after the lease was confirmed", func() {
	g := newHolder()
	Expect(announce(g, "a", []takeover.MemberStatus{replica("a", 5, false)}, start)).To(BeTrue())
	_, ok := g.Promotion("a", start.Add(lease.PromotionValidity-1))
	Expect(ok).To(BeTrue())
	_, ok = g.Promotion("a", start.Add(lease.PromotionValidity))
	Expect(ok).To(BeFalse())
	Expect(g.HoldsLease(start.Add(lease.PromotionValidity))).To(BeTrue())
})

var _ = It("all calls for one member's promotion have the same fencing token", func() {
	g := newHolder()
	l := []takeover.MemberStatus{replica("a", 5, false)}
	Expect(announce(g, "a", l, start)).To(BeTrue())
	token, _ := g.Promotion("a", start)
	g.Handle(takeover.PromotionRequested{Member: "a", Token: token}, start)
	g.Handle(takeover.PromotionAnswered{Member: "a"}, start)
	r, _ := g.Record()
	observeRecord(g, r, 9)
	again, ok := g.Promotion("a", start)
	Expect(ok).To(BeTrue())
	Expect(again).To(Equal(token))
})
