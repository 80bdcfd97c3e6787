package site_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/site"
)

// runLoad runs a load, expects no violations and returns the outcome.
func (f *fleet) runLoad(seed uint64, d time.Duration) *site.LoadReport {
	o := f.site.RunLoad(seed, 12, d, f.recentAddresses())
	f.site.VerifyWrites(o)
	return f.expectKept(o)
}

// runReads is runLoad with clients that only read.
func (f *fleet) runReads(seed uint64, d time.Duration) *site.LoadReport {
	return f.expectKept(f.site.RunReads(seed, 12, d, f.recentAddresses()))
}

// recentAddresses returns a function that returns the caller addresses of the daemons that
// were ready a short time before.
func (f *fleet) recentAddresses() func() []string {
	var mu sync.Mutex
	var at time.Time
	var l []string
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(at) > 200*time.Millisecond {
			l, at = f.addresses(), time.Now()
		}
		return l
	}
}

// expectKept expects no violations in a load.
func (f *fleet) expectKept(o *site.LoadReport) *site.LoadReport {
	AddReportEntry("outcome", fmt.Sprintf("served %d, refused %d, in doubt %d, disconnected %d, longest write gap %s, violations %v", o.Served, o.Refused, o.InDoubt, o.Disconnected, o.LongestWriteGap, countByRule(f.site.Violations())))
	Expect(f.site.Violations()).To(BeEmpty())
	return o
}
