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

func TestTenure(t *testing.T) {
	for n, v := range map[string]string{"rapid.seed": "6", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenure")
}

var start = time.Unix(1e9, 0)

func party(id string) lease.Holder { return lease.Holder{ID: id} }

// held returns a tenure of host a that was confirmed at the given time.
func held(asked time.Time) *lease.Lease {
	t := lease.New(party("a"))
	t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("a")}, Revision: 1, RequestedAt: asked}, asked)
	return t
}

var _ = Describe("Tenure", func() {
	It("lasts for its validity after the question, not the answer", func() {
		t := lease.New(party("a"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("a")}, Revision: 1, RequestedAt: start}, start.Add(5*time.Second))
		Expect(t.Holds(start.Add(lease.Validity - 1))).To(BeTrue())
		Expect(t.Holds(start.Add(lease.Validity))).To(BeFalse())
	})

	It("isn't confirmed by news that came unasked", func() {
		t := held(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("a")}, Revision: 2}, start.Add(5*time.Second))
		Expect(t.Holds(start.Add(lease.Validity))).To(BeFalse())
	})

	It("is lost with the record, but open transactions may end", func() {
		t := held(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("b"), PreviousHolders: []lease.Holder{party("a")}}, Revision: 2}, start)
		Expect(t.Holds(start.Add(1))).To(BeFalse())
		Expect(t.Finishing(start.Add(1))).To(BeTrue())
		t.Handle(lease.Finished{}, start.Add(2))
		Expect(t.Finishing(start.Add(2))).To(BeFalse())
		r, ok := t.Released()
		Expect(ok).To(BeTrue())
		Expect(r.PreviousHolders).To(BeEmpty())
	})

	It("never goes back to an older record", func() {
		t := held(start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("b")}, Revision: 3}, start)
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("a")}, Revision: 2, RequestedAt: start}, start)
		Expect(t.Holds(start)).To(BeFalse())
	})

	It("may replace the primary once an earlier holder has ended, has released or can't hold any more", func() {
		take := func() *lease.Lease {
			t := lease.New(party("b"))
			t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("a")}, Revision: 1}, start)
			r := t.Take()
			Expect(r.PreviousHolders).To(Equal([]lease.Holder{party("a")}))
			t.Handle(lease.RecordObserved{Record: r, Revision: 2, RequestedAt: start}, start)
			Expect(t.Holds(start)).To(BeTrue())
			Expect(t.MayReplace(start)).To(BeFalse())
			return t
		}
		t := take()
		t.Handle(lease.ProcessEnded{ProcessID: "a"}, start)
		Expect(t.MayReplace(start)).To(BeTrue())
		t = take()
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("b"), Epoch: 1}, Revision: 3}, start)
		Expect(t.MayReplace(start)).To(BeTrue())
		t = take()
		n := start.Add(lease.Validity + time.Second)
		r, _, _ := t.Record()
		t.Handle(lease.RecordObserved{Record: r, Revision: 2, RequestedAt: n}, n)
		Expect(t.MayReplace(n)).To(BeFalse())
		Expect(t.MayReplace(n.Add(time.Second))).To(BeTrue())
	})

	It("keeps holders before the one it was taken from", func() {
		t := lease.New(party("c"))
		t.Handle(lease.RecordObserved{Record: lease.Record{Holder: party("b"), PreviousHolders: []lease.Holder{party("a")}}, Revision: 4}, start)
		Expect(t.Take().PreviousHolders).To(Equal([]lease.Holder{party("a"), party("b")}))
	})
})

// world is a fleet with one group, one record and a clock that all share.
type world struct {
	now      time.Time
	record   lease.Record
	revision uint64
	hosts    map[string]*lease.Lease
	ended    map[string]bool
}

func (w *world) swap(h string, r lease.Record, rev uint64, asked time.Time) {
	if rev == w.revision {
		w.record = r
		w.revision++
	}
	w.hosts[h].Handle(lease.RecordObserved{Record: w.record, Revision: w.revision, RequestedAt: asked}, w.now)
}

// step lets one host do one thing.
func (w *world) step(t *rapid.T, names []string) {
	h := rapid.SampledFrom(names).Draw(t, "host")
	k := w.hosts[h]
	if w.ended[h] {
		return
	}
	r, rev, known := k.Record()
	switch rapid.SampledFrom([]string{"wait", "read", "take", "give", "release", "hear", "end", "news", "replace"}).Draw(t, "do") {
	case "wait":
		w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "time")))
	case "read":
		asked := w.now
		w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "answer")))
		// The store answered at the time of the question; others may have written since.
		k.Handle(lease.RecordObserved{Record: w.record, Revision: w.revision, RequestedAt: asked}, w.now)
	case "news":
		k.Handle(lease.RecordObserved{Record: w.record, Revision: w.revision}, w.now)
	case "take":
		if !known || r.Holder.ID != h {
			w.swap(h, k.Take(), rev, w.now)
		}
	case "give":
		if to := rapid.SampledFrom(names).Draw(t, "to"); known && r.Holder.ID == h && to != h && !w.ended[to] {
			w.swap(h, k.Give(party(to), w.now), rev, w.now)
		}
	case "release":
		if known && r.Holder.ID != h {
			k.Handle(lease.Finished{}, w.now)
			if n, ok := k.Released(); ok {
				w.swap(h, n, rev, w.now)
			}
		}
	case "hear":
		for o := range w.ended {
			k.Handle(lease.ProcessEnded{ProcessID: o}, w.now)
		}
	case "replace":
		if k.MayReplace(w.now) {
			w.replace(t, h)
		}
	case "end":
		if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
			w.ended[h] = true
		}
	}
}

// replace writes the intent to replace the primary. Once it stands in the record,
// no other host may be able to send work to the old one.
func (w *world) replace(t *rapid.T, h string) {
	r, rev, _ := w.hosts[h].Record()
	r.Target = "m"
	if rev != w.revision {
		return
	}
	w.swap(h, r, rev, w.now)
	for o, l := range w.hosts {
		if o != h && !w.ended[o] && (l.Holds(w.now) || l.Finishing(w.now)) {
			t.Fatalf("%s replaces the primary while %s may send it work", h, o)
		}
	}
}

var _ = It("never lets a primary be replaced while another host may send it work", func() {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		w := &world{now: start, hosts: map[string]*lease.Lease{}, ended: map[string]bool{}}
		for _, n := range names {
			w.hosts[n] = lease.New(party(n))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t, names)
		}
	})
})
