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
	It("lets a host watch the store once its copy is too old, whatever is pending", func() {
		s := storecopy.Source{}
		o := gossip.Overlay{Upstreams: []membership.Host{{ID: "a"}, {ID: "b"}}, Level: 1}
		Expect(s.ShouldWatch(o, 2300*time.Millisecond)).To(BeFalse())
		Expect(s.ShouldWatch(o, 2300*time.Millisecond+1)).To(BeTrue())
		Expect(s.ShouldWatch(gossip.Overlay{Watches: true}, 0)).To(BeTrue())
	})

	It("asks another upstream once one fails or has a copy that is too old", func() {
		s := storecopy.Source{}
		o := gossip.Overlay{Upstreams: []membership.Host{{ID: "a"}, {ID: "b"}}, Level: 1}
		next := func() string {
			u, _ := s.Upstream(o)
			return u.ID
		}
		s.UpstreamAnswered(o, 1800*time.Millisecond)
		Expect(next()).To(Equal("a"))
		s.UpstreamAnswered(o, 1800*time.Millisecond+1)
		Expect(next()).To(Equal("b"))
		s.UpstreamFailed()
		Expect(next()).To(Equal("a"))
	})
})

// The bounds are those within which a changed configuration must be in force on the
// platform's sites of each size.
var _ = Describe("a change of the store", func() {
	DescribeTable("reaches every host that reaches the store in time although all watchers have just lost it", func(n, domains int, bound time.Duration, seeds uint64) {
		for seed := range seeds {
			w := newSimulation(seed, n, domains)
			start := 2*time.Second + w.below(time.Second)
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

	DescribeTable("reaches all hosts within 5 s of the end of an outage in which no call was answered", func(n, domains int, seeds uint64) {
		for seed := range seeds {
			w := newSimulation(seed, n, domains)
			start := 3*time.Second + w.below(2*time.Second)
			end := start + time.Second + w.below(9*time.Second)
			w.silent = func(_ membership.Host, t time.Time) bool {
				d := t.Sub(time.Unix(1000, 0))
				return d >= start && d < end
			}
			w.run(end)
			w.change()
			w.run(end + 5*time.Second)
			for _, h := range w.hosts {
				Expect(h.revision).To(Equal(1), fmt.Sprintf("seed %d: host %s", seed, h.host.ID))
			}
		}
	},
		Entry("9 hosts", 9, 3, uint64(500)), Entry("18 hosts", 18, 6, uint64(200)), Entry("195 hosts", 195, 6, uint64(5)),
	)

	DescribeTable("costs no calls to the store but those of the watchers of each region", func(n, domains int, seeds uint64) {
		for seed := range seeds {
			w := newSimulation(seed, n, domains)
			w.run(5 * time.Second)
			w.change()
			w.run(20 * time.Second)
			// Each of the four watchers waits at least WatchPollTime unless there is a change.
			Expect(w.watches).To(BeNumerically("<=", 4*(20*time.Second/storecopy.WatchPollTime+2)))
		}
	},
		Entry("9 hosts", 9, 3, uint64(20)), Entry("18 hosts", 18, 6, uint64(10)), Entry("195 hosts", 195, 6, uint64(1)), Entry("1000 hosts", 1000, 6, uint64(1)),
	)
})
