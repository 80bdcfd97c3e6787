package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Guards against the replacement of a primary because of a late copy of an earlier reply.
var _ = It("a lower position of the primary only starts the check of its log", func() {
	f := newTestDaemon()
	g := f.group("g")
	m := catalog.Member{ID: "m", Group: "g"}
	f.table.SetMember(m)
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{
		Record: lease.Record{Holder: f.selfHolder(), Primary: "m", Term: 1}, Position: at(1), RequestedAt: now(),
	}}, now())
	poll := func(offset uint64) {
		g.Handle(takeover.MembersPolled{RequestedAt: now(), Statuses: []takeover.MemberStatus{
			{Member: m, Status: query.Status{Primary: true, Term: 1, Received: logpos.Position{Term: 1, Offset: offset}}},
		}}, now())
	}
	poll(5)
	u := &primaryUse{daemon: f, group: g, request: &query.Request{Action: query.ActionCommit}, member: "m", term: 1}
	Expect(u.guard()).To(BeNil())

	f.observePosition(g, "m", logpos.Position{Term: 1, Offset: 3}, now())
	Expect(g.PrimaryUsable()).To(BeTrue())
	Expect(g.PrimaryDoubted()).To(BeTrue())
	Expect(u.guard()).NotTo(BeNil())
	Expect(u.validate(query.Reply{State: query.Idle}).Failure.Reason).To(Equal(query.InDoubt))
	s, ok := g.history.Last()
	Expect(!ok || s.Position.Offset >= 5).To(BeTrue())

	poll(5)
	Expect(u.guard()).To(BeNil())
	Expect(u.validate(query.Reply{State: query.Idle}).Failure).To(BeNil())
})
