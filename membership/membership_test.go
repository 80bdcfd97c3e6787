package membership_test

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
)

const seed = "6"

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatal(err)
	}
	t.Log("rapid seed", seed)
	RunSpecs(t, "membership")
}

func host(n int) membership.Host {
	return membership.Host{ID: fmt.Sprintf("h%02d", n), Region: "west", FailureDomain: fmt.Sprintf("west-%d", n%3)}
}

func hosts(n int) []membership.Host {
	var o []membership.Host
	for i := range n {
		o = append(o, host(i))
	}
	return o
}

func members(n int) []bundle.Member {
	var o []bundle.Member
	for i := range n {
		o = append(o, bundle.Member{Name: fmt.Sprintf("m%02d", i), Region: "west", FailureDomain: fmt.Sprintf("west-%d", i%3)})
	}
	return o
}

var start = time.Unix(1000, 0)

func newView(h []membership.Host) *membership.View {
	v := membership.New(h[0])
	v.Handle(membership.ListReceived{Hosts: h}, start)
	return v
}

var _ = Describe("the owner of a backend server", func() {
	It("changes only for the servers of a host that drains", func() {
		moved, all := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := hosts(rapid.IntRange(4, 12).Draw(t, "hosts"))
			k := rapid.IntRange(1, len(h)-1).Draw(t, "draining host")
			v, w := newView(h), newView(h)
			w.Handle(membership.DrainAnnounced{ID: h[k].ID}, start)
			for _, m := range members(30) {
				a, _ := v.Owner(&m, start)
				b, ok := w.Owner(&m, start)
				if !ok || b.ID == h[k].ID || a.ID != h[k].ID && a != b {
					t.Fatalf("%s moved from %s to %s when %s drained", m.Name, a.ID, b.ID, h[k].ID)
				}
				all++
				if a != b {
					moved++
				}
			}
		})
		GinkgoWriter.Printf("seed %s: %d of %d owners moved\n", seed, moved, all)
	})

	It("stays in the failure domain while it has a live host, else in the region", func() {
		v := newView(hosts(6))
		m := members(2)[1]
		h, _ := v.Owner(&m, start)
		Expect(h.FailureDomain).To(Equal("west-1"))
		v.Handle(membership.LinkFailed{ID: "h01"}, start)
		v.Handle(membership.LinkFailed{ID: "h04"}, start)
		h, _ = v.Owner(&m, start)
		Expect(h.FailureDomain).NotTo(Equal("west-1"))
		h, _ = v.Owner(&m, start.Add(membership.SuspectTime))
		Expect(h.FailureDomain).To(Equal("west-1"))
	})

	It("is the same from the cache as from a new view that handles the same events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v, now := newView(hosts(6)), start
			var past []func(*membership.View)
			for range rapid.IntRange(1, 30).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				e, at := drawEvent(t), now
				past = append(past, func(w *membership.View) { w.Handle(e, at) })
				v.Handle(e, now)
				w := newView(hosts(6))
				for _, f := range past {
					f(w)
				}
				for _, m := range members(6) {
					a, _ := v.Owner(&m, now)
					b, _ := w.Owner(&m, now)
					if a != b {
						t.Fatalf("owner of %s is %s in the cache, %s in a new view", m.Name, a.ID, b.ID)
					}
				}
			}
		})
	})
})

func drawEvent(t *rapid.T) membership.Event {
	h := host(rapid.IntRange(0, 8).Draw(t, "host"))
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		return membership.ListReceived{Hosts: hosts(rapid.IntRange(0, 9).Draw(t, "length"))}
	case 1:
		return membership.HostDiscovered{Host: h, Direct: rapid.Bool().Draw(t, "direct")}
	case 2:
		return membership.LinkFailed{ID: h.ID}
	case 3:
		return membership.HostAnswered{ID: h.ID}
	default:
		return membership.DrainAnnounced{ID: h.ID}
	}
}

var _ = Describe("a view", func() {
	It("always contains its own host as live unless that drains", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v, now, drains := newView(hosts(6)), start, false
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second)
				e := drawEvent(t)
				if x, ok := e.(membership.DrainAnnounced); ok && x.ID == "h00" {
					drains = true
				}
				v.Handle(e, now)
				l := v.Live(now)
				if !drains && (len(l) == 0 || l[0].ID != "h00") {
					t.Fatalf("own host isn't live: %v", l)
				}
			}
		})
	})

	It("ignores an empty list, and keeps live hosts that a list omits until they stop answering", func() {
		v := newView(hosts(6))
		v.Handle(membership.ListReceived{}, start)
		Expect(v.Live(start)).To(HaveLen(6))
		v.Handle(membership.ListReceived{Hosts: hosts(2)}, start)
		Expect(v.Live(start)).To(HaveLen(6))
		v.Handle(membership.LinkFailed{ID: "h05"}, start)
		Expect(v.Live(start.Add(time.Minute))).To(HaveLen(5))
		later := start.Add(membership.DelistedTime + time.Second)
		v.Handle(membership.HostAnswered{ID: "h04"}, start.Add(time.Minute))
		v.Handle(membership.ListReceived{Hosts: hosts(2)}, later)
		Expect(v.Live(later)).To(HaveLen(3))
	})

	It("ignores indirect reports of an evicted host until the host itself calls", func() {
		v := membership.New(host(0))
		v.Handle(membership.HostDiscovered{Host: host(7)}, start)
		Expect(v.UnlistedHosts(start)).To(HaveLen(2))
		for range 4 {
			v.Handle(membership.LinkFailed{ID: "h07"}, start)
		}
		Expect(v.Handle(membership.HostDiscovered{Host: host(7)}, start)).To(BeFalse())
		Expect(v.Handle(membership.HostDiscovered{Host: host(7), Direct: true}, start)).To(BeTrue())
	})

	It("keeps a host draining for the time in its notice, although the list contains the host", func() {
		v := newView(hosts(3))
		v.Handle(membership.DrainAnnounced{ID: "h01", Remaining: 10 * time.Second}, start)
		v.Handle(membership.ListReceived{Hosts: hosts(3)}, start)
		Expect(v.Live(start.Add(9 * time.Second))).To(HaveLen(2))
		Expect(v.Live(start.Add(11 * time.Second))).To(HaveLen(3))
	})
})

var _ = Describe("ownership", func() {
	It("follows the hosts' weights, and moves only the servers of a host that leaves", func() {
		var l []membership.Host
		for i := range 12 {
			h := membership.Host{ID: "w" + strconv.Itoa(i), Region: "r", FailureDomain: "d"}
			if i < 2 {
				h.Weight = 4
			}
			l = append(l, h)
		}
		t := time.Unix(1000, 0)
		owners := func(l []membership.Host) map[string]string {
			v := membership.New(l[0])
			v.Handle(membership.ListReceived{Hosts: l}, t)
			o := map[string]string{}
			for i := range 9000 {
				m := bundle.Member{Name: "s" + strconv.Itoa(i), Region: "r", FailureDomain: "d"}
				h, ok := v.Owner(&m, t)
				Expect(ok).To(BeTrue())
				o[m.Name] = h.ID
			}
			return o
		}
		before, count := owners(l), map[string]int{}
		for _, h := range before {
			count[h]++
		}
		for i, h := range l {
			want := 500.0
			if i < 2 {
				want = 2000
			}
			Expect(count[h.ID]).To(BeNumerically("~", want, want/5), h.ID)
		}
		for s, h := range owners(l[:11]) {
			if before[s] != "w11" {
				Expect(h).To(Equal(before[s]))
			}
		}
	})
})

var _ = Describe("a host that was never listed", func() {
	It("is forgotten once its time has passed, also if nobody asked for the hosts meanwhile", func() {
		v := newView(hosts(3))
		v.Handle(membership.HostDiscovered{Host: host(9)}, start)
		after := start.Add(membership.NeverListedTime + time.Second)
		v.Handle(membership.HostAnswered{ID: host(9).ID}, after)
		_, ok := v.Host(host(9).ID)
		Expect(ok).To(BeFalse())
	})
})
