package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Guards against work at a primary that another holder has replaced, by a host that has
// become the holder again and still has a transaction there (the class of case 1 of the
// review, ONE).
var _ = Describe("A primary that was replaced while another host held the group", func() {
	var f *Daemon
	var g *group
	observe := func(primary string, term, epoch, revision uint64) {
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{
			Record: lease.Record{Holder: f.selfHolder(), Epoch: epoch, Primary: primary, Term: term}, Position: at(revision), RequestedAt: now(),
		}}, now())
	}

	BeforeEach(func() {
		f = newTestDaemon()
		g = f.group("g")
		for _, id := range []string{"m", "n"} {
			f.table.SetMember(catalog.Member{ID: id, Group: "g"})
		}
		observe("m", 1, 1, 1)
	})

	DescribeTable("isn't sent any work of a transaction, and isn't relied on", func(a query.Action, want query.Reason) {
		u := &primaryUse{daemon: f, group: g, request: &query.Request{Stage: query.Later, Action: a}, member: "m"}
		done := query.Reply{Signature: "s", State: query.Idle}
		Expect(u.guard()).To(BeNil())
		Expect(u.validate(done)).To(Equal(done))
		observe("n", 2, 3, 2)
		Expect(u.validate(done).Failure).NotTo(BeNil())
		Expect(u.validate(done).Failure.Reason).To(Equal(want))
		Expect(u.guard()).NotTo(BeNil())
	},
		Entry("for a write", query.ActionWrite, query.Aborted),
		Entry("for a commit", query.ActionCommit, query.InDoubt),
	)

	It("isn't relied on for a write of an earlier term either", func() {
		u := &primaryUse{daemon: f, group: g, request: &query.Request{Action: query.ActionWrite}, member: "m", term: 1}
		observe("m", 3, 3, 2)
		Expect(u.validate(query.Reply{Signature: "s", State: query.Idle}).Failure.Reason).To(Equal(query.InDoubt))
	})

	It("loses its connections", func() {
		p := f.memberPool(catalog.Member{ID: "m", Group: "g"})
		f.pools["m"].primaryTerm = 1
		f.closeUnusedPools()
		Expect(f.pools).To(HaveKey("m"))
		observe("n", 2, 3, 2)
		f.closeUnusedPools()
		Expect(f.pools).NotTo(HaveKey("m"))
		Expect(p.Load().Connections).To(BeZero())
	})
})
