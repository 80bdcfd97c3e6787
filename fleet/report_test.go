package fleet

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/outlier"
	"github.com/dragonflypick/dragonflypick/placement"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

var _ = Describe("reports on members", func() {
	It("survive their encoding, and an older one doesn't replace a newer one", func() {
		f := newPlacingDaemon(fakeMembers{"m": {}})
		r := query.MemberReport{Member: "m", Position: logpos.Position{Term: 2, Offset: 7}, LagMS: 150, WaitMS: 20, SlotMS: 25, BusyPercent: 80, FailuresPercent: 10, AgeMS: 100}
		b, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<", 50))
		var o query.MemberReport
		Expect(json.Unmarshal(b, &o)).To(Succeed())
		Expect(o).To(Equal(r))
		f.observeReports([]query.MemberReport{r, {Member: "unknown"}})
		r.WaitMS, r.AgeMS = 900, 500
		f.observeReports([]query.MemberReport{r})
		l := f.reports("g", "", 0)
		Expect(l).To(HaveLen(1))
		Expect(l[0].WaitMS).To(Equal(int64(20)))
	})

	It("end with their member, also if the answer to a read arrives later", func() {
		f := newPlacingDaemon(fakeMembers{"m": {}})
		f.observeReports([]query.MemberReport{{Member: "m"}})
		Expect(f.loads.byMember).To(HaveKey("m"))
		f.mu.Lock()
		f.evictAt["m"] = time.Now().Add(-time.Second)
		f.mu.Unlock()
		f.evictRemovedMembers()
		late := placedTarget{readTarget: readTarget{member: catalog.Member{ID: "m", Group: "g"}}}
		for range 9 {
			f.observeOutlier(late, outlier.Failed{Member: "m"})
		}
		Expect(f.loads.byMember).NotTo(HaveKey("m"))
		Expect(f.outliers.Standings([]string{"m", "n"}, now())[0].Share).To(BeEquivalentTo(1), "nothing is kept of a member that has left")
	})

	It("aren't told where no deployment asks for them", func() {
		f := newTestDaemon()
		f.mu.Lock()
		f.table.SetMember(catalog.Member{ID: "m", Group: "g"})
		f.loads.member("m").report = placement.Report{At: now()}
		f.mu.Unlock()
		Expect(f.reports("g", "", 0)).To(BeEmpty())
		r := &query.Request{Group: "g"}
		f.prepareSurvey(r)
		Expect(r.Survey).To(BeFalse())
	})
})

var _ = Describe("a holder", func() {
	It("hands over a group that belongs to another host of its failure domain only if it holds several or that one is much stronger", func() {
		f := newPlacingDaemon(fakeMembers{})
		f.config.Self.Weight = 0.134
		other := membership.Host{ID: "b", FailureDomain: "west-a", Weight: 0.134}
		strong := membership.Host{ID: "c", FailureDomain: "west-a", Weight: 0.8}
		far := membership.Host{ID: "d", FailureDomain: "west-b", Weight: 0.8}
		f.mu.Lock()
		defer f.mu.Unlock()
		hold := func(name string) {
			f.group(name).Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder()}, Position: at(1)}}, now())
		}
		hold("g")
		Expect(f.strongerHostExists(other)).To(BeFalse())
		Expect(f.strongerHostExists(strong)).To(BeTrue())
		Expect(f.strongerHostExists(far)).To(BeFalse())
		Expect(f.strongerHostExists(f.config.Self)).To(BeFalse())
		hold("h")
		Expect(f.strongerHostExists(other)).To(BeTrue())
	})

	It("doesn't give a group back and forth with a host that sees other hosts", func() {
		f := newPlacingDaemon(fakeMembers{"m": {}})
		f.config.Store, f.config.Self.Weight = &puttingStore{}, 1
		strong := membership.Host{ID: "c", PeerAddress: "127.0.0.1:1", FailureDomain: "west-a", Region: "west", Weight: 10}
		f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self, strong}})
		f.mu.Lock()
		g := f.group("g")
		// handsOver makes this host the holder and reports whether another one is to be.
		handsOver := func(revision uint64) bool {
			g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder(), Primary: "m"}, Position: at(revision)}}, now())
			return f.hostState(g).NearerHostExists
		}
		Expect(handsOver(1)).To(BeTrue())
		f.mu.Unlock()
		f.transferGroupLease(context.Background(), g)
		f.mu.Lock()
		defer f.mu.Unlock()
		Expect(g.Holder().ID).To(Equal("c"))
		Expect(handsOver(101)).To(BeFalse(), "it has come back at once")
		g.handovers.at = now().Add(-minHandoverPause)
		Expect(handsOver(102)).To(BeTrue())
		g.handovers.record(now())
		g.handovers.at = now().Add(-minHandoverPause)
		Expect(handsOver(103)).To(BeFalse(), "the pause doubles")
	})
})

// puttingStore is a store in which all writes succeed.
type puttingStore struct{ eraStore }

func (s *puttingStore) Put(context.Context, store.Write) (store.Position, error) { return at(100), nil }
