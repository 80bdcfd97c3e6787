package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

var _ = Describe("exchange", func() {
	It("lets a host watch the store once none of its upstreams is up to date", func() {
		t := time.Now()
		s := upstreamState{currentAt: t}
		o := gossip.Overlay{Upstreams: []membership.Host{{ID: "a"}, {ID: "b"}}}
		Expect(s.shouldWatch(o, t.Add(upstreamTimeout))).To(BeFalse())
		Expect(s.shouldWatch(gossip.Overlay{Watches: true}, t)).To(BeTrue())
		s.observeUpstream(false, t.Add(time.Second))
		Expect(s.next).To(Equal(1))
		Expect(s.shouldWatch(o, t.Add(time.Second))).To(BeTrue())
		Expect(s.isStale(t.Add(time.Second))).To(BeTrue())
		s.watching = true
		Expect(s.isStale(t.Add(time.Second))).To(BeFalse())
		s.observeUpstream(true, t.Add(time.Second))
		Expect(s.shouldWatch(o, t.Add(time.Second))).To(BeFalse())
	})

	It("counts only the newest record of an address", func() {
		host := func(id, address string) membership.Host { return membership.Host{ID: id, PeerAddress: address} }
		l := runningHosts(map[string]hostRecord{
			"old": {host("a.1", "10.0.0.1:1"), 4}, "new": {host("a.2", "10.0.0.1:1"), 9}, "other": {host("b.1", "10.0.0.2:1"), 5},
		})
		Expect(l).To(ConsistOf(host("a.2", "10.0.0.1:1"), host("b.1", "10.0.0.2:1")))
	})

	It("confirms a held lease from the copy of the store only as of when the copy was current", func() {
		f := newTestDaemon()
		f.config.Decoder.ConfigurationKey, f.config.Decoder.MemberPrefix = "configuration", "members/"
		g := f.group("g")
		t := now()
		r := lease.Record{Holder: f.selfHolder()}
		item := store.Item{Key: recordKey(g), Value: []byte(`{"holder":{"id":"a","address":""}}`), Revision: 7}
		f.applyUpdate(copyUpdate{items: []store.Item{item}, revision: 7})
		f.confirmFromCopy(g, t)
		Expect(g.MaySendWork(t)).To(BeFalse())
		f.cache.apply(copyUpdate{revision: 7, currentAt: t.Add(-time.Second)}, time.Now())
		f.confirmFromCopy(g, t)
		Expect(g.ConfirmDue(t)).To(BeFalse())
		Expect(g.ConfirmDue(t.Add(lease.ConfirmInterval - time.Second))).To(BeTrue())
		at := g.confirmedAt
		Expect(at).To(Equal(t.Add(-time.Second)))

		By("not once another record is known")
		r.Epoch, r.Holder.ID = 2, "b"
		f.applyRecord(store.Item{Key: recordKey(g), Value: []byte(`{"holder":{"id":"b"},"epoch":2}`), Revision: 8}, time.Time{})
		f.cache.apply(copyUpdate{revision: 7, currentAt: t}, time.Now())
		f.confirmFromCopy(g, t)
		Expect(g.confirmedAt).To(Equal(at))
	})
})
