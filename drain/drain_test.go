package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var start = time.Unix(1e9, 0)

const limit = 6 * time.Second

var _ = Describe("A draining server", func() {
	var n *drain.Notices
	BeforeEach(func() { n = drain.New(limit) })
	draining := func(after time.Time) drain.Observed {
		return drain.Observed{Server: "m", Draining: true, Known: true, After: after}
	}

	DescribeTable("gets new work until the limit after the time at which it was last known not to drain",
		func(after time.Time, first time.Duration) {
			n.Observe(draining(after), start)
			Expect(n.MayStart("m", start.Add(first-1))).To(BeTrue())
			Expect(n.MayStart("m", start.Add(first))).To(BeFalse())
			Expect(n.MayStart("o", start.Add(first))).To(BeTrue())
		},
		Entry("if it was known a short time before", start.Add(-time.Second), limit-time.Second),
		Entry("if that time isn't known", time.Time{}, limit-drain.MaxNoticeDelay),
		Entry("if it was known so long before that the notice can't have been under way since", start.Add(-time.Minute), limit-drain.MaxNoticeDelay),
	)

	It("gets no new work from a daemon that hasn't known it before", func() {
		n.Observe(drain.Observed{Server: "m", Draining: true}, start)
		Expect(n.MayStart("m", start)).To(BeFalse())
	})

	It("doesn't get new work for longer because it is reported again, or was unlisted meanwhile", func() {
		n.Observe(draining(start), start)
		n.Observe(draining(start.Add(time.Second)), start.Add(time.Second))
		n.Unlist("m", start.Add(2*time.Second))
		n.Observe(draining(start.Add(3*time.Second)), start.Add(3*time.Second))
		Expect(n.MayStart("m", start.Add(limit))).To(BeFalse())
		d, ok := n.Age("m", start.Add(limit))
		Expect(ok).To(BeTrue())
		Expect(d).To(Equal(limit))
	})

	It("gets new work again if it doesn't drain any more", func() {
		n.Observe(draining(start), start)
		n.Observe(drain.Observed{Server: "m"}, start.Add(time.Minute))
		Expect(n.MayStart("m", start.Add(time.Minute))).To(BeTrue())
	})

	It("is forgotten some time after it was unlisted", func() {
		n.Observe(draining(start), start)
		n.Unlist("m", start)
		n.Unlist("o", start.Add(time.Hour))
		_, ok := n.Age("m", start.Add(time.Hour))
		Expect(ok).To(BeFalse())
	})
})
