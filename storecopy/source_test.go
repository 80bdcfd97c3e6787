package storecopy_test

import (
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
