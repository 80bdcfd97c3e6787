package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// bench drives one daemon's view of the members a, b and c.
type bench struct {
	g       *failover.Group
	now     time.Time
	leaving map[string]bool
	got     []failover.Action
}

func newBench(place int, leaving ...string) *bench {
	b := &bench{g: failover.New(), now: time.Unix(1000, 0), leaving: map[string]bool{}}
	for _, n := range leaving {
		b.leaving[n] = true
	}
	var l []failover.Member
	for i, n := range []string{"a", "b", "c"} {
		l = append(l, failover.Member{Name: n, Address: n, Leaving: b.leaving[n], Preference: i})
	}
	b.do(failover.Configured{Members: l, WatcherIndex: place})
	return b
}

func (b *bench) do(e failover.Event) { b.got = append(b.got, b.g.Handle(e, b.now)...) }

func (b *bench) after(d time.Duration) { b.now = b.now.Add(d) }

func at(t, o uint64) logpos.Position { return logpos.Position{Term: t, Offset: o} }

func primary(t, o uint64) failover.Status {
	return failover.Status{Role: failover.Primary, Term: t, Position: at(t, o)}
}

func replica(of string, t, o uint64) failover.Status {
	return failover.Status{Role: failover.Replica, Term: t, Position: at(t, o), Primary: of}
}

func fenced(t uint64, p logpos.Position) failover.Status {
	return failover.Status{Role: failover.Replica, Term: t, Position: p}
}

func (b *bench) report(n string, s failover.Status) {
	b.do(failover.Reported{Member: n, Status: s, Sent: b.now})
}

// steady reports a as primary with b and c behind it.
func (b *bench) steady(pa, pb, pc uint64) {
	b.report("a", primary(1, pa))
	b.report("b", replica("a", 1, pb))
	b.report("c", replica("a", 1, pc))
}

// failed lets a fail until a round begins, and returns what was asked since.
func (b *bench) failed() []failover.Action {
	b.got = nil
	b.do(failover.PollFailed{Member: "a"})
	b.after(failover.ConfirmTime)
	b.report("b", replica("a", 1, 5))
	b.report("c", replica("a", 1, 7))
	b.do(failover.Ticked{})
	o := b.got
	b.got = nil
	return o
}

func fences(t uint64) []any {
	return []any{failover.Fence{Member: "a", Term: t}, failover.Fence{Member: "b", Term: t}, failover.Fence{Member: "c", Term: t}}
}

var _ = Describe("failover", func() {
	It("fences all at the next term once a failure is confirmed", func() {
		b := newBench(0)
		b.steady(9, 5, 7)
		b.do(failover.PollFailed{Member: "a"})
		b.after(failover.ConfirmTime - time.Millisecond)
		b.got = nil
		b.do(failover.Ticked{})
		Expect(b.got).To(BeEmpty())
		Expect(b.failed()).To(ContainElements(fences(2)...))
	})

	It("leaves the first attempt to the first daemon", func() {
		b := newBench(1)
		b.steady(9, 5, 7)
		Expect(b.failed()).To(BeEmpty())
		b.after(failover.Stagger)
		b.steady(9, 5, 7)
		b.do(failover.PollFailed{Member: "a"})
		b.got = nil
		b.do(failover.Ticked{})
		Expect(b.got).To(BeEmpty())
	})

	It("does nothing without a majority in reach", func() {
		b := newBench(0)
		b.steady(9, 5, 7)
		b.do(failover.PollFailed{Member: "b"})
		b.do(failover.PollFailed{Member: "a"})
		b.after(failover.FreshTime + failover.ConfirmTime)
		b.got = nil
		b.do(failover.Ticked{})
		Expect(b.got).To(BeEmpty())
	})

	It("promotes the fenced member that is furthest, and lets the others follow", func() {
		b := newBench(0)
		b.steady(9, 5, 7)
		b.failed()
		b.do(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fenced(2, at(1, 5))})
		Expect(b.got).To(BeEmpty())
		b.do(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fenced(2, at(1, 7))})
		Expect(b.got).To(ConsistOf(failover.Promote{Member: "c", Term: 2}))
		b.do(failover.PromoteResult{Member: "c", Term: 2, OK: true, Status: primary(2, 8)})
		Expect(b.got).To(ContainElement(failover.Follow{Member: "b", Term: 2, Primary: "c"}))
		Expect(b.g.View(b.now).Primary).To(Equal("c"))
	})

	It("tells a primary of an older term that returns to follow", func() {
		b := newBench(0)
		b.report("b", primary(2, 8))
		b.report("c", replica("b", 2, 8))
		b.after(time.Second)
		b.got = nil
		b.report("a", primary(1, 12))
		Expect(b.got).To(ConsistOf(failover.Follow{Member: "a", Term: 2, Primary: "b"}))
		Expect(b.g.View(b.now).Primary).To(Equal("b"))
	})

	It("gives up and rests when a refusal shows a higher term", func() {
		b := newBench(0)
		b.steady(9, 5, 7)
		b.failed()
		b.do(failover.FenceResult{Member: "b", Term: 2, Status: fenced(4, at(1, 5))})
		b.do(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fenced(2, at(1, 7))})
		b.do(failover.FenceResult{Member: "a", Term: 2, OK: true, Status: fenced(2, at(1, 9))})
		Expect(b.got).To(BeEmpty())
		b.do(failover.Ticked{})
		Expect(b.got).To(BeEmpty())
		b.after(time.Second)
		b.report("b", fenced(4, at(1, 5)))
		b.report("c", fenced(2, at(1, 7)))
		b.do(failover.Ticked{})
		Expect(b.got).To(ContainElements(fences(5)...))
	})

	It("gives up once too few members are left to accept the term", func() {
		b := newBench(0)
		b.steady(9, 5, 7)
		b.failed()
		b.do(failover.FenceResult{Member: "a", Term: 2})
		b.do(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fenced(2, at(1, 5))})
		Expect(b.g.ReplacingPrimary()).To(BeTrue())
		b.do(failover.FenceResult{Member: "c", Term: 2})
		Expect(b.g.ReplacingPrimary()).To(BeFalse())
	})

	It("never makes another member primary of the same term, but begins the next at once", func() {
		b := newBench(0)
		b.steady(9, 7, 7)
		b.failed()
		b.do(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fenced(2, at(1, 7))})
		b.do(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fenced(2, at(1, 7))})
		b.got = nil
		b.do(failover.PromoteResult{Member: "c", Term: 2})
		Expect(b.got).To(BeEmpty())
		b.report("a", primary(1, 9))
		b.report("b", fenced(2, at(1, 7)))
		b.got = nil
		b.do(failover.Ticked{})
		Expect(b.got).To(ContainElements(fences(3)...))
	})
})

var _ = Describe("switchover", func() {
	It("waits for requests and the successor's position, then promotes the successor", func() {
		b := newBench(0, "a")
		b.steady(9, 5, 7)
		b.do(failover.Ticked{InFlight: 1})
		Expect(b.g.ReplacingPrimary()).To(BeTrue())
		b.after(100 * time.Millisecond)
		b.steady(9, 9, 9)
		b.got = nil
		b.do(failover.Ticked{InFlight: 1})
		Expect(b.got).To(BeEmpty())
		b.do(failover.Ticked{})
		b.after(10 * time.Millisecond)
		b.steady(10, 9, 9)
		b.do(failover.Ticked{})
		Expect(b.got).To(BeEmpty())
		b.after(10 * time.Millisecond)
		b.steady(10, 9, 10)
		b.do(failover.Ticked{})
		Expect(b.got).To(ContainElements(fences(2)...))
		b.got = nil
		b.do(failover.FenceResult{Member: "a", Term: 2, OK: true, Status: fenced(2, at(1, 10))})
		b.do(failover.FenceResult{Member: "b", Term: 2, OK: true, Status: fenced(2, at(1, 9))})
		Expect(b.got).To(BeEmpty())
		b.do(failover.FenceResult{Member: "c", Term: 2, OK: true, Status: fenced(2, at(1, 10))})
		Expect(b.got).To(ConsistOf(failover.Promote{Member: "c", Term: 2}))
	})

	It("goes on after a bound although requests run", func() {
		b := newBench(0, "a")
		b.steady(9, 9, 9)
		b.do(failover.Ticked{InFlight: 1})
		b.after(failover.DrainTime)
		b.do(failover.Ticked{InFlight: 1})
		b.after(time.Millisecond)
		b.steady(9, 9, 9)
		b.got = nil
		b.do(failover.Ticked{InFlight: 1})
		Expect(b.got).To(ContainElements(fences(2)...))
	})

	It("is given up when no successor catches up, and requests go on", func() {
		b := newBench(0, "a")
		b.steady(9, 5, 5)
		b.do(failover.Ticked{})
		b.do(failover.Ticked{})
		b.after(failover.CatchUpTime)
		b.steady(9, 5, 5)
		b.got = nil
		b.do(failover.Ticked{})
		Expect(b.g.ReplacingPrimary()).To(BeFalse())
		Expect(b.got).To(BeEmpty())
		b.do(failover.Ticked{})
		Expect(b.g.ReplacingPrimary()).To(BeFalse())
	})

	DescribeTable("isn't begun",
		func(place int, leaving ...string) {
			b := newBench(place, leaving...)
			b.steady(9, 9, 9)
			b.do(failover.Ticked{})
			Expect(b.g.ReplacingPrimary()).To(BeFalse())
		},
		Entry("by another daemon than the first", 1, "a"),
		Entry("without a member that stays", 0, "a", "b", "c"),
		Entry("for a leaving replica", 0, "b"),
	)

	It("turns into a failover when the primary fails", func() {
		b := newBench(0, "a")
		b.steady(9, 5, 7)
		b.do(failover.Ticked{InFlight: 1})
		b.do(failover.PollFailed{Member: "a"})
		b.do(failover.Ticked{InFlight: 1})
		Expect(b.g.ReplacingPrimary()).To(BeFalse())
		Expect(b.failed()).To(ContainElements(fences(2)...))
	})
})
