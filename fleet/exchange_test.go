package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

var _ = Describe("exchange", func() {
	It("counts only the newest record of an address", func() {
		host := func(id, address string) membership.Host { return membership.Host{ID: id, PeerAddress: address} }
		l := runningHosts(map[string]hostRecord{
			"old": {host("a.1", "10.0.0.1:1"), at(4)}, "new": {host("a.2", "10.0.0.1:1"), at(9)}, "other": {host("b.1", "10.0.0.2:1"), at(5)},
		})
		Expect(l).To(ConsistOf(host("a.2", "10.0.0.1:1"), host("b.1", "10.0.0.2:1")))
	})

	It("confirms a held lease from the copy of the store only as of when the copy was current", func() {
		f := newTestDaemon()
		f.config.Decoder.ConfigurationKey, f.config.Decoder.MemberPrefix = "configuration", "members/"
		g := f.group("g")
		t := now()
		r := lease.Record{Holder: f.selfHolder()}
		item := store.Item{Key: recordKey(g), Value: []byte(`{"holder":{"id":"a","address":""}}`), Position: at(7)}
		f.applyUpdate(storecopy.Update{Items: []store.Item{item}, Position: at(7)}, fromStore)
		f.confirmFromCopy(g, t)
		Expect(g.MaySendWork(t)).To(BeFalse())
		f.copy.Apply(storecopy.Update{Position: at(7), CurrentAt: t.Add(-time.Second)}, time.Now())
		f.confirmFromCopy(g, t)
		Expect(g.ConfirmDue(t)).To(BeFalse())
		Expect(g.ConfirmDue(t.Add(lease.ConfirmInterval - time.Second))).To(BeTrue())
		confirmedAt := g.confirmedAt
		Expect(confirmedAt).To(Equal(t.Add(-time.Second)))

		By("not once another record is known")
		r.Epoch, r.Holder.ID = 2, "b"
		f.applyRecord(store.Item{Key: recordKey(g), Value: []byte(`{"holder":{"id":"b"},"epoch":2}`), Position: at(8)}, time.Time{})
		f.copy.Apply(storecopy.Update{Position: at(7), CurrentAt: t}, time.Now())
		f.confirmFromCopy(g, t)
		Expect(g.confirmedAt).To(Equal(confirmedAt))
	})
})
