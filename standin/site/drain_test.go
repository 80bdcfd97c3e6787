package site_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/site"
)

// drainConfig has members that may get new work for 2 s after they are to be returned.
var drainConfig = site.Config{Groups: 1, Lag: 15 * time.Millisecond, StatementTime: time.Millisecond, PromotionTime: 200 * time.Millisecond, DrainTime: 2 * time.Second}

// Guards against new work for a draining member that may not be replaced yet (case 8 and case 3
// of the reviews, DRAIN).
var _ = DescribeTable("a draining member gets no new work after a few seconds", func(trouble func(*fleet), drain func(*fleet)) {
	f := newFleet(drainConfig, 3)
	time.AfterFunc(300*time.Millisecond, func() { trouble(f) })
	time.AfterFunc(1300*time.Millisecond, func() { drain(f) })
	o := f.runLoad(26, 4500*time.Millisecond)
	Expect(o.Served).To(BeNumerically(">", 300))
	Expect(o.InDoubt).To(BeZero())
},
	Entry("as the primary, after the store has come back from an older copy", func(f *fleet) { f.site.RestoreStore(300 * time.Millisecond) }, drainPrimary),
	Entry("as the primary, while the other members drain too", func(f *fleet) {
		f.site.DrainReplica(0, 0)
		f.site.DrainReplica(0, 1)
	}, drainPrimary),
	Entry("as a replica", func(*fleet) {}, func(f *fleet) { f.site.DrainReplica(0, 0) }),
)

func drainPrimary(f *fleet) { f.site.DrainPrimary(0) }
