package succession_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/succession"
	"github.com/dragonflypick/dragonflypick/tenure"
)

func TestTakeover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "takeover")
}

var start = time.Unix(1e9, 0)

func replica(id string, offset uint64, draining bool) succession.MemberStatus {
	return succession.MemberStatus{Member: catalog.Member{ID: id, Draining: draining}, Status: query.Status{Term: 1, Received: logpos.Position{Term: 1, Offset: offset}}}
}

func primary(id string, term, offset uint64) succession.MemberStatus {
	a := replica(id, offset, false)
	a.Status.Primary, a.Status.Term, a.Status.Received.Term = true, term, term
	return a
}

func unreachable(id string) succession.MemberStatus {
	return succession.MemberStatus{Member: catalog.Member{ID: id}, Err: errs.New("no answer")}
}

// observeRecord passes a record to a group as the store's reply to a request sent
// at the start.
func observeRecord(g *succession.Group, r tenure.Record, rev uint64) {
	g.Handle(succession.LeaseEvent{Event: tenure.RecordObserved{Record: r, Revision: rev, RequestedAt: start}}, start)
}

// newHolder returns the group of a holder that has discovered its primary p.
func newHolder() *succession.Group {
	g := succession.New(tenure.Holder{ID: "a"})
	observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "a"}, Primary: "p", Term: 1}, 1)
	g.Handle(succession.MembersPolled{Statuses: []succession.MemberStatus{primary("p", 1, 5)}}, start)
	return g
}

func healthyState() succession.HostState {
	return succession.HostState{Registered: true, PrimaryListed: true, PrimaryHealth: &succession.ConnectionHealth{LastReply: start}}
}

var _ = Describe("the holder's next action", func() {
	DescribeTable("is", func(change func(g *succession.Group, f *succession.HostState), want succession.Action) {
		g, f := newHolder(), healthyState()
		change(g, &f)
		a := g.Next(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("none while the primary replies", func(*succession.Group, *succession.HostState) {}, nil),
		Entry("to record a primary that the record doesn't name yet", func(g *succession.Group, _ *succession.HostState) {
			observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "a"}}, 2)
		}, succession.RecordPrimary{}),
		Entry("to replace a failed primary rather than transfer the lease", func(g *succession.Group, f *succession.HostState) {
			f.NearerHost = true
			g.Next(*f, start.Add(-3*time.Second))
			for range succession.MaxFailedProbes {
				g.Handle(succession.PrimaryProbed{Failed: true}, start)
			}
		}, succession.ReplacePrimary{Reason: succession.PrimarySilent}),
		Entry("to probe a primary that hasn't replied for a second", func(_ *succession.Group, f *succession.HostState) {
			f.PrimaryHealth.LastReply = start.Add(-time.Second)
		}, succession.ProbePrimary{}),
		Entry("none after one refused connection", func(_ *succession.Group, f *succession.HostState) { f.PrimaryHealth.Failures = 1 }, nil),
		Entry("to replace a primary after several failed connections in a row", func(g *succession.Group, _ *succession.HostState) {
			for range succession.MaxFailedProbes {
				g.Handle(succession.PrimaryProbed{Failed: true}, start)
			}
		}, succession.ReplacePrimary{Reason: succession.PrimarySilent}),
		Entry("none if a connection between two failed ones succeeds", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.PrimaryProbed{Failed: true}, start)
			g.Handle(succession.PrimaryProbed{}, start)
			g.Handle(succession.PrimaryProbed{Failed: true}, start)
		}, nil),
		Entry("to replace a draining primary", func(_ *succession.Group, f *succession.HostState) { f.PrimaryDraining = true }, succession.ReplacePrimary{Reason: succession.PrimaryDraining}),
		Entry("to replace a primary that is no longer listed", func(_ *succession.Group, f *succession.HostState) { f.PrimaryListed = false }, succession.ReplacePrimary{Reason: succession.PrimaryRemoved}),
		Entry("to replace a primary that reports a lower position than before", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, Sent: start}, start)
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, Sent: start.Add(1)}, start)
		}, succession.ReplacePrimary{Reason: succession.PrimaryUnusable}),
		Entry("none if the lower position is the reply to an earlier request", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, Sent: start}, start.Add(1))
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, Sent: start}, start.Add(2))
		}, nil),
		Entry("to poll the members when the host becomes the holder again", func(g *succession.Group, _ *succession.HostState) {
			observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "b"}, Epoch: 1}, 2)
			observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "a"}, Epoch: 2, Primary: "p", Term: 1, Target: "x"}, 3)
		}, succession.DiscoverPrimary{}),
		Entry("to replace a primary that reports a lower position than a replica did", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.MembersPolled{Statuses: []succession.MemberStatus{primary("p", 1, 5), replica("q", 7, false)}}, start)
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 1}, Sent: start.Add(1)}, start.Add(2))
		}, succession.ReplacePrimary{Reason: succession.PrimaryUnusable}),
		Entry("to transfer the lease when the host drains", func(_ *succession.Group, f *succession.HostState) { f.HostDraining = true }, succession.TransferLease{}),
		Entry("to poll the previous holders before replacing a draining primary", func(g *succession.Group, f *succession.HostState) {
			observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "b"}, Epoch: 1}, 2)
			observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "a"}, Epoch: 2, PreviousHolders: []tenure.Holder{{ID: "b"}}, Primary: "p", Term: 1}, 3)
			g.Handle(succession.MembersPolled{Statuses: []succession.MemberStatus{primary("p", 1, 5)}}, start)
			f.PrimaryDraining = true
		}, succession.PollPreviousHolders{}),
	)

	It("is to transfer the lease once another host has been nearer for 3 s", func() {
		g, f := newHolder(), healthyState()
		f.NearerHost = true
		Expect(g.Next(f, start)).To(BeNil())
		f.PrimaryHealth.LastReply = start.Add(3 * time.Second)
		Expect(g.Next(f, start.Add(3*time.Second))).To(Equal(succession.TransferLease{}))
	})

	It("is none once the lease has expired", func() {
		g := newHolder()
		Expect(g.MaySend(start.Add(tenure.Validity - 1))).To(BeTrue())
		Expect(g.MaySend(start.Add(tenure.Validity))).To(BeFalse())
		Expect(g.Next(succession.HostState{}, start.Add(tenure.Validity))).To(BeNil())
	})
})

var _ = Describe("the next action of another host", func() {
	DescribeTable("is", func(f succession.HostState, r tenure.Record, want succession.Action) {
		g := succession.New(tenure.Holder{ID: "b"})
		observeRecord(g, r, 4)
		a := g.Next(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("none while the holder is live", succession.HostState{Registered: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("to take the group over if the host is the first choice", succession.HostState{Registered: true, TakeoverAllowed: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, succession.AcquireLease{}),
		Entry("none if another host is the first choice", succession.HostState{Registered: true, TakeoverAllowed: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("none while the host drains", succession.HostState{HostDraining: true, Registered: true, TakeoverAllowed: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("none before the host is registered", succession.HostState{TakeoverAllowed: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("to release the group once the work of the host has ended", succession.HostState{Registered: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}, PreviousHolders: []tenure.Holder{{ID: "b"}}}, succession.ReleaseLease{}),
		Entry("none while the host still has work on the group", succession.HostState{Registered: true, WorkPending: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}, PreviousHolders: []tenure.Holder{{ID: "b"}}}, nil),
	)
})

var _ = Describe("the discovered primary", func() {
	DescribeTable("is", func(r tenure.Record, l []succession.MemberStatus, want string, usable bool) {
		g := succession.New(tenure.Holder{ID: "a"})
		r.Holder = tenure.Holder{ID: "a"}
		observeRecord(g, r, 1)
		g.Handle(succession.MembersPolled{Statuses: l}, start)
		id, _ := g.Primary()
		Expect(id).To(Equal(want))
		Expect(g.Discovered()).To(Equal(want != "" || !usable))
		Expect(g.Usable()).To(Equal(usable))
	},
		Entry("the member that reports itself primary", tenure.Record{}, []succession.MemberStatus{replica("q", 5, false), primary("p", 1, 5)}, "p", true),
		Entry("the primary of the highest term", tenure.Record{}, []succession.MemberStatus{primary("p", 1, 5), primary("q", 2, 4)}, "q", true),
		Entry("the primary in the record, if only one of an older term is found", tenure.Record{Primary: "q", Term: 2}, []succession.MemberStatus{primary("p", 1, 5), unreachable("q")}, "q", true),
		Entry("unknown, if no member is primary", tenure.Record{}, []succession.MemberStatus{replica("q", 5, false)}, "", true),
		Entry("unusable, if a promotion was requested", tenure.Record{Primary: "p", Term: 1, Target: "x"}, []succession.MemberStatus{primary("p", 1, 5)}, "p", false),
		Entry("the promoted member, if the promotion took effect", tenure.Record{Primary: "p", Term: 1, Target: "x"}, []succession.MemberStatus{primary("q", 2, 5)}, "q", true),
	)
})

var _ = Describe("the member to promote", func() {
	DescribeTable("is", func(l []succession.MemberStatus, sync int, planned bool, want string, ready succession.CandidateState) {
		g := newHolder()
		a, r := g.SelectCandidate(succession.SelectionInput{Statuses: l, OldPrimary: "p", SyncReplicas: sync, Planned: planned, Nearer: func(catalog.Member, catalog.Member) bool { return false }})
		Expect(r).To(Equal(ready))
		Expect(a.Member.ID).To(Equal(want))
	},
		Entry("the replica with the furthest position", []succession.MemberStatus{replica("a", 5, false), replica("b", 7, false)}, 0, false, "b", succession.CandidateReady),
		Entry("a replica that isn't draining, though another has a further position", []succession.MemberStatus{replica("a", 5, false), replica("b", 7, true)}, 0, false, "a", succession.CandidateReady),
		Entry("none, if the only replica is draining", []succession.MemberStatus{replica("b", 7, true)}, 0, false, "", succession.NoCandidate),
		Entry("the only replica that replies", []succession.MemberStatus{unreachable("a"), replica("b", 7, false)}, 0, false, "b", succession.CandidateReady),
		Entry("none, if only the replica that doesn't reply may have a synchronous commit", []succession.MemberStatus{unreachable("a"), replica("b", 7, false)}, 1, false, "", succession.NoCandidate),
		Entry("the replica that has the synchronous commits, though it is draining", []succession.MemberStatus{replica("a", 5, false), replica("b", 7, true)}, 1, false, "b", succession.CandidateReady),
		Entry("catching up, while it is behind a primary that still replies", []succession.MemberStatus{primary("p", 1, 9), replica("a", 5, false)}, 0, true, "a", succession.CandidateCatchingUp),
		Entry("ready, when it has reached the primary's position", []succession.MemberStatus{primary("p", 1, 9), replica("a", 9, false)}, 0, true, "a", succession.CandidateReady),
		Entry("a member that is primary already", []succession.MemberStatus{replica("a", 9, false), primary("b", 2, 4)}, 0, false, "b", succession.CandidateReady),
		Entry("none, without members", nil, 0, false, "", succession.NoCandidate),
	)
})

var _ = Describe("a promotion", func() {
	It("requires the intent in the record and makes the old primary unusable", func() {
		g := newHolder()
		_, _, ok := g.Promotion(start)
		Expect(ok).To(BeFalse())
		r, rev, ok := g.IntentRecord(start)
		Expect(ok).To(BeTrue())
		observeRecord(g, r, rev+1)
		token, term, ok := g.Promotion(start)
		Expect(ok).To(BeTrue())
		Expect(token).To(Equal(rev + 1))
		Expect(term).To(Equal(uint64(1)))
		g.Handle(succession.PromotionRequested{}, start)
		Expect(g.MaySend(start)).To(BeFalse())
		_, _, ok = g.PrimaryRecord(start)
		Expect(ok).To(BeFalse())
		g.Handle(succession.PrimaryConfirmed{Member: "q", Status: primary("q", 2, 5).Status}, start)
		Expect(g.MaySend(start)).To(BeTrue())
		r, _, ok = g.PrimaryRecord(start)
		Expect(ok).To(BeTrue())
		Expect(r.Primary).To(Equal("q"))
		Expect(r.Target).To(BeEmpty())
	})

	It("isn't requested while a previous holder may send work", func() {
		g := succession.New(tenure.Holder{ID: "b"})
		observeRecord(g, tenure.Record{Holder: tenure.Holder{ID: "a"}}, 1)
		r, rev := g.AcquireRecord()
		observeRecord(g, r, rev+1)
		_, _, ok := g.IntentRecord(start)
		Expect(ok).To(BeFalse())
		g.Handle(succession.LeaseEvent{Event: tenure.ProcessEnded{ProcessID: "a"}}, start)
		_, _, ok = g.IntentRecord(start)
		Expect(ok).To(BeTrue())
	})
})
