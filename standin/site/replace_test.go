package site_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/site"
)

// Guards against a write that commits at a replaced primary after the promotion of another
// member and is acknowledged (case 1 of the review, ONE). Each statement takes longer than
// the status poll and the promotion, so that some are running all the while.
var _ = It("a primary that is replaced while it works acknowledges no write that commits later", func() {
	f := newFleet(site.Config{Groups: 1, Lag: 15 * time.Millisecond, StatementTime: 600 * time.Millisecond, PromotionTime: 100 * time.Millisecond}, 3)
	time.AfterFunc(500*time.Millisecond, func() {
		restore := f.site.CutPrimaryFromStore(0)
		time.AfterFunc(5*time.Second, restore)
	})
	o := f.runLoad(21, 8*time.Second)
	Expect(f.logs.String()).To(ContainSubstring("primary replaced"))
	Expect(o.Served).To(BeNumerically(">", 10))
})

// Guards against the use of a member that was promoted earlier, after the promotion of another
// one was requested (case 6 of the review, ONE). Each member is cut off as it is promoted.
var _ = It("a holder that has promoted two members, of which the first one is back sooner, acknowledges no write there", func() {
	const (
		promotionTime = 300 * time.Millisecond
		cutTime       = 5500 * time.Millisecond
	)
	var mu sync.Mutex
	var f *fleet
	promoted := map[string]bool{}
	c := site.Config{Groups: 1, Lag: 15 * time.Millisecond, StatementTime: time.Millisecond, PromotionTime: promotionTime}
	c.OnPromotion = func(member string) {
		mu.Lock()
		defer mu.Unlock()
		if !promoted[member] {
			promoted[member] = true
			time.AfterFunc(cutTime, f.site.CutMember(0, member))
		}
	}
	f = newFleet(c, 3)
	time.AfterFunc(500*time.Millisecond, func() { f.site.DrainPrimary(0) })
	o := f.runLoad(24, 14*time.Second)
	Expect(promoted).To(HaveLen(2))
	// No write is served from the first cut on, which begins 2 s before the second one. Once that
	// has ended, a promotion which was requested meanwhile takes 2 s to show that it has no effect.
	Expect(o.LongestWriteGap).To(And(BeNumerically(">", cutTime), BeNumerically("<", cutTime+6*time.Second)))
	Expect(o.Served).To(BeNumerically(">", 100))
})

// Guards against a promotion that is requested while the call of an earlier holder, which has
// ended, is still on its way (case 7 of the review, ONE). The call arrives after the process
// that follows the holder has been ready for a while.
var _ = It("the successor of a holder that ended while its promotion was on its way requests none before that arrives", func() {
	const callTime = 4500 * time.Millisecond
	f := newFleet(site.Config{Groups: 1, Lag: 15 * time.Millisecond, StatementTime: time.Millisecond, PromotionTime: 300 * time.Millisecond}, 5)
	var w sync.WaitGroup
	w.Add(1)
	f.site.DelayPromotion(callTime, func(host string) {
		w.Go(func() {
			defer GinkgoRecover()
			defer w.Done()
			d := f.daemon(host)
			d.stop()
			Eventually(d.done, 10*time.Second).Should(BeClosed())
			f.restart(d)
		})
	})
	time.AfterFunc(500*time.Millisecond, func() { f.site.DrainPrimary(0) })
	o := f.runLoad(25, 9*time.Second)
	w.Wait()
	Expect(f.site.Promotions(0)).To(Equal(1))
	Expect(o.Served).To(BeNumerically(">", 500))
})
