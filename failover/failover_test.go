package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// harness passes events to one daemon's view of the members a, b and c, and
// collects the actions.
type harness struct {
	group    *failover.Group
	now      time.Time
	draining map[string]bool
	actions  []failover.Action
}

func newHarness(index int, draining ...string) *harness {
	h := &harness{group: failover.New(), now: time.Unix(1000, 0), draining: map[string]bool{}}
	for _, n := range draining {
		h.draining[n] = true
	}
	var l []failover.Member
	for i, n := range []string{"a", "b", "c"} {
		l = append(l, failover.Member{Name: n, Address: n, Draining: h.draining[n], Preference: i})
	}
	h.handle(failover.Configured{Members: l, WatcherIndex: index})
	return h
}

func (h *harness) handle(e failover.Event) {
	h.actions = append(h.actions, h.group.Handle(e, h.now)...)
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

func position(t, o uint64) logpos.Position { return logpos.Position{Term: t, Offset: o} }

func primaryStatus(t, o uint64) failover.Status {
	return failover.Status{Role: failover.Primary, Term: t, Position: position(t, o)}
}

func replicaStatus(of string, t, o uint64) failover.Status {
	return failover.Status{Role: failover.Replica, Term: t, Position: position(t, o), Primary: of}
}

func fencedStatus(t uint64, p logpos.Position) failover.Status {
	return failover.Status{Role: failover.Replica, Term: t, Position: p}
}

func (h *harness) report(n string, s failover.Status) {
	h.handle(failover.StatusReported{Member: n, Status: s, RequestedAt: h.now})
}

// reportSteady reports a as primary and b and c as its replicas, at the given
// positions.
func (h *harness) reportSteady(pa, pb, pc uint64) {
	h.report("a", primaryStatus(1, pa))
	h.report("b", replicaStatus("a", 1, pb))
	h.report("c", replicaStatus("a", 1, pc))
}

// failPrimary makes the primary a fail for ConfirmTime, and returns the actions
// since.
func (h *harness) failPrimary() []failover.Action {
	h.actions = nil
	h.handle(failover.PollFailed{Member: "a"})
	h.advance(failover.ConfirmTime)
	h.report("b", replicaStatus("a", 1, 5))
	h.report("c", replicaStatus("a", 1, 7))
	h.handle(failover.Ticked{})
	o := h.actions
	h.actions = nil
	return o
}

func fenceActions(t uint64) []any {
	return []any{failover.Fence{Member: "a", Term: t}, failover.Fence{Member: "b", Term: t}, failover.Fence{Member: "c", Term: t}}
}

var _ = Describe("failover", func() {
	It("fences all members at the next term once a failure is confirmed", func() {
		h := newHarness(0)
		h.reportSteady(9, 5, 7)
		h.handle(failover.PollFailed{Member: "a"})
		h.advance(failover.ConfirmTime - time.Millisecond)
		h.actions = nil
		h.handle(failover.Ticked{})
		Expect(h.actions).To(BeEmpty())
		Expect(h.failPrimary()).To(ContainElements(fenceActions(2)...))
	})

	It("starts no round on the second daemon after ConfirmTime, nor at once when a recovered primary fails again", func() {
		h := newHarness(1)
		h.reportSteady(9, 5, 7)
		Expect(h.failPrimary()).To(BeEmpty())
		h.advance(failover.WatcherStagger)
		h.reportSteady(9, 5, 7)
		h.handle(failover.PollFailed{Member: "a"})
		h.actions = nil
		h.handle(failover.Ticked{})
		Expect(h.actions).To(BeEmpty())
	})

	It("doesn't confirm a term by answers to fences that were requested before the question", func() {
		h := newHarness(0)
		h.reportSteady(9, 5, 7)
		h.failPrimary()
		h.advance(100 * time.Millisecond)
		question := h.now
		h.advance(100 * time.Millisecond)
		h.handle(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fencedStatus(2, position(1, 5))})
		h.handle(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fencedStatus(2, position(1, 7))})
		h.handle(failover.PromoteResult{Member: "c", Term: 2, OK: true, Status: primaryStatus(2, 8)})
		Expect(h.group.ConfirmedSince(2, question)).To(BeFalse())
		h.report("b", replicaStatus("c", 2, 5))
		Expect(h.group.ConfirmedSince(2, question)).To(BeTrue())
	})

	It("starts no round while it can't reach a majority", func() {
		h := newHarness(0)
		h.reportSteady(9, 5, 7)
		h.handle(failover.PollFailed{Member: "b"})
		h.handle(failover.PollFailed{Member: "a"})
		h.advance(failover.MaxReportAge + failover.ConfirmTime)
		h.actions = nil
		h.handle(failover.Ticked{})
		Expect(h.actions).To(BeEmpty())
	})

	It("promotes the fenced member with the furthest position, and makes the others follow it", func() {
		h := newHarness(0)
		h.reportSteady(9, 5, 7)
		h.failPrimary()
		h.handle(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fencedStatus(2, position(1, 5))})
		Expect(h.actions).To(BeEmpty())
		h.handle(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fencedStatus(2, position(1, 7))})
		Expect(h.actions).To(ConsistOf(failover.Promote{Member: "c", Term: 2}))
		h.handle(failover.PromoteResult{Member: "c", Term: 2, OK: true, Status: primaryStatus(2, 8)})
		Expect(h.actions).To(ContainElement(failover.Follow{Member: "b", Term: 2, Primary: "c"}))
		Expect(h.group.View(h.now).Primary).To(Equal("c"))
	})

	It("makes a returning primary of an older term follow the new primary", func() {
		h := newHarness(0)
		h.report("b", primaryStatus(2, 8))
		h.report("c", replicaStatus("b", 2, 8))
		h.advance(time.Second)
		h.actions = nil
		h.report("a", primaryStatus(1, 12))
		Expect(h.actions).To(ConsistOf(failover.Follow{Member: "a", Term: 2, Primary: "b"}))
		Expect(h.group.View(h.now).Primary).To(Equal("b"))
	})

	It("abandons the round and backs off when a refusal shows a higher term", func() {
		h := newHarness(0)
		h.reportSteady(9, 5, 7)
		h.failPrimary()
		h.handle(failover.FenceResult{Member: "b", Term: 2, Status: fencedStatus(4, position(1, 5))})
		h.handle(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fencedStatus(2, position(1, 7))})
		h.handle(failover.FenceResult{Member: "a", Term: 2, OK: true, Status: fencedStatus(2, position(1, 9))})
		Expect(h.actions).To(BeEmpty())
		h.handle(failover.Ticked{})
		Expect(h.actions).To(BeEmpty())
		h.advance(time.Second)
		h.report("b", fencedStatus(4, position(1, 5)))
		h.report("c", fencedStatus(2, position(1, 7)))
		h.handle(failover.Ticked{})
		Expect(h.actions).To(ContainElements(fenceActions(5)...))
	})

	It("abandons the round once too few members are left that could accept the term", func() {
		h := newHarness(0)
		h.reportSteady(9, 5, 7)
		h.failPrimary()
		h.handle(failover.FenceResult{Member: "a", Term: 2})
		h.handle(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fencedStatus(2, position(1, 5))})
		Expect(h.group.ReplacingPrimary()).To(BeTrue())
		h.handle(failover.FenceResult{Member: "c", Term: 2})
		Expect(h.group.ReplacingPrimary()).To(BeFalse())
	})

	It("after a failed promotion, promotes no other member in the same term and starts the next term at once", func() {
		h := newHarness(0)
		h.reportSteady(9, 7, 7)
		h.failPrimary()
		h.handle(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fencedStatus(2, position(1, 7))})
		h.handle(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fencedStatus(2, position(1, 7))})
		h.actions = nil
		h.handle(failover.PromoteResult{Member: "c", Term: 2})
		Expect(h.actions).To(BeEmpty())
		h.report("a", primaryStatus(1, 9))
		h.report("b", fencedStatus(2, position(1, 7)))
		h.actions = nil
		h.handle(failover.Ticked{})
		Expect(h.actions).To(ContainElements(fenceActions(3)...))
	})
})

var _ = Describe("switchover", func() {
	It("waits until running requests have ended and the target has caught up, then promotes the target", func() {
		h := newHarness(0, "a")
		h.reportSteady(9, 5, 7)
		h.handle(failover.Ticked{InFlight: 1})
		Expect(h.group.ReplacingPrimary()).To(BeTrue())
		h.advance(100 * time.Millisecond)
		h.reportSteady(9, 9, 9)
		h.actions = nil
		h.handle(failover.Ticked{InFlight: 1})
		Expect(h.actions).To(BeEmpty())
		h.handle(failover.Ticked{})
		h.advance(10 * time.Millisecond)
		h.reportSteady(10, 9, 9)
		h.handle(failover.Ticked{})
		Expect(h.actions).To(BeEmpty())
		h.advance(10 * time.Millisecond)
		h.reportSteady(10, 9, 10)
		h.handle(failover.Ticked{})
		Expect(h.actions).To(ContainElements(fenceActions(2)...))
		h.actions = nil
		h.handle(failover.FenceResult{Member: "a", Term: 2, OK: true, Status: fencedStatus(2, position(1, 10))})
		h.handle(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fencedStatus(2, position(1, 9))})
		Expect(h.actions).To(BeEmpty())
		h.handle(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fencedStatus(2, position(1, 10))})
		Expect(h.actions).To(ConsistOf(failover.Promote{Member: "c", Term: 2}))
	})

	It("continues after DrainTime even if requests still run", func() {
		h := newHarness(0, "a")
		h.reportSteady(9, 9, 9)
		h.handle(failover.Ticked{InFlight: 1})
		h.advance(failover.DrainTime)
		h.handle(failover.Ticked{InFlight: 1})
		h.advance(time.Millisecond)
		h.reportSteady(9, 9, 9)
		h.actions = nil
		h.handle(failover.Ticked{InFlight: 1})
		Expect(h.actions).To(ContainElements(fenceActions(2)...))
	})

	It("is abandoned when no replica catches up, and requests may start again", func() {
		h := newHarness(0, "a")
		h.reportSteady(9, 5, 5)
		h.handle(failover.Ticked{})
		h.handle(failover.Ticked{})
		h.advance(failover.CatchUpTime)
		h.reportSteady(9, 5, 5)
		h.actions = nil
		h.handle(failover.Ticked{})
		Expect(h.group.ReplacingPrimary()).To(BeFalse())
		Expect(h.actions).To(BeEmpty())
		h.handle(failover.Ticked{})
		Expect(h.group.ReplacingPrimary()).To(BeFalse())
	})

	DescribeTable("isn't started",
		func(index int, draining ...string) {
			h := newHarness(index, draining...)
			h.reportSteady(9, 9, 9)
			h.handle(failover.Ticked{})
			Expect(h.group.ReplacingPrimary()).To(BeFalse())
		},
		Entry("by a daemon other than the first", 1, "a"),
		Entry("if all members are draining", 0, "a", "b", "c"),
		Entry("if only a replica is draining", 0, "b"),
	)

	It("becomes a failover when the primary fails", func() {
		h := newHarness(0, "a")
		h.reportSteady(9, 5, 7)
		h.handle(failover.Ticked{InFlight: 1})
		h.handle(failover.PollFailed{Member: "a"})
		h.handle(failover.Ticked{InFlight: 1})
		Expect(h.group.ReplacingPrimary()).To(BeFalse())
		Expect(h.failPrimary()).To(ContainElements(fenceActions(2)...))
	})
})
