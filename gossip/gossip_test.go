package gossip_test

import (
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
)

const seed = "6"

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", "50"); err != nil {
		t.Fatal(err)
	}
	t.Log("rapid seed", seed)
	RunSpecs(t, "gossip")
}

func fleet(n, domains int) []membership.Host {
	l := make([]membership.Host, n)
	for i := range l {
		d := i % domains
		l[i] = membership.Host{ID: "host-" + strconv.Itoa(i), Region: "r" + strconv.Itoa(d%2), FailureDomain: "d" + strconv.Itoa(d)}
	}
	return l
}

var _ = Describe("watchers", func() {
	DescribeTable("are WatchersPerDomain in each failure domain, in a fleet of any size", func(n, domains int) {
		l := fleet(n, domains)
		w := map[string]int{}
		for _, h := range l {
			if gossip.ShouldWatch(h, l, gossip.Silence{}) {
				w[h.FailureDomain]++
			}
		}
		Expect(w).To(HaveLen(domains))
		for _, k := range w {
			Expect(k).To(Equal(gossip.WatchersPerDomain))
		}
	}, Entry("9", 9, 3), Entry("50", 50, 3), Entry("5000", 5000, 7))

	It("increase in number while none is observed, until all daemons watch", func() {
		l := fleet(200, 2)
		before := 0
		for s := gossip.WatcherTimeout; s < 2*time.Minute; s += 5 * time.Second {
			k := 0
			for _, h := range l {
				if gossip.ShouldWatch(h, l, gossip.Silence{Watcher: s}) {
					k++
				}
			}
			Expect(k).To(BeNumerically(">=", before))
			before = k
		}
		Expect(before).To(Equal(200))
	})

	It("increase in number up to a limit while the platform answers none of them", func() {
		l := fleet(200, 2)
		count := func(s time.Duration) int {
			k := 0
			for _, h := range l {
				if gossip.ShouldWatch(h, l, gossip.Silence{Platform: s}) {
					k++
				}
			}
			return k
		}
		Expect(count(gossip.PlatformTimeout)).To(Equal(2 * gossip.WatchersPerDomain))
		Expect(count(gossip.PlatformTimeout + time.Second)).To(Equal(4 * gossip.WatchersPerDomain))
		Expect(count(time.Hour)).To(Equal(2 * gossip.MaxPlatformWatchers))
	})

	It("and other hosts renew their registration less often in a larger fleet, so that the call rate grows more slowly than the fleet", func() {
		rate := func(n int) float64 { return float64(n) / gossip.RenewInterval(n).Minutes() }
		Expect(rate(5000) / rate(50)).To(BeNumerically("<", 11))
		Expect(gossip.SessionTTL(9)).To(Equal(time.Minute))
	})
})

var _ = Describe("neighbors", func() {
	DescribeTable("connect all daemons of a fleet within the given number of hops", func(n, domains, hops int) {
		l := fleet(n, domains)
		links := map[string][]string{}
		for _, h := range l {
			for _, k := range gossip.Neighbors(h, l) {
				links[h.ID] = append(links[h.ID], k.ID)
				links[k.ID] = append(links[k.ID], h.ID)
			}
		}
		seen := map[string]bool{l[0].ID: true}
		frontier := []string{l[0].ID}
		for range hops {
			var next []string
			for _, a := range frontier {
				for _, b := range links[a] {
					if !seen[b] {
						seen[b] = true
						next = append(next, b)
					}
				}
			}
			frontier = next
		}
		Expect(seen).To(HaveLen(n))
	}, Entry("9", 9, 3, 3), Entry("200", 200, 4, 5), Entry("600", 600, 7, 6))

	It("include at most 20 new ones in total when one of 100 hosts is removed", func() {
		l := fleet(100, 4)
		changed := 0
		for _, h := range l[1:] {
			a, b := gossip.Neighbors(h, l), gossip.Neighbors(h, l[1:])
			for _, k := range b {
				if !slices.Contains(a, k) {
					changed++
				}
			}
			Expect(a).To(HaveLen(5))
		}
		Expect(changed).To(BeNumerically("<=", 20))
	})
})

var _ = Describe("a host list", func() {
	It("converges to the platform's list over any path of updates, and its version never decreases", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := fleet(8, 2)
			listed := map[int]bool{0: true}
			index := uint64(1)
			list := func() []membership.Host {
				var o []membership.Host
				for i, h := range l {
					if listed[i] {
						o = append(o, h)
					}
				}
				return o
			}
			r := make([]*gossip.HostList, 4)
			for i := range r {
				r[i] = gossip.NewHostList()
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, 3).Draw(t, "daemon")
				old := r[i].Version()
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					k := rapid.IntRange(1, 7).Draw(t, "host")
					listed[k] = !listed[k]
					index++
				case 1:
					r[i].UpdateFromPlatform(index, list())
				case 2:
					r[i].UpdateFromPlatform(index, nil)
				default:
					r[i].Apply(r[rapid.IntRange(0, 3).Draw(t, "from")].UpdateSince(old))
				}
				if r[i].Version().Before(old) {
					t.Fatalf("version decreased from %v to %v", old, r[i].Version())
				}
			}
			index++
			r[0].UpdateFromPlatform(index, list())
			for i := range r {
				r[i].Apply(r[0].UpdateSince(r[i].Version()))
				if !slices.Equal(r[i].Hosts(), list()) {
					t.Fatalf("daemon %d has hosts %v, want %v", i, r[i].Hosts(), list())
				}
			}
		})
	})

	It("accepts a list with a lower index after the platform's store was restored", func() {
		r, p := gossip.NewHostList(), gossip.NewHostList()
		l := fleet(3, 1)
		Expect(r.UpdateFromPlatform(90, l)).To(BeTrue())
		Expect(p.Apply(r.UpdateSince(p.Version()))).To(BeTrue())
		Expect(r.UpdateFromPlatform(5, l[:2])).To(BeTrue())
		Expect(p.Apply(r.UpdateSince(p.Version()))).To(BeTrue())
		Expect(p.Hosts()).To(Equal(l[:2]))
	})

	It("provides only the difference to a version, or the complete list once tombstones were pruned", func() {
		r := gossip.NewHostList()
		l := fleet(1000, 2)
		r.UpdateFromPlatform(10, l)
		s := r.Version()
		r.UpdateFromPlatform(11, l[1:])
		Expect(r.UpdateSince(s).Entries).To(HaveLen(1))
		r.UpdateFromPlatform(12, l[500:])
		r.UpdateFromPlatform(13, l[501:])
		Expect(r.UpdateSince(s).Complete).To(BeTrue())
		Expect(r.UpdateSince(s).Entries).To(HaveLen(499))
	})
})
