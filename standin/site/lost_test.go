package site_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/site"
)

// Guards against the promotion of a replica that lacks acknowledged commits, while the one
// that has them isn't listed (case 2 of the review, LOST). Replica 0 is cut off from the
// store and the daemons and goes on receiving; after its record has lapsed, replica 1
// receives nothing more, and the primary crashes.
var _ = DescribeTable("no acknowledged commit is lost with a replica that the store has forgotten", func(meanwhile func(*fleet), replicaBack time.Duration) {
	const (
		// lapse is longer than daemons keep a member whose record was removed.
		lapse       = 3200 * time.Millisecond
		deafTime    = time.Second
		primaryDown = 4 * time.Second
		// settle is time for the primary to be found back, before the other replica may
		// receive what it lacks and take its place.
		settle = time.Second
	)
	f := newFleet(site.Config{Groups: 1, Lag: 15 * time.Millisecond, StatementTime: time.Millisecond, PromotionTime: 200 * time.Millisecond, SyncReplicas: 1}, 3)
	var w sync.WaitGroup
	w.Go(func() {
		defer GinkgoRecover()
		time.Sleep(time.Second)
		reconnect := f.site.CutReplica(0, 0)
		time.Sleep(lapse)
		resume := f.site.StopReplication(0, 1)
		time.Sleep(deafTime)
		meanwhile(f)
		restart := f.site.CrashPrimary(0)
		end := time.Now().Add(primaryDown)
		if replicaBack < primaryDown {
			time.Sleep(replicaBack)
			reconnect()
		}
		time.Sleep(time.Until(end))
		restart()
		time.Sleep(settle)
		resume()
	})
	o := f.runLoad(22, 16*time.Second)
	w.Wait()
	Expect(o.Served).To(BeNumerically(">", 100))
	Expect(f.logs.String()).To(ContainSubstring("primary not replaced: an acknowledged commit may be lost"))
	if replicaBack < primaryDown {
		Expect(f.site.Promotions(0)).To(BeNumerically(">=", 1))
	} else {
		Expect(f.site.Promotions(0)).To(BeZero())
	}
	after := f.runLoad(23, 2*time.Second)
	Expect(after.Served).To(BeNumerically(">", 100))
},
	Entry("that comes back before the primary", func(*fleet) {}, 2*time.Second),
	Entry("that comes back later than the primary", func(*fleet) {}, time.Hour),
	Entry("while all daemons were started again", func(f *fleet) {
		for _, d := range f.stopAll() {
			f.restart(d)
		}
		Eventually(func() int { return len(f.addresses()) }, 10*time.Second, 20*time.Millisecond).Should(Equal(3))
		time.Sleep(time.Second)
	}, 2*time.Second),
	Entry("while the store was away", func(f *fleet) {
		f.site.SetStoreFault(true, false)
		time.AfterFunc(2*time.Second, func() { f.site.SetStoreFault(false, false) })
		time.Sleep(time.Second)
	}, 3*time.Second),
	Entry("while all daemons end just before the primary, and start again", func(f *fleet) {
		for _, d := range f.stopAll() {
			time.AfterFunc(500*time.Millisecond, func() { f.restart(d) })
		}
	}, 3*time.Second),
)
