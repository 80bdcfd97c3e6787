package lease_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/store"
)

func TestLease(t *testing.T) {
	for n, v := range map[string]string{"rapid.seed": "6", "rapid.checks": "5000", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var start = time.Unix(1e9, 0)

func at(revision uint64) store.Position { return store.Position{Revision: revision} }

func holder(id string) lease.Holder { return lease.Holder{ID: id} }

// confirmedLease returns the lease of host a, which holds it by a record requested
// at the given time.
func confirmedLease(requestedAt time.Time) *lease.Lease {
	t := lease.New(holder("a"))
	t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Position: at(1), RequestedAt: requestedAt}, requestedAt)
	return t
}

var _ = Describe("A lease", func() {
	It("lasts for Validity from the request for the record, not from the reply", func() {
		t := lease.New(holder("a"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Position: at(1), RequestedAt: start}, start.Add(5*time.Second))
		Expect(t.Holds(start.Add(lease.Validity - 1))).To(BeTrue())
		Expect(t.Holds(start.Add(lease.Validity))).To(BeFalse())
	})

	It("isn't extended by an update that wasn't requested", func() {
		t := confirmedLease(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Position: at(2)}, start.Add(5*time.Second))
		Expect(t.Holds(start.Add(lease.Validity))).To(BeFalse())
	})

	It("ends when the record names another holder, but open transactions may finish", func() {
		t := confirmedLease(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), PreviousHolders: []lease.Holder{holder("a")}}, Position: at(2)}, start)
		Expect(t.Holds(start.Add(1))).To(BeFalse())
		Expect(t.MayFinishTransactions(start.Add(1))).To(BeTrue())
		t.Handle(lease.WorkFinished{}, start.Add(2))
		Expect(t.MayFinishTransactions(start.Add(2))).To(BeFalse())
		r, ok := t.ReleaseRecord(start)
		Expect(ok).To(BeTrue())
		Expect(r.PreviousHolders).To(BeEmpty())
	})

	It("ignores an older record", func() {
		t := confirmedLease(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b")}, Position: at(3)}, start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Position: at(2), RequestedAt: start}, start)
		Expect(t.Holds(start)).To(BeFalse())
	})

	It("permits replacing the primary once the previous holder has ended, has released the lease or its lease has expired", func() {
		take := func() *lease.Lease {
			t := lease.New(holder("b"))
			t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Position: at(1)}, start)
			r := t.AcquireRecord(start)
			Expect(r.PreviousHolders).To(Equal([]lease.Holder{holder("a")}))
			t.Handle(lease.RecordObserved{Record: r, Position: at(2), RequestedAt: start}, start)
			Expect(t.Holds(start)).To(BeTrue())
			Expect(t.MayReplacePrimary(start)).To(BeFalse())
			return t
		}
		t := take()
		t.Handle(lease.ProcessEnded{ProcessID: "a"}, start)
		Expect(t.MayReplacePrimary(start)).To(BeTrue())
		t = take()
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), Epoch: 1}, Position: at(3)}, start)
		Expect(t.MayReplacePrimary(start)).To(BeTrue())
		t = take()
		n := start.Add(lease.Validity + time.Second)
		r, _ := t.Record()
		t.Handle(lease.RecordObserved{Record: r, Position: at(2), RequestedAt: n}, n)
		Expect(t.MayReplacePrimary(n)).To(BeFalse())
		Expect(t.MayReplacePrimary(n.Add(time.Second))).To(BeTrue())
	})

	It("waits for a holder from when this host first saw another one, however often the lease has changed hands since", func() {
		t := lease.New(holder("d"))
		observe := func(revision uint64, r lease.Record, n time.Time) {
			t.Handle(lease.RecordObserved{Record: r, Position: at(revision), RequestedAt: n}, n)
		}
		observe(1, lease.Record{Holder: holder("a"), Epoch: 1}, start)
		replaced := start.Add(3 * time.Second)
		observe(2, lease.Record{Holder: holder("b"), Epoch: 2, PreviousHolders: []lease.Holder{holder("a")}}, replaced)
		n := start.Add(11 * time.Second)
		observe(3, t.AcquireRecord(n), n)
		t.Handle(lease.ProcessEnded{ProcessID: "b"}, n)
		Expect(t.UnfinishedHolders(n)).To(Equal([]lease.Holder{holder("a")}))
		Expect(t.MayReplacePrimary(replaced.Add(lease.Validity))).To(BeFalse())
		Expect(t.MayReplacePrimary(replaced.Add(lease.Validity + 1500*time.Millisecond))).To(BeTrue())
	})

	It("doesn't count from before a record that it hasn't seen", func() {
		t := lease.New(holder("d"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), Epoch: 2, PreviousHolders: []lease.Holder{holder("a")}}, Position: at(2)}, start)
		n := start.Add(11 * time.Second)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("d"), Epoch: 5, PreviousHolders: []lease.Holder{holder("a"), holder("b")}}, Position: at(5), RequestedAt: n}, n)
		Expect(t.UnfinishedHolders(n)).To(HaveLen(2))
		Expect(t.UnfinishedHolders(n.Add(lease.Validity))).To(HaveLen(2))
	})

	It("keeps the previous holders in the record when another host takes it over", func() {
		t := lease.New(holder("c"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), PreviousHolders: []lease.Holder{holder("a")}}, Position: at(4)}, start)
		Expect(t.AcquireRecord(start).PreviousHolders).To(Equal([]lease.Holder{holder("a"), holder("b")}))
	})
})
