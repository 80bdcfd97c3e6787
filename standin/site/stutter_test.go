package site_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("answers that come twice, the second time late", func() {
	It("reach no caller that they aren't for, and nothing refused is kept or runs twice", func() {
		f := newFleet(defaultConfig, 4)
		for i := range defaultConfig.Groups {
			f.site.SetStutter(i, 61)
		}
		o := f.runLoad(61, 5*time.Second)
		Expect(o.Served).To(BeNumerically(">", 200))
	})

	It("reach none while a primary is replaced and a daemon is stopped either", func() {
		c := defaultConfig
		c.SyncReplicas = 1
		f := newFleet(c, 4)
		for i := range c.Groups {
			f.site.SetStutter(i, 64)
		}
		time.AfterFunc(700*time.Millisecond, func() {
			restart := f.site.CrashPrimary(0)
			time.AfterFunc(2500*time.Millisecond, restart)
		})
		time.AfterFunc(1500*time.Millisecond, f.daemons[0].stop)
		o := f.runLoad(64, 5*time.Second)
		Expect(f.site.Promotions(0)).To(BeNumerically(">=", 1))
		Expect(o.Served).To(BeNumerically(">", 200))
	})

	It("are without effect once members repeat none any more", func() {
		f := newFleet(defaultConfig, 3)
		for i := range defaultConfig.Groups {
			time.AfterFunc(2*time.Second, f.site.SetStutter(i, 62))
		}
		f.runLoad(62, 3*time.Second)
		o := f.runLoad(63, 2*time.Second)
		Expect(o.Served).To(BeNumerically(">", 500))
		Expect(o.InDoubt + o.Disconnected).To(BeZero())
	})
})
