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

func TestSuccession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "succession")
}

var start = time.Unix(1e9, 0)

func at(id string, offset uint64, draining bool) succession.MemberStatus {
	return succession.MemberStatus{Member: catalog.Member{ID: id, Draining: draining}, Status: query.Status{Term: 1, Received: logpos.Position{Term: 1, Offset: offset}}}
}

func primary(id string, term, offset uint64) succession.MemberStatus {
	a := at(id, offset, false)
	a.Status.Primary, a.Status.Term, a.Status.Received.Term = true, term, term
	return a
}

func lost(id string) succession.MemberStatus {
	return succession.MemberStatus{Member: catalog.Member{ID: id}, Err: errs.New("no answer")}
}

// seen hands a record to a group as the store's answer to a question at the start.
func seen(g *succession.Group, r tenure.Record, rev uint64) {
	g.Handle(succession.LeaseEvent{Event: tenure.RecordObserved{Record: r, Revision: rev, RequestedAt: start}}, start)
}

// holder returns the group of a holder that has found its primary p.
func holder() *succession.Group {
	g := succession.New(tenure.Holder{ID: "a"})
	seen(g, tenure.Record{Holder: tenure.Holder{ID: "a"}, Primary: "p", Term: 1}, 1)
	g.Handle(succession.MembersPolled{Statuses: []succession.MemberStatus{primary("p", 1, 5)}}, start)
	return g
}

func fine() succession.HostState {
	return succession.HostState{Registered: true, PrimaryListed: true, PrimaryHealth: &succession.ConnectionHealth{LastReply: start}}
}

var _ = Describe("the holder's duty", func() {
	DescribeTable("is", func(change func(g *succession.Group, f *succession.HostState), want succession.Action) {
		g, f := holder(), fine()
		change(g, &f)
		a := g.Next(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("nothing while the primary answers", func(*succession.Group, *succession.HostState) {}, nil),
		Entry("to record a primary that the record doesn't name", func(g *succession.Group, _ *succession.HostState) {
			seen(g, tenure.Record{Holder: tenure.Holder{ID: "a"}}, 2)
		}, succession.RecordPrimary{}),
		Entry("to replace a dead primary rather than pass the group on", func(g *succession.Group, f *succession.HostState) {
			f.NearerHost = true
			g.Next(*f, start.Add(-3*time.Second))
			for range succession.MaxFailedProbes {
				g.Handle(succession.PrimaryProbed{Failed: true}, start)
			}
		}, succession.ReplacePrimary{Reason: succession.Silent}),
		Entry("to try a silent primary", func(_ *succession.Group, f *succession.HostState) {
			f.PrimaryHealth.LastReply = start.Add(-time.Second)
		}, succession.ProbePrimary{}),
		Entry("nothing after one refused connection", func(_ *succession.Group, f *succession.HostState) { f.PrimaryHealth.Failures = 1 }, nil),
		Entry("to replace one whose fresh connections fail", func(g *succession.Group, _ *succession.HostState) {
			for range succession.MaxFailedProbes {
				g.Handle(succession.PrimaryProbed{Failed: true}, start)
			}
		}, succession.ReplacePrimary{Reason: succession.Silent}),
		Entry("nothing if one of them succeeds", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.PrimaryProbed{Failed: true}, start)
			g.Handle(succession.PrimaryProbed{}, start)
			g.Handle(succession.PrimaryProbed{Failed: true}, start)
		}, nil),
		Entry("to replace one that drains", func(_ *succession.Group, f *succession.HostState) { f.PrimaryDraining = true }, succession.ReplacePrimary{Reason: succession.PrimaryDraining}),
		Entry("to replace one without an entry", func(_ *succession.Group, f *succession.HostState) { f.PrimaryListed = false }, succession.ReplacePrimary{Reason: succession.Removed}),
		Entry("to replace one that has lost entries", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, Sent: start}, start)
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, Sent: start.Add(1)}, start)
		}, succession.ReplacePrimary{Reason: succession.Unusable}),
		Entry("nothing after a late answer", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, Sent: start}, start.Add(1))
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, Sent: start}, start.Add(2))
		}, nil),
		Entry("to ask the members when it holds the group again, whatever it knew", func(g *succession.Group, _ *succession.HostState) {
			seen(g, tenure.Record{Holder: tenure.Holder{ID: "b"}, Epoch: 1}, 2)
			seen(g, tenure.Record{Holder: tenure.Holder{ID: "a"}, Epoch: 2, Primary: "p", Term: 1, Target: "x"}, 3)
		}, succession.DiscoverPrimary{}),
		Entry("to replace a primary that reports less than a replica had", func(g *succession.Group, _ *succession.HostState) {
			g.Handle(succession.MembersPolled{Statuses: []succession.MemberStatus{primary("p", 1, 5), at("q", 7, false)}}, start)
			g.Handle(succession.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 1}, Sent: start.Add(1)}, start.Add(2))
		}, succession.ReplacePrimary{Reason: succession.Unusable}),
		Entry("to pass the group on when the host leaves", func(_ *succession.Group, f *succession.HostState) { f.HostDraining = true }, succession.TransferLease{}),
		Entry("to ask the earlier holders first", func(g *succession.Group, f *succession.HostState) {
			seen(g, tenure.Record{Holder: tenure.Holder{ID: "b"}, Epoch: 1}, 2)
			seen(g, tenure.Record{Holder: tenure.Holder{ID: "a"}, Epoch: 2, PreviousHolders: []tenure.Holder{{ID: "b"}}, Primary: "p", Term: 1}, 3)
			g.Handle(succession.MembersPolled{Statuses: []succession.MemberStatus{primary("p", 1, 5)}}, start)
			f.PrimaryDraining = true
		}, succession.PollPreviousHolders{}),
	)

	It("is to pass the group on once another host has stood nearer for a while", func() {
		g, f := holder(), fine()
		f.NearerHost = true
		Expect(g.Next(f, start)).To(BeNil())
		f.PrimaryHealth.LastReply = start.Add(3 * time.Second)
		Expect(g.Next(f, start.Add(3*time.Second))).To(Equal(succession.TransferLease{}))
	})

	It("ends with the validity of its record", func() {
		g := holder()
		Expect(g.MaySend(start.Add(tenure.Validity - 1))).To(BeTrue())
		Expect(g.MaySend(start.Add(tenure.Validity))).To(BeFalse())
		Expect(g.Next(succession.HostState{}, start.Add(tenure.Validity))).To(BeNil())
	})
})

var _ = Describe("another host's duty", func() {
	DescribeTable("is", func(f succession.HostState, r tenure.Record, want succession.Action) {
		g := succession.New(tenure.Holder{ID: "b"})
		seen(g, r, 4)
		a := g.Next(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("nothing while the holder lives", succession.HostState{Registered: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("to take the group over if it is the first choice", succession.HostState{Registered: true, TakeoverAllowed: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, succession.AcquireLease{}),
		Entry("nothing if another is", succession.HostState{Registered: true, TakeoverAllowed: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("nothing while it leaves", succession.HostState{HostDraining: true, Registered: true, TakeoverAllowed: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("nothing before it is registered", succession.HostState{TakeoverAllowed: true, FirstCandidate: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}}, nil),
		Entry("to release the group after its own work", succession.HostState{Registered: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}, PreviousHolders: []tenure.Holder{{ID: "b"}}}, succession.ReleaseLease{}),
		Entry("not to release it before", succession.HostState{Registered: true, WorkPending: true}, tenure.Record{Holder: tenure.Holder{ID: "a"}, PreviousHolders: []tenure.Holder{{ID: "b"}}}, nil),
	)
})

var _ = Describe("the primary found", func() {
	DescribeTable("is", func(r tenure.Record, l []succession.MemberStatus, want string, usable bool) {
		g := succession.New(tenure.Holder{ID: "a"})
		r.Holder = tenure.Holder{ID: "a"}
		seen(g, r, 1)
		g.Handle(succession.MembersPolled{Statuses: l}, start)
		id, _ := g.Primary()
		Expect(id).To(Equal(want))
		Expect(g.Discovered()).To(Equal(want != "" || !usable))
		Expect(g.Usable()).To(Equal(usable))
	},
		Entry("the member that leads", tenure.Record{}, []succession.MemberStatus{at("q", 5, false), primary("p", 1, 5)}, "p", true),
		Entry("the one of the highest term", tenure.Record{}, []succession.MemberStatus{primary("p", 1, 5), primary("q", 2, 4)}, "q", true),
		Entry("that of the record, if an older one still leads", tenure.Record{Primary: "q", Term: 2}, []succession.MemberStatus{primary("p", 1, 5), lost("q")}, "q", true),
		Entry("unknown, if nobody leads", tenure.Record{}, []succession.MemberStatus{at("q", 5, false)}, "", true),
		Entry("not to be used, if a promotion was asked for", tenure.Record{Primary: "p", Term: 1, Target: "x"}, []succession.MemberStatus{primary("p", 1, 5)}, "p", false),
		Entry("the promoted one, if the promotion took effect", tenure.Record{Primary: "p", Term: 1, Target: "x"}, []succession.MemberStatus{primary("q", 2, 5)}, "q", true),
	)
})

var _ = Describe("the member to promote", func() {
	DescribeTable("is", func(l []succession.MemberStatus, sync int, planned bool, want string, ready succession.Readiness) {
		g := holder()
		a, r := g.SelectCandidate(succession.SelectionInput{Statuses: l, OldPrimary: "p", SyncReplicas: sync, Planned: planned, Nearer: func(catalog.Member, catalog.Member) bool { return false }})
		Expect(r).To(Equal(ready))
		Expect(a.Member.ID).To(Equal(want))
	},
		Entry("the one with the most of the log", []succession.MemberStatus{at("a", 5, false), at("b", 7, false)}, 0, false, "b", succession.CandidateReady),
		Entry("one that stays, though another has more", []succession.MemberStatus{at("a", 5, false), at("b", 7, true)}, 0, false, "a", succession.CandidateReady),
		Entry("none that leaves", []succession.MemberStatus{at("b", 7, true)}, 0, false, "", succession.NoCandidate),
		Entry("the one that answers", []succession.MemberStatus{lost("a"), at("b", 7, false)}, 0, false, "b", succession.CandidateReady),
		Entry("none, if a synchronous commit may be on the one that doesn't answer", []succession.MemberStatus{lost("a"), at("b", 7, false)}, 1, false, "", succession.NoCandidate),
		Entry("the one that holds the synchronous commits, though it leaves", []succession.MemberStatus{at("a", 5, false), at("b", 7, true)}, 1, false, "b", succession.CandidateReady),
		Entry("behind a primary that still answers", []succession.MemberStatus{primary("p", 1, 9), at("a", 5, false)}, 0, true, "a", succession.CandidateCatchingUp),
		Entry("level with it", []succession.MemberStatus{primary("p", 1, 9), at("a", 9, false)}, 0, true, "a", succession.CandidateReady),
		Entry("one that leads already", []succession.MemberStatus{at("a", 9, false), primary("b", 2, 4)}, 0, false, "b", succession.CandidateReady),
		Entry("none of none", nil, 0, false, "", succession.NoCandidate),
	)
})

var _ = Describe("a promotion", func() {
	It("needs the intent in the record, and makes the old primary unusable", func() {
		g := holder()
		_, _, ok := g.Promotion(start)
		Expect(ok).To(BeFalse())
		r, rev, ok := g.IntentRecord(start)
		Expect(ok).To(BeTrue())
		seen(g, r, rev+1)
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

	It("isn't asked for while an earlier holder may send work", func() {
		g := succession.New(tenure.Holder{ID: "b"})
		seen(g, tenure.Record{Holder: tenure.Holder{ID: "a"}}, 1)
		r, rev := g.AcquireRecord()
		seen(g, r, rev+1)
		_, _, ok := g.IntentRecord(start)
		Expect(ok).To(BeFalse())
		g.Handle(succession.LeaseEvent{Event: tenure.ProcessEnded{ProcessID: "a"}}, start)
		_, _, ok = g.IntentRecord(start)
		Expect(ok).To(BeTrue())
	})
})
