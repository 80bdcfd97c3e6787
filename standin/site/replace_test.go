package site_test

import (
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
