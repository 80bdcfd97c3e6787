package storecopy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

func TestStorecopy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storecopy")
}

var _ = Describe("source", func() {
	It("lets a host watch the store once none of its upstreams is up to date", func() {
		t := time.Now()
		s := storecopy.NewSource(t)
		o := gossip.Overlay{Upstreams: []membership.Host{{ID: "a"}, {ID: "b"}}}
		Expect(s.ShouldWatch(o, 0, t.Add(3*storecopy.ExchangeInterval))).To(BeFalse())
		Expect(s.ShouldWatch(gossip.Overlay{Watches: true}, 0, t)).To(BeTrue())
		s.UpstreamAsked(false, t.Add(time.Second))
		u, _ := s.Upstream(o)
		Expect(u.ID).To(Equal("b"))
		Expect(s.ShouldWatch(o, time.Second, t.Add(time.Second))).To(BeTrue())
		Expect(s.IsStale(o, time.Second, t.Add(time.Second))).To(BeTrue())
		s.WatchEnded(true)
		Expect(s.IsStale(o, 0, t.Add(time.Second))).To(BeFalse())
		s.UpstreamAsked(true, t.Add(time.Second))
		Expect(s.ShouldWatch(o, 0, t.Add(time.Second))).To(BeFalse())
	})
})

// The bounds are those within which a changed configuration must be in force on the
// platform's sites of each size.
var _ = Describe("a change of the store", func() {
	DescribeTable("reaches every host that reaches the store in time although all watchers have just lost it", func(n, domains int, bound time.Duration, seeds uint64) {
		for seed := range seeds {
			w := newSimulation(seed, n, domains)
			start := 3*time.Second + w.below(2*time.Second)
			w.run(start)
			cut := map[string]bool{}
			var left []string
			share := w.random.IntN(5)
			for _, h := range w.list {
				cut[h.ID] = w.hosts[h.ID].overlay.Watches || w.random.IntN(5) <= share
				if !cut[h.ID] {
					left = append(left, h.ID)
				}
			}
			w.silent = func(h membership.Host, _ time.Time) bool { return cut[h.ID] }
			w.run(start + 20*time.Millisecond)
			w.change()
			w.run(start + bound + 20*time.Millisecond)
			late := slices.DeleteFunc(left, func(id string) bool { return w.hosts[id].revision == 1 })
			Expect(late).To(BeEmpty(), fmt.Sprintf("seed %d: %d hosts reach the store", seed, len(left)))
		}
	},
		Entry("9 hosts", 9, 3, 4*time.Second, uint64(4000)),
		Entry("18 hosts", 18, 6, 4*time.Second, uint64(2000)),
		Entry("86 hosts", 86, 6, 6*time.Second, uint64(40)),
		Entry("195 hosts", 195, 6, 8*time.Second, uint64(10)),
	)
})
