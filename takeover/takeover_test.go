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
	"github.com/dragonflypick/dragonflypick/takeover"
)

func TestSuccession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "succession")
}

var start = time.Unix(1e9, 0)

func at(id string, offset uint64, draining bool) takeover.MemberStatus {
	return takeover.MemberStatus{Member: catalog.Member{ID: id, Draining: draining}, Status: query.Status{Term: 1, Received: logpos.Position{Term: 1, Offset: offset}}}
}

func primary(id string, term, offset uint64) takeover.MemberStatus {
	a := at(id, offset, false)
	a.Status.Primary, a.Status.Term, a.Status.Received.Term = true, term, term
	return a
}

func lost(id string) takeover.MemberStatus {
	return takeover.MemberStatus{Member: catalog.Member{ID: id}, Err: errs.New("no answer")}
}

// seen hands a record to a group as the store's answer to a question at the start.
func seen(g *takeover.Group, r lease.Record, rev uint64) {
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Revision: rev, RequestedAt: start}}, start)
}

// holder returns the group of a holder that has found its primary p.
func holder() *takeover.Group {
	g := takeover.New(lease.Holder{ID: "a"})
	seen(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1}, 1)
	g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}}, start)
	return g
}

func fine() takeover.HostState {
	return takeover.HostState{Registered: true, PrimaryListed: true, PrimaryHealth: &takeover.ConnectionHealth{LastReply: start}}
}

var _ = Describe("the holder's duty", func() {
	DescribeTable("is", func(change func(g *takeover.Group, f *takeover.HostState), want takeover.Action) {
		g, f := holder(), fine()
		change(g, &f)
		a := g.Next(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("nothing while the primary answers", func(*takeover.Group, *takeover.HostState) {}, nil),
		Entry("to record a primary that the record doesn't name", func(g *takeover.Group, _ *takeover.HostState) {
			seen(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 2)
		}, takeover.RecordPrimary{}),
		Entry("to replace a dead primary rather than pass the group on", func(g *takeover.Group, f *takeover.HostState) {
			f.NearerHost = true
			g.Next(*f, start.Add(-3*time.Second))
			for range takeover.MaxFailedProbes {
				g.Handle(takeover.PrimaryProbed{Failed: true}, start)
			}
		}, takeover.ReplacePrimary{Reason: takeover.Silent}),
		Entry("to try a silent primary", func(_ *takeover.Group, f *takeover.HostState) {
			f.PrimaryHealth.LastReply = start.Add(-time.Second)
		}, takeover.ProbePrimary{}),
		Entry("nothing after one refused connection", func(_ *takeover.Group, f *takeover.HostState) { f.PrimaryHealth.Failures = 1 }, nil),
		Entry("to replace one whose fresh connections fail", func(g *takeover.Group, _ *takeover.HostState) {
			for range takeover.MaxFailedProbes {
				g.Handle(takeover.PrimaryProbed{Failed: true}, start)
			}
		}, takeover.ReplacePrimary{Reason: takeover.Silent}),
		Entry("nothing if one of them succeeds", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.PrimaryProbed{Failed: true}, start)
			g.Handle(takeover.PrimaryProbed{}, start)
			g.Handle(takeover.PrimaryProbed{Failed: true}, start)
		}, nil),
		Entry("to replace one that drains", func(_ *takeover.Group, f *takeover.HostState) { f.PrimaryDraining = true }, takeover.ReplacePrimary{Reason: takeover.PrimaryDraining}),
		Entry("to replace one without an entry", func(_ *takeover.Group, f *takeover.HostState) { f.PrimaryListed = false }, takeover.ReplacePrimary{Reason: takeover.Removed}),
		Entry("to replace one that has lost entries", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, Sent: start}, start)
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, Sent: start.Add(1)}, start)
		}, takeover.ReplacePrimary{Reason: takeover.Unusable}),
		Entry("nothing after a late answer", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 9}, Sent: start}, start.Add(1))
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 2}, Sent: start}, start.Add(2))
		}, nil),
		Entry("to ask the members when it holds the group again, whatever it knew", func(g *takeover.Group, _ *takeover.HostState) {
			seen(g, lease.Record{Holder: lease.Holder{ID: "b"}, Epoch: 1}, 2)
			seen(g, lease.Record{Holder: lease.Holder{ID: "a"}, Epoch: 2, Primary: "p", Term: 1, Target: "x"}, 3)
		}, takeover.DiscoverPrimary{}),
		Entry("to replace a primary that reports less than a replica had", func(g *takeover.Group, _ *takeover.HostState) {
			g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5), at("q", 7, false)}}, start)
			g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 1}, Sent: start.Add(1)}, start.Add(2))
		}, takeover.ReplacePrimary{Reason: takeover.Unusable}),
		Entry("to pass the group on when the host leaves", func(_ *takeover.Group, f *takeover.HostState) { f.HostDraining = true }, takeover.TransferLease{}),
		Entry("to ask the earlier holders first", func(g *takeover.Group, f *takeover.HostState) {
			seen(g, lease.Record{Holder: lease.Holder{ID: "b"}, Epoch: 1}, 2)
			seen(g, lease.Record{Holder: lease.Holder{ID: "a"}, Epoch: 2, PreviousHolders: []lease.Holder{{ID: "b"}}, Primary: "p", Term: 1}, 3)
			g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}}, start)
			f.PrimaryDraining = true
		}, takeover.PollPreviousHolders{}),
	)

	It("is to pass the group on once another host has stood nearer for a while", func() {
		g, f := holder(), fine()
		f.NearerHost = true
		Expect(g.Next(f, start)).To(BeNil())
		f.PrimaryHealth.LastReply = start.Add(3 * time.Second)
		Expect(g.Next(f, start.Add(3*time.Second))).To(Equal(takeover.TransferLease{}))
	})

	It("ends with the validity of its record", func() {
		g := holder()
		Expect(g.MaySend(start.Add(lease.Validity - 1))).To(BeTrue())
		Expect(g.MaySend(start.Add(lease.Validity))).To(BeFalse())
		Expect(g.Next(takeover.HostState{}, start.Add(lease.Validity))).To(BeNil())
	})
})

var _ = Describe("another host's duty", func() {
	DescribeTable("is", func(f takeover.HostState, r lease.Record, want takeover.Action) {
		g := takeover.New(lease.Holder{ID: "b"})
		seen(g, r, 4)
		a := g.Next(f, start)
		if want == nil {
			Expect(a).To(BeNil())
		} else {
			Expect(a).To(Equal(want))
		}
	},
		Entry("nothing while the holder lives", takeover.HostState{Registered: true, FirstCandidate: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("to take the group over if it is the first choice", takeover.HostState{Registered: true, TakeoverAllowed: true, FirstCandidate: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, takeover.AcquireLease{}),
		Entry("nothing if another is", takeover.HostState{Registered: true, TakeoverAllowed: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("nothing while it leaves", takeover.HostState{HostDraining: true, Registered: true, TakeoverAllowed: true, FirstCandidate: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("nothing before it is registered", takeover.HostState{TakeoverAllowed: true, FirstCandidate: true}, lease.Record{Holder: lease.Holder{ID: "a"}}, nil),
		Entry("to release the group after its own work", takeover.HostState{Registered: true}, lease.Record{Holder: lease.Holder{ID: "a"}, PreviousHolders: []lease.Holder{{ID: "b"}}}, takeover.ReleaseLease{}),
		Entry("not to release it before", takeover.HostState{Registered: true, WorkPending: true}, lease.Record{Holder: lease.Holder{ID: "a"}, PreviousHolders: []lease.Holder{{ID: "b"}}}, nil),
	)
})

var _ = Describe("the primary found", func() {
	DescribeTable("is", func(r lease.Record, l []takeover.MemberStatus, want string, usable bool) {
		g := takeover.New(lease.Holder{ID: "a"})
		r.Holder = lease.Holder{ID: "a"}
		seen(g, r, 1)
		g.Handle(takeover.MembersPolled{Statuses: l}, start)
		id, _ := g.Primary()
		Expect(id).To(Equal(want))
		Expect(g.Discovered()).To(Equal(want != "" || !usable))
		Expect(g.Usable()).To(Equal(usable))
	},
		Entry("the member that leads", lease.Record{}, []takeover.MemberStatus{at("q", 5, false), primary("p", 1, 5)}, "p", true),
		Entry("the one of the highest term", lease.Record{}, []takeover.MemberStatus{primary("p", 1, 5), primary("q", 2, 4)}, "q", true),
		Entry("that of the record, if an older one still leads", lease.Record{Primary: "q", Term: 2}, []takeover.MemberStatus{primary("p", 1, 5), lost("q")}, "q", true),
		Entry("unknown, if nobody leads", lease.Record{}, []takeover.MemberStatus{at("q", 5, false)}, "", true),
		Entry("not to be used, if a promotion was asked for", lease.Record{Primary: "p", Term: 1, Target: "x"}, []takeover.MemberStatus{primary("p", 1, 5)}, "p", false),
		Entry("the promoted one, if the promotion took effect", lease.Record{Primary: "p", Term: 1, Target: "x"}, []takeover.MemberStatus{primary("q", 2, 5)}, "q", true),
	)
})

var _ = Describe("the member to promote", func() {
	DescribeTable("is", func(l []takeover.MemberStatus, sync int, planned bool, want string, ready takeover.Readiness) {
		g := holder()
		a, r := g.SelectCandidate(takeover.SelectionInput{Statuses: l, OldPrimary: "p", SyncReplicas: sync, Planned: planned, Nearer: func(catalog.Member, catalog.Member) bool { return false }})
		Expect(r).To(Equal(ready))
		Expect(a.Member.ID).To(Equal(want))
	},
		Entry("the one with the most of the log", []takeover.MemberStatus{at("a", 5, false), at("b", 7, false)}, 0, false, "b", takeover.CandidateReady),
		Entry("one that stays, though another has more", []takeover.MemberStatus{at("a", 5, false), at("b", 7, true)}, 0, false, "a", takeover.CandidateReady),
		Entry("none that leaves", []takeover.MemberStatus{at("b", 7, true)}, 0, false, "", takeover.NoCandidate),
		Entry("the one that answers", []takeover.MemberStatus{lost("a"), at("b", 7, false)}, 0, false, "b", takeover.CandidateReady),
		Entry("none, if a synchronous commit may be on the one that doesn't answer", []takeover.MemberStatus{lost("a"), at("b", 7, false)}, 1, false, "", takeover.NoCandidate),
		Entry("the one that holds the synchronous commits, though it leaves", []takeover.MemberStatus{at("a", 5, false), at("b", 7, true)}, 1, false, "b", takeover.CandidateReady),
		Entry("behind a primary that still answers", []takeover.MemberStatus{primary("p", 1, 9), at("a", 5, false)}, 0, true, "a", takeover.CandidateCatchingUp),
		Entry("level with it", []takeover.MemberStatus{primary("p", 1, 9), at("a", 9, false)}, 0, true, "a", takeover.CandidateReady),
		Entry("one that leads already", []takeover.MemberStatus{at("a", 9, false), primary("b", 2, 4)}, 0, false, "b", takeover.CandidateReady),
		Entry("none of none", nil, 0, false, "", takeover.NoCandidate),
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
		g.Handle(takeover.PromotionRequested{}, start)
		Expect(g.MaySend(start)).To(BeFalse())
		_, _, ok = g.PrimaryRecord(start)
		Expect(ok).To(BeFalse())
		g.Handle(takeover.PrimaryConfirmed{Member: "q", Status: primary("q", 2, 5).Status}, start)
		Expect(g.MaySend(start)).To(BeTrue())
		r, _, ok = g.PrimaryRecord(start)
		Expect(ok).To(BeTrue())
		Expect(r.Primary).To(Equal("q"))
		Expect(r.Target).To(BeEmpty())
	})

	It("isn't asked for while an earlier holder may send work", func() {
		g := takeover.New(lease.Holder{ID: "b"})
		seen(g, lease.Record{Holder: lease.Holder{ID: "a"}}, 1)
		r, rev := g.AcquireRecord()
		seen(g, r, rev+1)
		_, _, ok := g.IntentRecord(start)
		Expect(ok).To(BeFalse())
		g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: "a"}}, start)
		_, _, ok = g.IntentRecord(start)
		Expect(ok).To(BeTrue())
	})
})
