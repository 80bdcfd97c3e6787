package storecopy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/storecopy"
)

var _ = Describe("Confirmation", func() {
	t := time.Now()
	It("is given by a current copy of a store that hasn't come back from an older one", func() {
		var c storecopy.Confirmation
		c.StoreRead(time.Minute, false, true)
		c.StoreRead(0, true, false)
		Expect(c.Confirmed(t)).To(BeFalse())
		c.StoreRead(0, false, false)
		Expect(c.Confirmed(t)).To(BeTrue())
		c.StoreRead(time.Hour, true, false)
		Expect(c.Confirmed(t)).To(BeTrue(), "a daemon never loses what it knows")
	})
	It("is given by a restored store if no other daemon runs", func() {
		var c storecopy.Confirmation
		c.StoreRead(0, true, true)
		Expect(c.Confirmed(t)).To(BeTrue())
	})
	It("is given by three other daemons, or by fewer after a while, but not by one that may be cut off", func() {
		var c storecopy.Confirmation
		Expect(c.Confirmed(t.Add(time.Hour))).To(BeFalse())
		for range 5 {
			c.Exchanged("b", t)
		}
		c.Exchanged("c", t)
		d := c
		Expect(c.Confirmed(t.Add(time.Second))).To(BeFalse())
		Expect(c.Confirmed(t.Add(3 * time.Second))).To(BeTrue())
		d.Exchanged("d", t)
		Expect(d.Confirmed(t)).To(BeTrue())
	})
})
