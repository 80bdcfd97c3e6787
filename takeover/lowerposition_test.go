package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// expectLost expects that a primary that has told a lower position is used for nothing, is
// checked, and is replaced by what the check has found.
func expectLost(g *takeover.Group, found ...takeover.MemberStatus) {
	GinkgoHelper()
	t := start.Add(time.Millisecond)
	Expect(g.MaySendWork(t)).To(BeFalse())
	Expect(g.PassesReplies()).To(BeFalse())
	Expect(g.NextAction(healthyState(), t)).To(Equal(takeover.DiscoverPrimary{}))
	Expect(g.MayDiscover(found, 3)).To(BeTrue())
	g.Handle(takeover.MembersPolled{Statuses: found, RequestedAt: t}, t.Add(1))
	Expect(g.MaySendWork(t.Add(1))).To(BeFalse())
	Expect(g.PassesReplies()).To(BeFalse())
	Expect(g.PrimaryUsable()).To(BeFalse())
	Expect(g.NextAction(healthyState(), t.Add(1))).To(Equal(takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}))
}

// Guards against the replacement of a primary that has its log because of a late copy of
// an earlier reply.
var _ = Describe("a primary that tells a lower position than before", func() {
	var g *takeover.Group
	poll := func(requested time.Duration, l ...takeover.MemberStatus) {
		g.Handle(takeover.MembersPolled{Statuses: l, RequestedAt: start.Add(requested)}, start.Add(requested+1))
	}

	BeforeEach(func() {
		g = newHolder()
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, RequestedAt: start}, start.Add(1))
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 8}, RequestedAt: start.Add(2)}, start.Add(3))
	})

	It("isn't replaced, and is sent work again, if its status shows its log", func() {
		Expect(g.PrimaryUsable()).To(BeTrue())
		Expect(g.MaySendWork(start.Add(3))).To(BeFalse())
		Expect(g.NextAction(healthyState(), start.Add(3))).To(Equal(takeover.DiscoverPrimary{}))
		poll(4, primary("p", 1, 9), unreachable("q"))
		Expect(g.MaySendWork(start.Add(5))).To(BeTrue())
		Expect(g.NextAction(healthyState(), start.Add(5))).To(BeNil())
	})

	It("is checked again if its status may be older than the end of the log", func() {
		poll(0, primary("p", 1, 8))
		Expect(g.PrimaryUsable()).To(BeTrue())
		Expect(g.MaySendWork(start.Add(5))).To(BeFalse())
		Expect(g.NextAction(healthyState(), start.Add(5))).To(Equal(takeover.DiscoverPrimary{}))
	})

	It("is sent no work, and is probed, if it doesn't answer the check", func() {
		poll(4, unreachable("p"), unreachable("q"))
		f := healthyState()
		f.PrimaryHealth.LastReply = start.Add(-time.Second)
		Expect(g.MaySendWork(start.Add(5))).To(BeFalse())
		Expect(g.NextAction(f, start.Add(5))).To(Equal(takeover.ProbePrimary{}))
		for range takeover.MaxFailedProbes {
			g.Handle(takeover.PrimaryProbed{Failed: true}, start.Add(6))
		}
		Expect(g.NextAction(f, start.Add(6))).To(Equal(takeover.ReplacePrimary{Reason: takeover.PrimarySilent}))
	})

	It("is checked as soon as it answers again", func() {
		poll(4, unreachable("p"), unreachable("q"))
		g.Handle(takeover.PrimaryProbed{}, start.Add(6))
		Expect(g.MaySendWork(start.Add(6))).To(BeFalse())
		Expect(g.NextAction(healthyState(), start.Add(6))).To(Equal(takeover.DiscoverPrimary{}))
	})
})
