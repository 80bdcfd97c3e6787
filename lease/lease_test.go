package lease_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/lease"
)

func TestLease(t *testing.T) {
	for n, v := range map[string]string{"rapid.seed": "6", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

var start = time.Unix(1e9, 0)

func holder(id string) lease.Holder { return lease.Holder{ID: id} }

// confirmedLease returns the lease of host a, which holds it by a record requested
// at the given time.
func confirmedLease(requestedAt time.Time) *lease.Lease {
	t := lease.New(holder("a"))
	t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Revision: 1, RequestedAt: requestedAt}, requestedAt)
	return t
}

var _ = Describe("A lease", func() {
	It("lasts for Validity from the request for the record, not from the reply", func() {
		t := lease.New(holder("a"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Revision: 1, RequestedAt: start}, start.Add(5*time.Second))
		Expect(t.Holds(start.Add(lease.Validity - 1))).To(BeTrue())
		Expect(t.Holds(start.Add(lease.Validity))).To(BeFalse())
	})

	It("isn't extended by an update that wasn't requested", func() {
		t := confirmedLease(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Revision: 2}, start.Add(5*time.Second))
		Expect(t.Holds(start.Add(lease.Validity))).To(BeFalse())
	})

	It("ends when the record names another holder, but open transactions may finish", func() {
		t := confirmedLease(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), PreviousHolders: []lease.Holder{holder("a")}}, Revision: 2}, start)
		Expect(t.Holds(start.Add(1))).To(BeFalse())
		Expect(t.MayFinishTransactions(start.Add(1))).To(BeTrue())
		t.Handle(lease.WorkFinished{}, start.Add(2))
		Expect(t.MayFinishTransactions(start.Add(2))).To(BeFalse())
		r, ok := t.ReleaseRecord()
		Expect(ok).To(BeTrue())
		Expect(r.PreviousHolders).To(BeEmpty())
	})

	It("ignores an older record", func() {
		t := confirmedLease(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b")}, Revision: 3}, start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Revision: 2, RequestedAt: start}, start)
		Expect(t.Holds(start)).To(BeFalse())
	})

	It("permits replacing the primary once the previous holder has ended, has released the lease or its lease has expired", func() {
		take := func() *lease.Lease {
			t := lease.New(holder("b"))
			t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("a")}, Revision: 1}, start)
			r := t.AcquireRecord()
			Expect(r.PreviousHolders).To(Equal([]lease.Holder{holder("a")}))
			t.Handle(lease.RecordObserved{Record: r, Revision: 2, RequestedAt: start}, start)
			Expect(t.Holds(start)).To(BeTrue())
			Expect(t.MayReplacePrimary(start)).To(BeFalse())
			return t
		}
		t := take()
		t.Handle(lease.ProcessEnded{ProcessID: "a"}, start)
		Expect(t.MayReplacePrimary(start)).To(BeTrue())
		t = take()
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), Epoch: 1}, Revision: 3}, start)
		Expect(t.MayReplacePrimary(start)).To(BeTrue())
		t = take()
		n := start.Add(lease.Validity + time.Second)
		r, _, _ := t.Record()
		t.Handle(lease.RecordObserved{Record: r, Revision: 2, RequestedAt: n}, n)
		Expect(t.MayReplacePrimary(n)).To(BeFalse())
		Expect(t.MayReplacePrimary(n.Add(time.Second))).To(BeTrue())
	})

	It("keeps the previous holders in the record when another host takes it over", func() {
		t := lease.New(holder("c"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: holder("b"), PreviousHolders: []lease.Holder{holder("a")}}, Revision: 4}, start)
		Expect(t.AcquireRecord().PreviousHolders).To(Equal([]lease.Holder{holder("a"), holder("b")}))
	})
})

// simulation is a fleet of hosts with a common clock, and the record of one group in
// the store.
type simulation struct {
	now      time.Time
	record   lease.Record
	revision uint64
	hosts    map[string]*lease.Lease
	ended    map[string]bool
}

func (w *simulation) compareAndSwap(h string, r lease.Record, rev uint64, requestedAt time.Time) {
	if rev == w.revision {
		w.record = r
		w.revision++
	}
	w.hosts[h].Handle(lease.RecordObserved{Record: w.record, Revision: w.revision, RequestedAt: requestedAt}, w.now)
}

// step runs one random step of one random host.
func (w *simulation) step(t *rapid.T, names []string) {
	h := rapid.SampledFrom(names).Draw(t, "host")
	k := w.hosts[h]
	if w.ended[h] {
		return
	}
	r, rev, known := k.Record()
	switch rapid.SampledFrom([]string{"wait", "read", "take over", "transfer", "release", "observe ends", "end", "update", "replace"}).Draw(t, "action") {
	case "wait":
		w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "time")))
	case "read":
		requestedAt := w.now
		w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "reply delay")))
		// The reply is handled up to 3 s after the request.
		k.Handle(lease.RecordObserved{Record: w.record, Revision: w.revision, RequestedAt: requestedAt}, w.now)
	case "update":
		k.Handle(lease.RecordObserved{Record: w.record, Revision: w.revision}, w.now)
	case "take over":
		if !known || r.Holder.ID != h {
			w.compareAndSwap(h, k.AcquireRecord(), rev, w.now)
		}
	case "transfer":
		if to := rapid.SampledFrom(names).Draw(t, "to"); known && r.Holder.ID == h && to != h && !w.ended[to] {
			w.compareAndSwap(h, k.TransferRecord(holder(to), w.now), rev, w.now)
		}
	case "release":
		if known && r.Holder.ID != h {
			k.Handle(lease.WorkFinished{}, w.now)
			if n, ok := k.ReleaseRecord(); ok {
				w.compareAndSwap(h, n, rev, w.now)
			}
		}
	case "observe ends":
		for o := range w.ended {
			k.Handle(lease.ProcessEnded{ProcessID: o}, w.now)
		}
	case "replace":
		if k.MayReplacePrimary(w.now) {
			w.replace(t, h)
		}
	case "end":
		if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
			w.ended[h] = true
		}
	}
}

// replace writes the intent to replace the primary, and checks that no other host
// may send work to the old primary once the intent is in the record.
func (w *simulation) replace(t *rapid.T, h string) {
	r, rev, _ := w.hosts[h].Record()
	r.Target = "m"
	if rev != w.revision {
		return
	}
	w.compareAndSwap(h, r, rev, w.now)
	for o, l := range w.hosts {
		if o != h && !w.ended[o] && (l.Holds(w.now) || l.MayFinishTransactions(w.now)) {
			t.Fatalf("%s replaces the primary while %s may send it work", h, o)
		}
	}
}

var _ = It("prevents the replacement of a primary while another host may send work to it", func() {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		w := &simulation{now: start, hosts: map[string]*lease.Lease{}, ended: map[string]bool{}}
		for _, n := range names {
			w.hosts[n] = lease.New(holder(n))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t, names)
		}
	})
})
