package gossip_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
)

// spread simulates, in rounds of exchanges, how a change of the store that only
// the reachable watchers learn reaches the other hosts. It returns the rounds
// until the given share of the hosts has it.
func spread(l []membership.Host, overlays map[string]gossip.Overlay, down func(membership.Host) bool, share float64) int {
	r := rand.New(rand.NewPCG(1, 1))
	has := map[string]bool{}
	for _, h := range l {
		has[h.ID] = overlays[h.ID].Watches && !down(h)
	}
	for n := 0; ; n++ {
		k, next := 0, map[string]bool{}
		for _, h := range l {
			o := overlays[h.ID]
			next[h.ID] = has[h.ID]
			if has[h.ID] {
				k++
			}
			for _, p := range [][]membership.Host{o.Upstreams, o.Neighbors} {
				if len(p) > 0 && has[p[r.IntN(len(p))].ID] {
					next[h.ID] = true
				}
			}
		}
		if float64(k) >= share*float64(len(l)) || n > 1000 {
			return n
		}
		has = next
	}
}

func overlays(l []membership.Host) map[string]gossip.Overlay {
	o := map[string]gossip.Overlay{}
	for _, h := range l {
		o[h.ID] = gossip.NewOverlay(h, l)
	}
	return o
}

var _ = Describe("overlay", func() {
	nobody := func(membership.Host) bool { return false }

	DescribeTable("bounds a host's links, the watchers and the time of a change", func(n, domains, rounds int) {
		l := fleet(n, domains)
		o := overlays(l)
		watchers, watched, fetchers := map[string]int{}, map[string]bool{}, map[string]int{}
		for _, h := range l {
			if o[h.ID].Watches {
				watchers[h.Region]++
				watched[h.FailureDomain] = true
			} else {
				Expect(o[h.ID].Upstreams).NotTo(BeEmpty())
			}
			Expect(len(o[h.ID].Upstreams) + len(o[h.ID].Neighbors)).To(BeNumerically("<=", 7))
			for _, u := range o[h.ID].Upstreams {
				Expect(u.ID).NotTo(Equal(h.ID))
				Expect(u.Region).To(Equal(h.Region))
				fetchers[u.ID]++
			}
		}
		for _, k := range watchers {
			Expect(k).To(Equal(2))
		}
		Expect(len(watched)).To(Equal(min(domains, 4)), "watchers of a region are in different failure domains")
		for id, k := range fetchers {
			Expect(k).To(BeNumerically("<=", 24), id)
		}
		Expect(spread(l, o, nobody, 1)).To(BeNumerically("<=", rounds))
	},
		Entry("9 hosts", 9, 4, 3), Entry("18 hosts", 18, 6, 3), Entry("195 hosts", 195, 6, 8), Entry("4974 hosts", 4974, 6, 12),
	)

	It("carries changes although the watchers of one region don't reach the store", func() {
		for _, n := range []int{18, 195} {
			l := fleet(n, 6)
			o := overlays(l)
			Expect(spread(l, o, func(h membership.Host) bool { return h.Region == "r0" }, 1)).To(BeNumerically("<=", 14))
		}
	})

	It("changes few links when a host leaves", func() {
		l := fleet(195, 6)
		before, after := overlays(l), overlays(l[1:])
		changed := 0
		for _, h := range l[1:] {
			for i, u := range before[h.ID].Upstreams {
				if len(after[h.ID].Upstreams) <= i || after[h.ID].Upstreams[i].ID != u.ID {
					changed++
				}
			}
		}
		Expect(changed).To(BeNumerically("<=", 2*len(l)/6+8), strconv.Itoa(changed))
	})

	It("contains a host that isn't live itself", func() {
		l := fleet(18, 6)
		Expect(gossip.NewOverlay(l[0], l[1:]).Neighbors).NotTo(BeEmpty())
		Expect(gossip.NewOverlay(l[0], nil)).To(Equal(gossip.Overlay{Watches: true}))
	})
})

// TakeoverAllowed is decided from the hosts of the overlay: these specs play it.
var _ = Describe("a takeover from a silent host", func() {
	const rounds = 5
	// wrong returns the share of the hosts that would take over from another host
	// if a share of all hosts, the holder included, is cut off from them.
	wrong := func(n int, cutOff float64) float64 {
		l := fleet(n, 6)
		r := rand.New(rand.NewPCG(2, 2))
		start := time.Unix(1000, 0)
		allowed, tries := 0, 0
		for _, self := range l[:min(n, 100)] {
			silent := map[string]bool{}
			for _, h := range l {
				silent[h.ID] = h.ID != self.ID && r.Float64() < cutOff
			}
			holder := l[(n+len(self.ID)*37)%n]
			if holder.ID == self.ID {
				continue
			}
			silent[holder.ID] = true
			v := membership.New(self)
			v.Handle(membership.ListReceived{Hosts: l}, start)
			v.Handle(membership.HostAnswered{ID: holder.ID}, start)
			o := gossip.NewOverlay(self, l)
			t := start
			for range rounds {
				t = t.Add(300 * time.Millisecond)
				for _, h := range append(o.Upstreams, o.Neighbors...) {
					if silent[h.ID] {
						v.Handle(membership.LinkFailed{ID: h.ID}, t)
					} else {
						v.Handle(membership.HostAnswered{ID: h.ID}, t)
					}
				}
			}
			v.Handle(membership.LinkFailed{ID: holder.ID}, t)
			tries++
			if v.TakeoverAllowed(holder.ID, t) {
				allowed++
			}
		}
		return float64(allowed) / float64(tries)
	}

	DescribeTable("is allowed to the majority and not to a few hosts that are cut off", func(n int) {
		Expect(wrong(n, 0)).To(BeEquivalentTo(1))
		Expect(wrong(n, 0.1)).To(BeNumerically(">=", 0.9))
		Expect(wrong(n, 0.9)).To(BeNumerically("<=", 0.05))
		Expect(wrong(n, 1)).To(BeZero())
	}, Entry("18 hosts", 18), Entry("195 hosts", 195), Entry("5000 hosts", 5000))

	It("is allowed at once from a process that has ended, however many other hosts are silent", func() {
		l := fleet(9, 3)
		v := membership.New(l[0])
		t := time.Unix(1000, 0)
		v.Handle(membership.ListReceived{Hosts: l}, t)
		for _, h := range l[2:] {
			v.Handle(membership.LinkFailed{ID: h.ID}, t)
		}
		v.Handle(membership.LinkFailed{ID: l[1].ID, Ended: true}, t)
		Expect(v.TakeoverAllowed(l[1].ID, t)).To(BeTrue())
		Expect(v.TakeoverAllowed(l[2].ID, t)).To(BeFalse())
	})
})

var _ = Describe("successors", func() {
	It("are the owners one after the other as each fails", func() {
		l := fleet(60, 6)
		v := membership.New(l[0])
		t := time.Unix(1000, 0)
		v.Handle(membership.ListReceived{Hosts: l}, t)
		m := &bundle.Member{Name: "m", Region: "r1", FailureDomain: "d1"}
		o := v.Successors(m, 3, t)
		Expect(o).To(HaveLen(3))
		for _, h := range o {
			w, ok := v.Owner(m, t)
			Expect(ok).To(BeTrue())
			Expect(w).To(Equal(h))
			v.Handle(membership.LinkFailed{ID: h.ID}, t)
		}
	})
})
