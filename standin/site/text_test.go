package site_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countByRule counts violations by the rule that they name.
func countByRule(violations []string) map[string]int {
	o := map[string]int{}
	for _, v := range violations {
		r, _, _ := strings.Cut(v, ":")
		o[r]++
	}
	return o
}

var _ = Describe("no statement is cut and no signature taken from inside a row, whatever bytes the texts hold", func() {
	It("on several daemons", func() {
		f := newFleet(defaultConfig, 4)
		o := f.runLoad(51, 4*time.Second)
		Expect(o.Served).To(BeNumerically(">", 500))
		Expect(o.InDoubt + o.Disconnected).To(BeZero())
	})

	It("while a primary is replaced and a daemon is stopped", func() {
		f := newFleet(defaultConfig, 4)
		time.AfterFunc(700*time.Millisecond, func() {
			restart := f.site.CrashPrimary(0)
			time.AfterFunc(2500*time.Millisecond, restart)
		})
		time.AfterFunc(1500*time.Millisecond, f.daemons[0].stop)
		o := f.runLoad(52, 5*time.Second)
		Expect(f.site.Promotions(0)).To(BeNumerically(">=", 1))
		Expect(o.Served).To(BeNumerically(">", 500))
	})
})

var _ = It("texts that aren't UTF-8 pass between daemons unchanged", func() {
	c := defaultConfig
	c.AnyBytes = true
	f := newFleet(c, 4)
	o := f.runLoad(53, 4*time.Second)
	Expect(o.Served).To(BeNumerically(">", 500))
	Expect(o.InDoubt + o.Disconnected).To(BeZero())
})
