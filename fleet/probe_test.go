package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
)

var _ = DescribeTable("a probe that another member answers, at the address of a primary that is gone, doesn't show that the primary is alive",
	func(r query.Reason, alive bool) {
		f := newTestDaemon()
		m := catalog.Member{ID: "m", Group: "g"}
		p := f.memberPool(m)
		_, before := p.Health()
		f.handleProbe(f.group("g"), m, &query.Failure{Reason: r})
		_, after := p.Health()
		Expect(after.After(before)).To(Equal(alive))
	},
	Entry("another member", query.WrongMember, false),
	Entry("no connections left", query.TooManyConnections, true),
)
