package site_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// recoveryTime is within which a system whose processes have all ended serves again; the
// users' sites allow 12 s.
const recoveryTime = 12 * time.Second

// restart starts a process with the settings of one that has ended.
func (f *fleet) restart(d *daemon) {
	f.run(&daemon{done: make(chan error, 1), settings: d.settings})
}

// daemon returns the first daemon of a host.
func (f *fleet) daemon(host string) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.settings.Host == host })
	Expect(i).To(BeNumerically(">=", 0))
	return f.daemons[i]
}

// stopAll stops all processes, which it returns, and waits for their ends.
func (f *fleet) stopAll() []*daemon {
	f.mu.Lock()
	old := f.daemons
	f.daemons = nil
	f.mu.Unlock()
	for _, d := range old {
		d.stop()
	}
	for _, d := range old {
		Eventually(d.done, 10*time.Second).Should(BeClosed())
	}
	return old
}

var _ = DescribeTable("a fleet that starts again as a whole serves within 12 s", func(copyAge time.Duration) {
	f := newFleet(defaultConfig, 3)
	f.runLoad(41, time.Second)
	old := f.stopAll()
	if copyAge > 0 {
		f.site.RestoreStore(copyAge)
	}
	t := time.Now()
	for _, d := range old {
		f.restart(d)
	}
	Eventually(func() int { return len(f.addresses()) }, recoveryTime, 20*time.Millisecond).Should(Equal(len(old)))
	o := f.runLoad(42, recoveryTime+3*time.Second-time.Since(t))
	Expect(o.FirstServed).NotTo(BeZero())
	Expect(o.FirstServed.Sub(t)).To(BeNumerically("<", recoveryTime))
},
	Entry("after the loss of all processes", time.Duration(0)),
	Entry("also if the store has come back from an older copy meanwhile", 5*time.Second),
)
