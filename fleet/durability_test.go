package fleet

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

var _ = Describe("A group whose primary can't be replaced without the loss of a commit", func() {
	var f *Daemon
	var g *group

	BeforeEach(func() {
		f = newTestDaemon()
		g = f.group("g")
		f.table.SetMember(catalog.Member{ID: "p", Group: "g", Primary: true})
		f.catalog.Store(&catalog.Catalog{
			Groups:    map[string]catalog.Group{"g": {Name: "g", SyncReplicas: 1}},
			Databases: map[string]catalog.Database{"d": {Name: "d", Group: "g", Consistency: catalog.PrimaryReads, StatementTimeout: 5 * time.Second, Anonymous: true}},
		})
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder(), Primary: "p", Term: 1}, Position: at(1), RequestedAt: now()}}, now())
		f.blockReplacement(g, takeover.Block{Candidate: "b", Position: logpos.Position{Term: 1, Offset: 7}, Needed: logpos.Position{Term: 1, Offset: 9}, Missing: []string{"a"}})
	})

	It("refuses requests at once, as not run and with a time to return", func() {
		t := time.Now()
		o := f.servePrimary(context.Background(), &query.Request{Group: "g", Primary: true, Action: query.ActionWrite, Remaining: 10 * time.Second})
		Expect(time.Since(t)).To(BeNumerically("<", time.Second))
		Expect(o.Failure.Reason).To(Equal(query.Overloaded))
		Expect(o.Failure.RetryAfter).To(Equal(blockedReplacementRetryAfter))
	})

	It("is explained", func() {
		e, err := f.Explain(explanation.Query{Database: "d", Kind: explanation.Write})
		Expect(err).NotTo(HaveOccurred())
		s := e.Steps[len(e.Steps)-1]
		Expect(s.Verdict).To(Equal(explanation.Refuses))
		Expect(s.Reason).To(ContainSubstring("b at 1/7"))
		Expect(s.Reason).To(ContainSubstring("1/9"))
		Expect(s.Change).To(ContainSubstring("members a"))
	})

	It("passes on no reply about a change once the work at the primary has been ended", func() {
		u := &primaryUse{daemon: f, group: g, request: &query.Request{Action: query.ActionWrite}, member: "p", term: 1}
		done := query.Reply{Signature: "s", State: query.Idle}
		Expect(u.validate(done)).To(Equal(done))
		f.endPrimaryWork(g, "p")
		Expect(u.validate(done).Failure.Reason).To(Equal(query.InDoubt))
	})
})
