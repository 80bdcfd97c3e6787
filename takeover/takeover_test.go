package takeover_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

func TestTakeover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "takeover")
}

var start = time.Unix(1e9, 0)

func replica(id string, offset uint64, draining bool) takeover.MemberStatus {
	return takeover.MemberStatus{Member: catalog.Member{ID: id, Draining: draining}, Status: query.Status{Term: 1, Received: logpos.Position{Term: 1, Offset: offset}}}
}

func primary(id string, term, offset uint64) takeover.MemberStatus {
	a := replica(id, offset, false)
	a.Status.Primary, a.Status.Term, a.Status.Received.Term = true, term, term
	return a
}

func unreachable(id string) takeover.MemberStatus {
	return takeover.MemberStatus{Member: catalog.Member{ID: id}, Err: errs.New("no answer")}
}

// observeRecord passes a record to a group as the store's reply to a request sent
// at the start.
func observeRecord(g *takeover.Group, r lease.Record, rev uint64) {
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: store.Position{Revision: rev}, RequestedAt: start}}, start)
}

// observeRecordAt passes the group's present record to it as the store's reply to a request
// sent at a time.
func observeRecordAt(g *takeover.Group, rev uint64, at time.Time) {
	r, _ := g.Record()
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: store.Position{Revision: rev}, RequestedAt: at}}, at)
}

// newHolder returns the group of a holder that has discovered its primary p.
func newHolder() *takeover.Group {
	g := takeover.New(lease.Holder{ID: "a"})
	observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1, LogEnd: logpos.Position{Term: 1, Offset: 5}, Members: []lease.Member{{ID: "a"}, {ID: "b"}, {ID: "p"}}}, 1)
	g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}}, start)
	return g
}

func healthyState() takeover.HostState {
	return takeover.HostState{Registered: true, PrimaryListed: true, PrimaryHealth: &takeover.ConnectionHealth{LastReply: start}}
}

var _ = Describe("the holder's next action", func() {
	DescribeTable("is", func(change func(g *takeover.Group, f *takeover.HostState), want takeover.Action) {
		g, f := newHolder(), healthyState()
		change(g, &f)
		a := g.NextAction(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("none while the primary replies", func(*takeover.Group, *takeover.HostState) {}, nil),
		Entry("to record the primary if the record doesn't name it yet", func(g *takeover.Group, _ *takeover.HostState) {
			observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 2)
		}, takeover.RecordPrimary{}),
		Entry("to replace a failed primary rather than transfer the lease", func(g *takeover.Group, f *takeover.HostState) {
			f.NearerHostExists = true
			g.NextAction(*f, start.Add(-3*time.Second))
			for range takeover.MaxFailedProbes {
				g.Handle(takeover.PrimaryProbed{Failed: true}, start)
			}
		}, takeover.ReplacePrimary{Reason: takeover.PrimarySilent}),
		Entry("to probe a primary that hasn't replied for a second", func(_ *takeover.Group, f *takeover.HostState) {
			f.PrimaryHealth.LastReply = start.Add(-time.Second)
		}, takeover.ProbePrimary{}),
		Entry("none after one refused connection", func(_ *takeover.Group, f *takeover.HostState) { f.PrimaryHealth.Failures = 1 }, nil),
		Entry("to replace a primary after MaxFailedProbes failed probes in a row", func(g *takeover.Group, _ *takeover.HostState) {
			for range takeover.MaxFailedProbes {
				g.Handle(takeover.PrimaryProbed{Failed: true}, start)
			}
		}, takeover.ReplacePrimary{Reason: takeover.PrimarySilent}),
		Entry("none if a probe between two failed ones succeeds", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.PrimaryProbed{Failed: true}, start)
			g.Handle(takeover.PrimaryProbed{}, start)
			g.Handle(takeover.PrimaryProbed{Failed: true}, start)
		}, nil),
		Entry("to replace a draining primary", func(_ *takeover.Group, f *takeover.HostState) { f.PrimaryDraining = true }, takeover.ReplacePrimary{Reason: takeover.PrimaryDraining}),
		Entry("to replace a primary that is no longer listed", func(_ *takeover.Group, f *takeover.HostState) { f.PrimaryListed = false }, takeover.ReplacePrimary{Reason: takeover.PrimaryRemoved}),
		Entry("to replace a primary that reports a lower position than before", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, RequestedAt: start}, start)
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, RequestedAt: start.Add(1)}, start)
			expectLost(g, primary("p", 1, 2))
		}, takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}),
		Entry("none if the lower position is the reply to an earlier request", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, RequestedAt: start}, start.Add(1))
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, RequestedAt: start}, start.Add(2))
		}, nil),
		Entry("to poll the members when the host becomes the holder again", func(g *takeover.Group, _ *takeover.HostState) {
			observeRecord(g, lease.Record{Holder: lease.Holder{ID: "b"}, Epoch: 1}, 2)
			observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Epoch: 2, Primary: "p", Term: 1, Target: "x"}, 3)
		}, takeover.DiscoverPrimary{}),
		Entry("to replace a primary that reports a lower position than a replica reported at the discovery", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5), replica("q", 7, false)}}, start)
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 1}, RequestedAt: start.Add(1)}, start.Add(2))
			expectLost(g, primary("p", 1, 1))
		}, takeover.ReplacePrimary{Reason: takeover.PrimaryUnusable}),
		Entry("to transfer the lease when the host drains", func(_ *takeover.Group, f *takeover.HostState) { f.HostDraining = true }, takeover.TransferLease{}),
		Entry("to poll the previous holders before replacing a draining primary", func(g *takeover.Group, f *takeover.HostState) {
			observeRecord(g, lease.Record{Holder: lease.Holder{ID: "b"}, Epoch: 1}, 2)
			observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Epoch: 2, PreviousHolders: []lease.Holder{{ID: "b"}}, Primary: "p", Term: 1}, 3)
			g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}}, start)
			f.PrimaryDraining = true
		}, takeover.PollPreviousHolders{}),
	)

	It("is to check a silent primary while a previous holder may still use it, in turn with that holder", func() {
		g, f := newHolder(), healthyState()
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "b"}, Epoch: 1}, 2)
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Epoch: 2, PreviousHolders: []lease.Holder{{ID: "b"}}, Primary: "p", Term: 1}, 3)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}}, start)
		f.PrimaryHealth.LastReply = start.Add(-time.Second)
		Expect(g.NextAction(f, start)).To(Equal(takeover.ProbePrimary{}))
		Expect(g.NextAction(f, start)).To(Equal(takeover.PollPreviousHolders{}))
		Expect(g.NextAction(f, start)).To(Equal(takeover.ProbePrimary{}))
		Expect(g.BlockedUntil(takeover.PrimaryState{Listed: true}, start)).To(BeZero())
		for range takeover.MaxFailedProbes {
			g.Handle(takeover.PrimaryProbed{Failed: true}, start)
		}
		Expect(g.BlockedUntil(takeover.PrimaryState{Listed: true}, start).Sub(start)).To(BeNumerically(">", 10*time.Second))
		f.PrimaryHealth.LastReply = start
		g.NextAction(f, start)
		Expect(g.BlockedUntil(takeover.PrimaryState{Listed: true}, start)).To(BeZero(), "the primary answers again")
		Expect(g.BlockedUntil(takeover.PrimaryState{}, start).Sub(start)).To(BeNumerically(">", 10*time.Second))
		g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: "b"}}, start)
		Expect(g.BlockedUntil(takeover.PrimaryState{}, start)).To(BeZero(), "it can be replaced")
	})

	It("is to transfer the lease once another host has been nearer for 3 s", func() {
		g, f := newHolder(), healthyState()
		f.NearerHostExists = true
		Expect(g.NextAction(f, start)).To(BeNil())
		f.PrimaryHealth.LastReply = start.Add(3 * time.Second)
		Expect(g.NextAction(f, start.Add(3*time.Second))).To(Equal(takeover.TransferLease{}))
	})

	It("is to transfer the lease sooner if this host is in another region than the primary", func() {
		g, f := newHolder(), healthyState()
		f.NearerHostExists, f.FarFromPrimary = true, true
		Expect(g.NextAction(f, start)).To(BeNil())
		f.PrimaryHealth.LastReply = start.Add(500 * time.Millisecond)
		Expect(g.NextAction(f, start.Add(500*time.Millisecond))).To(Equal(takeover.TransferLease{}))
	})

	It("is none once the lease has expired", func() {
		g := newHolder()
		Expect(g.MaySendWork(start.Add(lease.Validity - 1))).To(BeTrue())
		Expect(g.MaySendWork(start.Add(lease.Validity))).To(BeFalse())
		Expect(g.NextAction(takeover.HostState{}, start.Add(lease.Validity))).To(BeNil())
	})
})

var _ = Describe("the next action of a host that isn't the holder", func() {
	DescribeTable("is", func(f takeover.HostState, r lease.Record, want takeover.Action) {
		g := takeover.New(lease.Holder{ID: "b"})
		observeRecord(g, r, 4)
		a := g.NextAction(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("none while the lease may not be taken over from the holder", takeover.HostState{Registered: true, PreferredHolder: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("to acquire the lease if the host is the one that should hold it", takeover.HostState{Registered: true, TakeoverAllowed: true, PreferredHolder: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, takeover.AcquireLease{}),
		Entry("none if another host should hold the lease", takeover.HostState{Registered: true, TakeoverAllowed: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("none while the host drains", takeover.HostState{HostDraining: true, Registered: true, TakeoverAllowed: true, PreferredHolder: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("none before the host is registered", takeover.HostState{TakeoverAllowed: true, PreferredHolder: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("to release the lease once the work of the host has ended", takeover.HostState{Registered: true}, lease.Record{Holder: lease.Holder{ID: "a"}, PreviousHolders: []lease.Holder{{ID: "b"}}}, takeover.ReleaseLease{}),
		Entry("none while work of the host on the primary has not ended", takeover.HostState{Registered: true, WorkPending: true}, lease.Record{Holder: lease.Holder{ID: "a"}, PreviousHolders: []lease.Holder{{ID: "b"}}}, nil),
	)
})

var _ = Describe("the discovered primary", func() {
	DescribeTable("is", func(r lease.Record, l []takeover.MemberStatus, want string, usable bool) {
		g := takeover.New(lease.Holder{ID: "a"})
		r.Holder = lease.Holder{ID: "a"}
		observeRecord(g, r, 1)
		g.Handle(takeover.MembersPolled{Statuses: l}, start)
		id, _ := g.Primary()
		Expect(id).To(Equal(want))
		Expect(g.PrimaryDiscovered()).To(Equal(want != "" || !usable))
		Expect(g.PrimaryUsable()).To(Equal(usable))
	},
		Entry("the member that reports itself primary", lease.Record{}, []takeover.MemberStatus{replica("q", 5, false), primary("p", 1, 5)}, "p", true),
		Entry("the primary of the highest term", lease.Record{}, []takeover.MemberStatus{primary("p", 1, 5), primary("q", 2, 4)}, "q", true),
		Entry("the primary in the record, if only a member in an older term reports itself primary", lease.Record{Primary: "q", Term: 2}, []takeover.MemberStatus{primary("p", 1, 5), unreachable("q")}, "q", true),
		Entry("unknown, if no member is primary", lease.Record{}, []takeover.MemberStatus{replica("q", 5, false)}, "", true),
		Entry("unusable, if a promotion was requested", lease.Record{Primary: "p", Term: 1, Target: "x"}, []takeover.MemberStatus{primary("p", 1, 5)}, "p", false),
		Entry("the promoted member, if the promotion took effect", lease.Record{Primary: "p", Term: 1, Target: "q", TargetTerm: 2}, []takeover.MemberStatus{primary("q", 2, 5)}, "q", true),
		Entry("unusable, if another member than the one promoted last is primary", lease.Record{Primary: "p", Term: 1, Target: "x", TargetTerm: 2, EarlierTargets: []string{"q"}}, []takeover.MemberStatus{primary("q", 2, 5), unreachable("x")}, "p", false),
	)
})

var _ = Describe("the member to promote", func() {
	DescribeTable("is", func(l []takeover.MemberStatus, syncReplicas int, planned bool, want string, result takeover.SelectionResult) {
		g := newHolder()
		a, r := g.SelectCandidate(takeover.SelectionInput{Statuses: l, OldPrimary: "p", SyncReplicas: syncReplicas, Planned: planned, Nearer: func(catalog.Member, catalog.Member) bool { return false }})
		Expect(r).To(Equal(result))
		Expect(a.Member.ID).To(Equal(want))
	},
		Entry("the replica with the furthest position", []takeover.MemberStatus{replica("a", 5, false), replica("b", 7, false)}, 0, false, "b", takeover.CandidateReady),
		Entry("a replica that isn't draining, though another has a further position", []takeover.MemberStatus{replica("a", 5, false), replica("b", 7, true)}, 0, false, "a", takeover.CandidateReady),
		Entry("none, if the only replica is draining", []takeover.MemberStatus{replica("b", 7, true)}, 0, false, "", takeover.NoCandidate),
		Entry("the only replica that replies", []takeover.MemberStatus{unreachable("a"), replica("b", 7, false)}, 0, false, "b", takeover.CandidateReady),
		Entry("none, if only the replica that doesn't reply may have a synchronous commit", []takeover.MemberStatus{unreachable("a"), replica("b", 7, false)}, 1, false, "", takeover.CandidateUnsafe),
		Entry("the replica that has the synchronous commits, though it is draining", []takeover.MemberStatus{replica("a", 5, false), replica("b", 7, true)}, 1, false, "b", takeover.CandidateReady),
		Entry("catching up, while it has reached less than a primary that still replies", []takeover.MemberStatus{primary("p", 1, 9), replica("a", 5, false)}, 0, true, "a", takeover.CandidateCatchingUp),
		Entry("ready, when it has reached the primary's position", []takeover.MemberStatus{primary("p", 1, 9), replica("a", 9, false)}, 0, true, "a", takeover.CandidateReady),
		Entry("a member that is already primary", []takeover.MemberStatus{replica("a", 9, false), primary("b", 2, 4)}, 0, false, "b", takeover.CandidateLeads),
		Entry("the one of the highest term, if several are already primary", []takeover.MemberStatus{primary("a", 2, 9), primary("b", 3, 4)}, 0, false, "b", takeover.CandidateLeads),
		Entry("none, without members", nil, 0, false, "", takeover.NoCandidate),
	)
})

var _ = Describe("a promotion", func() {
	It("requires the intent in the record and makes the old primary unusable", func() {
		g := newHolder()
		_, ok := g.Promotion("q", start)
		Expect(ok).To(BeFalse())
		c, ok := g.AnnouncePromotion(takeover.Announcement{Target: "q", Statuses: []takeover.MemberStatus{replica("q", 5, false)}}, start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.TargetTerm).To(Equal(uint64(2)))
		observeRecord(g, c.Record, c.Revision+1)
		_, ok = g.Promotion("r", start)
		Expect(ok).To(BeFalse(), "another member's promotion isn't announced")
		token, ok := g.Promotion("q", start)
		Expect(ok).To(BeTrue())
		Expect(token).To(Equal(c.Revision + 1))
		g.Handle(takeover.PromotionRequested{Member: "q"}, start)
		Expect(g.MaySendWork(start)).To(BeFalse())
		_, ok = g.NamePrimary(start)
		Expect(ok).To(BeFalse())
		g.Handle(takeover.PrimaryConfirmed{Member: "q", Status: primary("q", 2, 5).Status}, start)
		Expect(g.MaySendWork(start)).To(BeTrue())
		c, ok = g.NamePrimary(start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.Primary).To(Equal("q"))
		Expect(c.Record.Target).To(BeEmpty())
	})

	It("isn't requested while a previous holder may send work", func() {
		g := takeover.New(lease.Holder{ID: "b"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 1)
		c := g.Acquire(start)
		observeRecord(g, c.Record, c.Revision+1)
		ok := g.MayReplace(start)
		Expect(ok).To(BeFalse())
		g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: "a"}}, start)
		ok = g.MayReplace(start)
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("a store that comes back from an older copy", func() {
	later := start.Add(time.Second)
	era := func(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }
	observe := func(g *takeover.Group, r lease.Record, p store.Position, at time.Time) {
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: p, RequestedAt: at}}, at)
	}

	It("lets the holder write its record again and go on, and replace the primary once the era has settled", func() {
		g, f := newHolder(), healthyState()
		f.PrimaryHealth.LastReply = later.Add(lease.SettleTime)
		observe(g, lease.Record{Holder: lease.Holder{ID: "z"}, Primary: "q"}, era(1), later)
		Expect(g.NextAction(f, later)).To(Equal(takeover.RewriteLease{}))
		Expect(g.MaySendWork(later)).To(BeTrue())
		ok := g.MayReplace(later)
		Expect(ok).To(BeFalse())

		c := g.Rewrite(later)
		Expect(c.Record.Primary).To(Equal("p"))
		Expect(c.Record.Era).To(Equal(uint64(1)))
		Expect(c.Record.Epoch).To(Equal(uint64(1)))
		Expect(c.Revision).To(Equal(uint64(1)))
		observe(g, c.Record, era(2), later)
		Expect(g.NextAction(f, later)).To(BeNil())
		Expect(g.MaySendWork(later)).To(BeTrue(), "without another discovery")
		ok = g.MayReplace(later)
		Expect(ok).To(BeFalse())

		settled := later.Add(lease.SettleTime)
		observe(g, c.Record, era(2), settled)
		Expect(g.NextAction(f, settled)).To(Equal(takeover.RecordPrimary{}))
		c, ok = g.NamePrimary(settled)
		Expect(ok).To(BeTrue())
		Expect(c.Record.Settled).To(BeTrue())
		ok = g.MayReplace(settled)
		Expect(ok).To(BeTrue())
	})

	It("keeps others from taking over before the era has settled, also from a holder that is gone", func() {
		g, f := takeover.New(lease.Holder{ID: "b"}), healthyState()
		f.PreferredHolder, f.TakeoverAllowed = true, true
		observe(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1}, era(1), later)
		Expect(g.NextAction(f, later)).To(BeNil())
		Expect(g.NextAction(f, later.Add(lease.SettleTime-1))).To(BeNil())
		f.TakeoverAllowed = false
		Expect(g.NextAction(f, later.Add(lease.SettleTime))).To(Equal(takeover.AcquireLease{}))
	})

	It("lets hosts agree on the primary of the latest term, and any of them take a group over that nobody wants", func() {
		g, o, f := newHolder(), takeover.New(lease.Holder{ID: "b"}), healthyState()
		g.Handle(takeover.PrimaryConfirmed{Member: "q", Status: primary("q", 2, 5).Status}, start)
		restored := lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1}
		observe(g, restored, era(1), later)
		observe(o, restored, era(1), later)
		r, ok := g.ReportedRecord()
		Expect(ok).To(BeTrue())
		o.Handle(takeover.LeaseEvent{Event: lease.RecordReported{Record: r}}, later)
		id, term := o.Primary()
		Expect(id).To(Equal("q"))
		Expect(term).To(Equal(uint64(2)))

		f.PreferredHolder = false
		Expect(o.NextAction(f, later.Add(lease.SettleTime))).To(BeNil())
		Expect(o.NextAction(f, later.Add(lease.SettleTime+2*time.Second))).To(Equal(takeover.AcquireLease{}))
	})

	DescribeTable("makes a new holder that doesn't know the latest term", func(l []takeover.MemberStatus, discovered, usable bool) {
		g := takeover.New(lease.Holder{ID: "b"})
		observe(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1}, era(1), later)
		n := later.Add(lease.SettleTime)
		c := g.Acquire(n)
		Expect(c.Record.PrimaryUncertain).To(BeTrue())
		Expect(c.Record.PreviousHolders).To(BeEmpty())
		observe(g, c.Record, era(2), n)
		g.Handle(takeover.MembersPolled{Statuses: l}, n)
		Expect(g.PrimaryDiscovered()).To(Equal(discovered))
		Expect(g.MaySendWork(n)).To(Equal(usable))
	},
		Entry("wait for every member", []takeover.MemberStatus{primary("p", 1, 5), replica("q", 5, false), unreachable("r")}, false, false),
		Entry("use the primary of the latest term", []takeover.MemberStatus{primary("p", 1, 5), primary("q", 2, 4), replica("r", 5, false)}, true, true),
		Entry("not use a primary of an earlier term than a member has seen", []takeover.MemberStatus{primary("p", 1, 5), {Member: catalog.Member{ID: "q"}, Status: query.Status{Term: 2}}}, true, false),
	)
})
