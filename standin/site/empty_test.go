package site_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against reads on the empty log of a primary that has started again under its ID,
// while nobody writes (case 5 of the review, STALE).
var _ = It("no read runs on the empty log of a primary that has started again while nobody writes", func() {
	f := newFleet(defaultConfig, 3)
	f.runLoad(51, time.Second)
	time.AfterFunc(500*time.Millisecond, func() { f.site.RestartPrimaryEmpty(0) })
	o := f.runReads(52, 3*time.Second)
	Expect(o.Served).To(BeNumerically(">", 300))
	Expect(f.site.Promotions(0)).To(Equal(1))
	f.runLoad(53, time.Second)
})
