package fleet

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// Guards against new work for a draining primary that may not be replaced yet (case 8 of the
// review, DRAIN).
var _ = Describe("A primary that has been draining for too long and may not be replaced yet", func() {
	var f *Daemon
	var g *group
	p := catalog.Member{ID: "p", Group: "g", Primary: true, Draining: true}

	BeforeEach(func() {
		f = newTestDaemon()
		g = f.group("g")
		f.table.SetMember(p)
		f.catalog.Store(&catalog.Catalog{
			Groups:    map[string]catalog.Group{"g": {Name: "g"}},
			Databases: map[string]catalog.Database{"d": {Name: "d", Group: "g", Consistency: catalog.PrimaryReads, StatementTimeout: 5 * time.Second, Anonymous: true}},
		})
		t := now()
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: lease.Holder{ID: "gone"}, Primary: "p", Term: 1}, Position: at(1)}}, t)
		r := g.Acquire(t).Record
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: r, Position: at(2), RequestedAt: t}}, t)
		g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{{Member: p, Status: query.Status{Primary: true, Term: 1}}}, RequestedAt: t}, t)
		Expect(g.MaySendWork(t)).To(BeTrue())
	})

	drain := func(age time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.appliedAfter = now().Add(-age)
		f.observeDrain(p, true, f.appliedAfter)
	}

	It("gets no new work: requests are refused at once, with a time to return", func() {
		drain(time.Hour)
		t := time.Now()
		o := f.servePrimary(context.Background(), &query.Request{Group: "g", Primary: true, Action: query.ActionWrite, Remaining: 10 * time.Second})
		Expect(time.Since(t)).To(BeNumerically("<", time.Second))
		Expect(o.Failure.Reason).To(Equal(query.Overloaded))
		Expect(o.Failure.RetryAfter).To(BeNumerically(">", 10*time.Second))
		for s, refused := range map[query.Stage]bool{query.Single: true, query.First: true, query.Later: false} {
			u := &primaryUse{daemon: f, group: g, request: &query.Request{Stage: s}, member: "p"}
			Expect(u.guard() != nil).To(Equal(refused), "stage %v", s)
		}
		Expect(f.refuseClosed("p")).NotTo(BeNil())
	})

	It("is explained", func() {
		drain(time.Hour)
		e, err := f.Explain(explanation.Query{Database: "d", Kind: explanation.Write})
		Expect(err).NotTo(HaveOccurred())
		s := e.Steps[len(e.Steps)-1]
		Expect(s.Verdict).To(Equal(explanation.Refuses))
		Expect(s.Reason).To(ContainSubstring("gets no new work any more"))
		Expect(s.RetryAfterMS).To(BeNumerically(">", 10_000))
	})

	It("gets new work until then", func() {
		drain(time.Second)
		u := &primaryUse{daemon: f, group: g, request: &query.Request{}, member: "p"}
		Expect(u.guard()).To(BeNil())
		Expect(f.refuseClosed("p")).To(BeNil())
	})
})
