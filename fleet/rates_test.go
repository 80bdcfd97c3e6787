package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

var _ = Describe("Rates of teams", func() {
	var f *Daemon
	d := catalog.Database{Name: "d", Group: "g", StatementTimeout: 400 * time.Millisecond, TargetLatency: 100 * time.Millisecond}
	groups := func(n int) map[string]catalog.Group {
		m := map[string]catalog.Group{}
		for i := range n {
			m[fmt.Sprint("g", i)] = catalog.Group{Name: fmt.Sprint("g", i)}
		}
		return m
	}
	hold := func(name string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		t := now()
		f.era = eraState{known: true, first: true}
		f.group(name).Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder(), Epoch: 1}, Position: at(1), RequestedAt: t}}, t)
	}
	BeforeEach(func() {
		f = newTestDaemon()
		f.config.Features.Rates = &RateBounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self}})
		f.catalog.Store(&catalog.Catalog{Groups: groups(1), Teams: map[string]catalog.Team{"t": {Name: "t", Rate: 1, Burst: 1}, "free": {Name: "free"}}})
	})
	admit := func(team string) (func(*query.Response), *query.Failure) {
		return f.Admit(context.Background(), &query.Request{Team: team}, d)
	}

	It("are bounded at the accountant, and a refusal tells when to come back", func() {
		hold("g0")
		n, last := 0, (*query.Failure)(nil)
		for range 40 {
			if _, last = admit("t"); last == nil {
				n++
			}
		}
		Expect(n).To(BeNumerically(">=", 6))
		Expect(n).To(BeNumerically("<=", 26))
		Expect(last.Reason).To(Equal(query.Overloaded))
		Expect(last.RetryAfter).To(BeNumerically(">", 0))
	})

	It("tell callers that are refused together to come back one after the other", func() {
		hold("g0")
		var mu sync.Mutex
		var w sync.WaitGroup
		seen := map[time.Duration]bool{}
		for range 40 {
			w.Add(1)
			f.spawn(func(context.Context) {
				defer w.Done()
				if _, q := admit("t"); q != nil {
					mu.Lock()
					defer mu.Unlock()
					seen[q.RetryAfter.Round(10*time.Millisecond)] = true
				}
			})
		}
		w.Wait()
		Expect(len(seen)).To(BeNumerically(">=", 10))
	})

	It("give the token of an operation that has surely not run to the next one", func() {
		hold("g0")
		var settle func(*query.Response)
		for {
			s, q := admit("t")
			if q != nil {
				break
			}
			settle = s
		}
		settle(&query.Response{})
		_, q := admit("t")
		Expect(q).To(BeNil())
		_, q = admit("t")
		Expect(q).NotTo(BeNil())
	})

	It("don't concern teams without a rate", func() {
		_, q := admit("free")
		Expect(q).To(BeNil())
		_, q = admit("")
		Expect(q).To(BeNil())
	})

	It("refuse an operation within its time while no accountant is known", func() {
		t := time.Now()
		_, q := admit("t")
		Expect(q.Reason).To(Equal(query.Overloaded))
		Expect(time.Since(t)).To(BeNumerically("<", d.StatementTimeout))
	})

	It("are kept by three groups, of which a fourth one replaces at most one", func() {
		k := &catalog.Catalog{Groups: groups(8)}
		l := accountingGroups(k, "t")
		Expect(l).To(HaveLen(3))
		Expect(accountingGroups(k, "t")).To(Equal(l))
		k.Groups["new"] = catalog.Group{Name: "new"}
		same := 0
		for _, name := range accountingGroups(k, "t") {
			for _, o := range l {
				if name == o {
					same++
				}
			}
		}
		Expect(same).To(BeNumerically(">=", 2))
	})

	It("are not kept by a group whose teams they aren't", func() {
		f.catalog.Store(&catalog.Catalog{Groups: groups(8), Teams: map[string]catalog.Team{"t": {Name: "t", Rate: 1, Burst: 1}}})
		other := ""
		for name := range groups(8) {
			l := accountingGroups(f.Catalog(), "t")
			if name != l[0] && name != l[1] && name != l[2] {
				other = name
			}
		}
		hold(other)
		o := f.lend(allowance.Call{Group: other, Host: "x", Number: 1, Items: []allowance.Item{{Team: "t", Waiting: 1, Limit: allowance.Limit{Rate: 9, Burst: 9}}}})
		Expect(o.Grants).To(HaveLen(1))
		Expect(o.Grants[0].Count).To(BeZero())
	})

	It("end the search for an accountant at two hosts that name each other", func() {
		f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self, {ID: "b"}}})
		f.applyRecord(store.Item{Key: groupPrefix + "g0", Value: []byte(`{"holder":{"id":"b"},"epoch":1}`), Position: at(1)}, time.Time{})
		b := f.orderedAccountants(f.Catalog(), "t")[0]
		ask := func(hint string) string {
			b.Take("t", now())
			b.Wait(&allowance.Ticket{Team: "t"})
			c, ok := b.Call(now())
			Expect(ok).To(BeTrue())
			return f.askForTokens(context.Background(), b, f.config.Self, c, hint)
		}
		Expect(ask("")).To(Equal("b"))
		Expect(ask("a")).To(BeEmpty(), "b has named this host")
	})

	It("label at most a fixed number of teams", func() {
		for i := range 2 * maxTeamLabels {
			f.teamLabel(fmt.Sprint(i))
		}
		Expect(f.teamLabel("0")).To(Equal("0"))
		Expect(f.teamLabel("more")).To(Equal(otherTeams))
	})

	It("count an operation as run if a member may have received it", func() {
		Expect(mayHaveRun(nil)).To(BeTrue())
		Expect(mayHaveRun(&query.Failure{Reason: query.Unreachable})).To(BeTrue())
		Expect(mayHaveRun(&query.Failure{Reason: query.InDoubt})).To(BeTrue())
		Expect(mayHaveRun(&query.Failure{Reason: query.Overloaded})).To(BeFalse())
	})
})
