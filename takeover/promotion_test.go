package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// announce writes the intent to promote a member into the record, and reports whether the
// host may request the promotion.
func announce(g *takeover.Group, member string, l []takeover.MemberStatus, now time.Time) bool {
	c, ok := g.AnnouncePromotion(takeover.Announcement{Target: member, Statuses: l}, now)
	if !ok {
		return false
	}
	observeRecord(g, c.Record, c.Revision+1)
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
