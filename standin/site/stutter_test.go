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
