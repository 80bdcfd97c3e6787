package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/takeover"
)

var _ = Describe("the discovery of the primary", func() {
	DescribeTable("doesn't wait for a member that doesn't answer", func(r lease.Record, l []takeover.MemberStatus, want bool) {
		g := takeover.New(lease.Holder{ID: "a"})
		r.Holder, r.Primary, r.Term = lease.Holder{ID: "a"}, "p", 1
		observeRecord(g, r, 1)
		Expect(g.MayDiscover(l, 3)).To(Equal(want))
	},
		Entry("if the recorded primary and one replica have answered", lease.Record{}, []takeover.MemberStatus{replica("q", 4, false), primary("p", 1, 5)}, true),
		Entry("even if another has failed", lease.Record{}, []takeover.MemberStatus{unreachable("s"), primary("p", 1, 5), replica("q", 5, false)}, true),
		Entry("but not with the primary's answer alone", lease.Record{}, []takeover.MemberStatus{primary("p", 1, 5)}, false),
		Entry("but not without the primary's answer", lease.Record{}, []takeover.MemberStatus{replica("q", 5, false), replica("s", 5, false)}, false),
		Entry("but not if a replica has received more", lease.Record{}, []takeover.MemberStatus{primary("p", 1, 0), replica("q", 5, false)}, false),
		Entry("but not if the primary leads another term", lease.Record{}, []takeover.MemberStatus{primary("p", 2, 5), replica("q", 5, false)}, false),
		Entry("but not while a promotion may take effect", lease.Record{Target: "pending"}, []takeover.MemberStatus{primary("p", 1, 5), replica("q", 5, false)}, false),
		Entry("but not if a later promotion may be unknown", lease.Record{PrimaryUncertain: true}, []takeover.MemberStatus{primary("p", 1, 5), replica("q", 5, false)}, false),
	)

	It("still finds out by a late answer that the primary has restarted without its log", func() {
		g := newHolder()
		g.Handle(takeover.MemberAnswered{MemberStatus: unreachable("q")}, start)
		g.Handle(takeover.MemberAnswered{MemberStatus: replica("s", 9, false)}, start)
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 5}, RequestedAt: start.Add(1)}, start.Add(2))
		expectLost(g, primary("p", 1, 5))
	})
})

var _ = Describe("a host of another region than the primary's", func() {
	f := takeover.HostState{Registered: true, TakeoverAllowed: true, PreferredHolder: true, FarFromPrimary: true}

	It("leaves a takeover to nearer hosts at first", func() {
		g := takeover.New(lease.Holder{ID: "b"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 4)
		for t := time.Duration(0); t < 300*time.Millisecond; t += 80 * time.Millisecond {
			Expect(g.NextAction(f, start.Add(t))).To(BeNil())
		}
		Expect(g.NextAction(f, start.Add(320*time.Millisecond))).To(Equal(takeover.AcquireLease{}))
	})

	It("waits again if a nearer one was live meanwhile", func() {
		g := takeover.New(lease.Holder{ID: "b"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 4)
		Expect(g.NextAction(f, start)).To(BeNil())
		o := f
		o.PreferredHolder = false
		Expect(g.NextAction(o, start.Add(200*time.Millisecond))).To(BeNil())
		Expect(g.NextAction(f, start.Add(400*time.Millisecond))).To(BeNil())
	})
})

var _ = Describe("a process that has started at the holder's address", func() {
	self, before := lease.Holder{ID: "b", Address: "h:1"}, lease.Holder{ID: "a", Address: "h:1"}

	It("acquires the lease at once, though others are preferred and the holder seems to be live", func() {
		g := takeover.New(self)
		observeRecord(g, lease.Record{Holder: before}, 4)
		Expect(g.NextAction(takeover.HostState{Registered: true}, start)).To(Equal(takeover.AcquireLease{}))
		Expect(g.NextAction(takeover.HostState{}, start)).To(BeNil())
	})

	It("needn't wait for the holder before it replaces the primary", func() {
		g := takeover.New(self)
		observeRecord(g, lease.Record{Holder: before}, 4)
		observeRecord(g, lease.Record{Holder: self, Epoch: 1, PreviousHolders: []lease.Holder{before, {ID: "c", Address: "h:2"}}}, 5)
		Expect(g.UnfinishedHolders(start)).To(Equal([]lease.Holder{{ID: "c", Address: "h:2"}}))
	})

	It("leaves a lease alone that another process acquires at its address later", func() {
		g := takeover.New(self)
		observeRecord(g, lease.Record{Holder: before}, 4)
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "d", Address: "h:1"}, Epoch: 1, PreviousHolders: []lease.Holder{before}}, 5)
		Expect(g.NextAction(takeover.HostState{Registered: true}, start)).To(BeNil())
	})

	It("leaves a lease alone whose holder has no known address", func() {
		g := takeover.New(lease.Holder{ID: "b"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 4)
		Expect(g.NextAction(takeover.HostState{Registered: true}, start)).To(BeNil())
	})
})
