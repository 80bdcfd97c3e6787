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

// Guards against a primary that has come back with its log and isn't used for long, since it
// is taken for one that has lost it.
var _ = It("a primary that has crashed and is back at once with its log goes on serving", func() {
	const mostGap = 2 * time.Second
	c := defaultConfig
	c.Groups = 1
	f := newFleet(c, 3)
	for i := range 4 {
		time.AfterFunc(time.Duration(i+1)*time.Second, func() { f.site.CrashPrimary(0)() })
	}
	o := f.runLoad(54, 6*time.Second)
	Expect(f.site.Promotions(0)).To(BeZero())
	Expect(o.LongestWriteGap).To(BeNumerically("<", mostGap))
})
