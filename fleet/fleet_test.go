package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
	"github.com/dragonflypick/dragonflypick/takeover"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func at(revision uint64) store.Position { return store.Position{Revision: revision} }

// eraStore is a store without calls, in an era.
type eraStore struct {
	store.Store
	era atomic.Uint64
}

func (s *eraStore) Era() (uint64, bool) { return s.era.Load(), true }

func newTestDaemon() *Daemon {
	f, err := New(Config{
		Self: membership.Host{ID: "a", FailureDomain: "west-a", Region: "west"}, PeerListen: "127.0.0.1:0", Secret: "s", Store: &eraStore{}, Log: hclog.NewNullLogger(),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.stop)
	return f
}

var _ = Describe("Daemon", func() {
	It("stops waiting for a primary when the requesting daemon is gone", func() {
		f := newTestDaemon()
		g := f.group("g")
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder()}, Position: at(1)}}, now())
		x, stop := context.WithCancel(context.Background())
		stop()
		t := time.Now()
		o := f.servePrimary(x, &query.Request{Group: "g", Primary: true, Remaining: 10 * time.Second})
		Expect(o.Failure.Reason).To(Equal(query.Overloaded))
		Expect(time.Since(t)).To(BeNumerically("<", time.Second))
	})

	It("checks a host that keeps answering repeatedly without a data race", func() {
		f := newTestDaemon()
		canceled := make(chan struct{})
		// A reply in the future is newer than the start of any check.
		f.lastExecuteReply["b"] = time.Now().Add(time.Hour)
		end := f.cancelOnStall("b", func() { close(canceled) })
		Consistently(canceled, 4*stallTimeout, stallTimeout/4).ShouldNot(BeClosed())
		end()
	})

	It("may take over from a holder that is not listed or not reachable, unless most other hosts are not reachable either", func() {
		f := newTestDaemon()
		l := []membership.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
		f.updateView(membership.ListReceived{Hosts: l})
		f.updateView(membership.HostAnswered{ID: "c"})
		Expect(f.mayTakeOver("b")).To(BeFalse())
		f.updateView(membership.LinkFailed{ID: "b"})
		Expect(f.mayTakeOver("b")).To(BeTrue())
		f.updateView(membership.LinkFailed{ID: "c"})
		f.updateView(membership.LinkFailed{ID: "d"})
		Expect(f.mayTakeOver("b")).To(BeFalse())
		Expect(f.mayTakeOver("gone")).To(BeTrue())
		f.view.Handle(membership.HostAnswered{ID: "c"}, time.Now().Add(-3*time.Second))
		Expect(f.isolated()).To(BeTrue())
	})

	It("is not ready while it reaches only a few hosts and no group's holder", func() {
		f := newTestDaemon()
		l := []membership.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
		f.updateView(membership.ListReceived{Hosts: l})
		f.mu.Lock()
		f.table.SetMember(catalog.Member{ID: "m", Group: "g"})
		f.table.SetMember(catalog.Member{ID: "n", Group: "h"})
		f.mu.Unlock()
		f.catalog.Store(&catalog.Catalog{})
		hold := func(group, holder string, rev uint64) {
			f.applyRecord(store.Item{Key: groupPrefix + group, Value: []byte(`{"holder":{"id":"` + holder + `"}}`), Position: at(rev)}, time.Time{})
		}
		hold("g", "c", 1)
		hold("h", "d", 2)
		f.updateView(membership.HostAnswered{ID: "b"})
		Expect(f.Ready()).To(BeTrue())
		for _, id := range []string{"c", "e"} {
			f.updateView(membership.LinkFailed{ID: id})
		}
		Expect(f.Ready()).To(BeTrue(), "the holder of h may still be reached")
		f.updateView(membership.LinkFailed{ID: "d"})
		f.updateView(membership.HostAnswered{ID: "b"})
		Expect(f.Ready()).To(BeFalse())
		hold("h", "a", 3)
		Expect(f.Ready()).To(BeTrue(), "this host holds h")
		hold("h", "d", 4)
		f.updateView(membership.LinkFailed{ID: "d", Ended: true})
		Expect(f.CutOff()).To(BeFalse(), "the groups of a host that has ended can be taken over")
	})

	It("doesn't use a primary that another host holds, also while that can't be reached", func() {
		f := newTestDaemon()
		f.updateView(membership.ListReceived{Hosts: []membership.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
		f.mu.Lock()
		f.table.SetMember(catalog.Member{ID: "m", Group: "g", Primary: true})
		f.mu.Unlock()
		f.applyRecord(store.Item{Key: groupPrefix + "g", Value: []byte(`{"holder":{"id":"b"},"primary":"m"}`), Position: at(1)}, time.Time{})
		r := &query.Request{Group: "g", MaxAge: time.Second}
		c, ok := f.cheapestTarget(r, nil, rand.Float64)
		Expect(ok).To(BeTrue())
		Expect(c.host.ID).To(Equal("b"))
		f.updateView(membership.LinkFailed{ID: "b"})
		_, ok = f.cheapestTarget(r, nil, rand.Float64)
		Expect(ok).To(BeFalse())
	})

	It("starts with the copy of a daemon that has lost the store only if the store can't be read", func() {
		f, p := newTestDaemon(), newTestDaemon()
		f.config.Store = &conflictStore{}
		p.copy.Apply(storecopy.Update{Items: []store.Item{{Key: groupPrefix + "left", Position: at(4)}}, Position: at(4)}, time.Now())
		x, stop := context.WithCancel(context.Background())
		defer stop()
		p.spawn(func(context.Context) { _ = p.node.Run(x) })
		f.exchangeWith(x, peer.SeedHost(p.node.Address()), true)
		Expect(f.copy.Position().Revision).To(BeZero())
		f.staleCopyAllowed.Store(true)
		Eventually(func() uint64 {
			f.exchangeWith(x, peer.SeedHost(p.node.Address()), true)
			return f.copy.Position().Revision
		}, 10*time.Second).Should(BeEquivalentTo(4))
	})

	DescribeTable("discards a primary's reply that arrives after the end of the group's lease", func(r query.Request, want query.Reason) {
		f := newTestDaemon()
		g := f.group("g")
		done := query.Reply{Signature: "m", State: query.Idle}
		observeRecord := func(requested time.Time) {
			g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder()}, Position: at(1), RequestedAt: requested}}, now())
		}
		observeRecord(now().Add(-2 * lease.Validity))
		u := &primaryUse{daemon: f, group: g, request: &r}
		o := u.validate(done)
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(want))
		Expect(o.Signature).To(BeEmpty())
		observeRecord(now())
		Expect(u.validate(done)).To(Equal(done))
	},
		Entry("to a read", query.Request{Primary: true}, query.Aborted),
		Entry("to a write", query.Request{Primary: true, Action: query.ActionWrite}, query.InDoubt),
		Entry("to a commit", query.Request{Stage: query.Later, Action: query.ActionCommit}, query.InDoubt),
		Entry("to a write in a transaction", query.Request{Stage: query.Later, Action: query.ActionWrite}, query.Aborted),
	)

	It("can request the end of a group's log while it is cut off only if it holds the group", func() {
		f := newTestDaemon()
		f.updateView(membership.ListReceived{Hosts: []membership.Host{{ID: "a"}, {ID: "b"}}})
		f.view.Handle(membership.HostAnswered{ID: "b"}, time.Now().Add(-3*time.Second))
		Expect(f.isolated()).To(BeTrue())
		g := f.group("g")
		Expect(f.canReachHolder(g)).To(BeFalse())
		g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder()}, Position: at(1)}}, now())
		Expect(f.canReachHolder(g)).To(BeTrue())
	})

	It("never replaces the configuration with an older version", func() {
		f := newTestDaemon()
		f.config.Decoder.Configuration = func(b []byte) (*catalog.Catalog, error) { return &catalog.Catalog{Version: uint64(b[0])}, nil }
		for _, v := range []byte{3, 9, 4} {
			f.applyConfiguration(store.Item{Value: []byte{v}}, fromStore)
		}
		Expect(f.Catalog().Version).To(Equal(uint64(9)))
	})
})

var _ = Describe("load", func() {
	t := time.Now()
	It("assumes for positionMaxAge that a member lacks positions beyond the reported one", func() {
		l := &load{position: logpos.Position{Term: 1, Offset: 5}, positionAt: t}
		Expect(l.lacks(logpos.Position{Term: 1, Offset: 5}, t)).To(BeFalse())
		Expect(l.lacks(logpos.Position{Term: 1, Offset: 6}, t)).To(BeTrue())
		Expect(l.lacks(logpos.Position{Term: 2, Offset: 1}, t)).To(BeTrue())
		Expect(l.lacks(logpos.Position{Term: 1, Offset: 6}, t.Add(positionMaxAge))).To(BeFalse())
	})
	It("adds requests in flight, reported queues and lag beyond the accepted age", func() {
		l := &load{}
		Expect(l.cost(3, time.Second, t)).To(BeZero())
		l.inFlight = 3
		Expect(l.cost(3, time.Second, t)).To(Equal(assumedSlotTime))
		l.queueWait, l.queueWaitAt = time.Second, t
		l.lag, l.lagAt = 1500*time.Millisecond, t
		Expect(l.cost(3, time.Second, t)).To(Equal(assumedSlotTime + 1500*time.Millisecond))
		Expect(l.cost(3, -1, t)).To(Equal(assumedSlotTime + time.Second))
		Expect(l.cost(3, time.Second, t.Add(loadMaxAge))).To(Equal(assumedSlotTime))
	})
})
