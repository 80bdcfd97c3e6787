package takeover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Guards against the promotion of a replica that lacks an acknowledged commit (case 2 of
// the review, LOST): the group's members are a, b and the primary p, and each commit waits
// for one replica.
var _ = Describe("a group whose commits wait for a replica", func() {
	var g *takeover.Group
	soon := start.Add(time.Millisecond)
	all := []lease.Member{{ID: "a"}, {ID: "b"}, {ID: "p"}}

	// newGroup returns the group of a host that has just become the holder.
	newGroup := func(r lease.Record) *takeover.Group {
		g := takeover.New(lease.Holder{ID: "h"})
		r.Holder, r.Primary, r.Term = lease.Holder{ID: "h"}, "p", 1
		observeRecord(g, r, 1)
		return g
	}
	report := func(offset uint64, requested time.Time) {
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: offset}, RequestedAt: requested}, soon)
	}
	choose := func(l ...takeover.MemberStatus) (string, takeover.SelectionResult) {
		a, r := g.SelectCandidate(takeover.SelectionInput{Statuses: l, OldPrimary: "p", SyncReplicas: 1, Nearer: func(catalog.Member, catalog.Member) bool { return false }})
		return a.Member.ID, r
	}

	BeforeEach(func() {
		g = newGroup(lease.Record{Members: all})
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5), replica("b", 5, false)}, RequestedAt: soon}, soon)
	})

	It("promotes no replica that lacks an acknowledged commit while one that isn't listed may have it", func() {
		report(9, soon)
		_, r := choose(replica("b", 7, false))
		Expect(r).To(Equal(takeover.CandidateUnsafe))
		id, r := choose(replica("a", 9, false), replica("b", 7, false))
		Expect(id).To(Equal("a"))
		Expect(r).To(Equal(takeover.CandidateReady))
	})

	It("needn't wait for a replica that is gone if another one has every acknowledged commit", func() {
		report(9, soon)
		id, r := choose(replica("b", 9, false))
		Expect(id).To(Equal("b"))
		Expect(r).To(Equal(takeover.CandidateReady))
	})

	It("promotes the furthest replica if all have answered, though the primary has told a further position", func() {
		report(9, soon)
		id, r := choose(replica("a", 7, false), replica("b", 8, false))
		Expect(id).To(Equal("b"))
		Expect(r).To(Equal(takeover.CandidateReady))
	})

	It("doesn't take a replica that has started again without its log for the one that had the commits", func() {
		report(9, soon)
		a := replica("a", 1, false)
		a.Member.StartMillis = 7
		_, r := choose(a, replica("b", 7, false))
		Expect(r).To(Equal(takeover.CandidateUnsafe))
	})

	It("relies on no position that was told while a previous holder may have acknowledged commits", func() {
		g = newGroup(lease.Record{Members: all, PreviousHolders: []lease.Holder{{ID: "i"}}})
		report(9, soon)
		_, r := choose(replica("b", 9, false))
		Expect(r).To(Equal(takeover.CandidateUnsafe))
		ended := soon.Add(time.Second)
		g.Handle(takeover.LeaseEvent{Event: lease.ProcessEnded{ProcessID: "i"}}, ended)
		report(9, soon)
		_, r = choose(replica("b", 9, false))
		Expect(r).To(Equal(takeover.CandidateUnsafe), "the position was requested before")
		report(9, ended)
		_, r = choose(replica("b", 9, false))
		Expect(r).To(Equal(takeover.CandidateReady))
	})

	It("promotes none if neither the members nor the acknowledged commits are known", func() {
		g = newGroup(lease.Record{})
		_, r := choose(replica("a", 9, false), replica("b", 9, false))
		Expect(r).To(Equal(takeover.CandidateUnsafe))
	})

	It("forgets what it knew when another host has held the group", func() {
		report(9, soon)
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "h"}, Epoch: 2, Primary: "p", Term: 1, Members: all}, 2)
		_, r := choose(replica("b", 9, false))
		Expect(r).To(Equal(takeover.CandidateUnsafe))
	})

	It("passes on no reply about a change from the end of the old primary's work on", func() {
		Expect(g.PassesReplies()).To(BeTrue())
		g.Handle(takeover.WorkEnded{}, soon)
		Expect(g.PassesReplies()).To(BeFalse())
		g.Handle(takeover.ReplacementEnded{}, soon)
		Expect(g.PassesReplies()).To(BeTrue())
		g.Handle(takeover.PromotionRequested{Member: "b"}, soon)
		g.Handle(takeover.ReplacementEnded{}, soon)
		Expect(g.PassesReplies()).To(BeFalse())
	})

	It("goes on with a stated loss once the configuration lets commits wait for no replica", func() {
		report(9, soon)
		c := takeover.SelectionInput{Statuses: []takeover.MemberStatus{replica("b", 7, false)}, OldPrimary: "p"}
		a, r := g.SelectCandidate(c)
		Expect(a.Member.ID).To(Equal("b"))
		Expect(r).To(Equal(takeover.CandidateReady))
		Expect(g.MayLoseCommits(c, a)).To(BeTrue())
		Expect(g.DescribeBlock(c)).To(Equal(takeover.Block{
			Candidate: "b", Position: logpos.Position{Term: 1, Offset: 7}, Needed: logpos.Position{Term: 1, Offset: 9}, Missing: []string{"a"},
		}))
		Expect(g.MayLoseCommits(c, replica("b", 9, false))).To(BeFalse())
	})

	It("counts as blocked until the primary answers again, or for a while", func() {
		b := takeover.Block{Candidate: "b", Missing: []string{"a"}}
		g.Handle(takeover.ReplacementBlocked{Block: b}, soon)
		o, blocked := g.Blocked(soon.Add(time.Second))
		Expect(blocked).To(BeTrue())
		Expect(o).To(Equal(b))
		_, blocked = g.Blocked(soon.Add(time.Minute))
		Expect(blocked).To(BeFalse())
		g.Handle(takeover.PrimaryProbed{}, soon)
		_, blocked = g.Blocked(soon)
		Expect(blocked).To(BeFalse())
	})
})

var _ = Describe("the members in a group's record", func() {
	soon := start.Add(time.Millisecond)
	state := func(l ...lease.Member) takeover.HostState {
		f := healthyState()
		f.Members = l
		return f
	}
	a, b := lease.Member{ID: "a", Address: "1", StartMillis: 1}, lease.Member{ID: "b", Address: "2", StartMillis: 1}

	It("are first recorded once the primary has shown all commits", func() {
		g := takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1, LogEnd: logpos.Position{Term: 1, Offset: 5}}, 1)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}, RequestedAt: start.Add(-1)}, start)
		Expect(g.NextAction(state(a, b), start)).To(BeNil())
		g.Handle(takeover.PositionReported{Member: "p", Position: logpos.Position{Term: 1, Offset: 5}, RequestedAt: soon}, soon)
		Expect(g.NextAction(state(a, b), start)).To(Equal(takeover.RecordMembers{}))
		c, ok := g.RecordMembers([]lease.Member{b, a}, nil, start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.Members).To(Equal([]lease.Member{a, b}))
		observeRecord(g, c.Record, c.Revision+1)
		Expect(g.NextAction(state(a, b), start)).To(BeNil())
	})

	It("keep one that isn't listed any more, and drop one that has ended once another replica has its commits", func() {
		g := takeover.New(lease.Holder{ID: "a"})
		observeRecord(g, lease.Record{Holder: lease.Holder{ID: "a"}, Primary: "p", Term: 1, LogEnd: logpos.Position{Term: 1, Offset: 5}, Members: []lease.Member{a, b}}, 1)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{primary("p", 1, 5)}, RequestedAt: soon}, soon)
		Expect(g.NextAction(state(b), start)).To(BeNil())
		_, ok := g.RecordMembers([]lease.Member{b}, nil, start)
		Expect(ok).To(BeFalse())

		// The next member at a's address has its log.
		next := lease.Member{ID: "c", Address: "1", StartMillis: 9}
		l := []lease.Member{b, next}
		Expect(g.NextAction(state(l...), start)).To(Equal(takeover.RecordMembers{}))
		g.PrepareDrop(l, start)
		s := replica("b", 4, false)
		s.Member.Address, s.Member.StartMillis = "2", 1
		c, ok := g.RecordMembers(l, []takeover.MemberStatus{s}, start)
		Expect(ok).To(BeTrue())
		Expect(c.Record.Members).To(Equal([]lease.Member{a, b, next}))
		observeRecord(g, c.Record, c.Revision+1)
		Expect(g.NextAction(state(l...), start)).To(BeNil())

		later := start.Add(2 * time.Second)
		f := state(l...)
		f.PrimaryHealth.LastReply = later
		Expect(g.NextAction(f, later)).To(Equal(takeover.RecordMembers{}))
		g.PrepareDrop(l, later)
		s.Status.Received.Offset = 5
		c, ok = g.RecordMembers(l, []takeover.MemberStatus{s}, later)
		Expect(ok).To(BeTrue())
		Expect(c.Record.Members).To(Equal([]lease.Member{b, next}))
	})
})
