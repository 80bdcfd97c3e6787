package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
)

var _ = Describe("a change of a group's members", func() {
	group := func(addresses ...string) *bundle.Bundle {
		g := bundle.Group{Name: "orders"}
		for _, a := range addresses {
			g.Members = append(g.Members, bundle.Member{Name: a[:1], Address: a})
		}
		return &bundle.Bundle{Groups: []bundle.Group{g}}
	}
	old := group("a1", "b1", "c1")

	DescribeTable("may add or remove one member at a time",
		func(next *bundle.Bundle, ok bool) {
			err := bundle.CheckMemberChange(old, next)
			if ok {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(ContainSubstring("groups[0].members")))
		},
		Entry("none", group("a1", "b1", "c1"), true),
		Entry("one added", group("a1", "b1", "c1", "d1"), true),
		Entry("one removed", group("a1", "b1"), true),
		Entry("one replaced", group("a1", "b1", "d1"), false),
		Entry("one moved to another address", group("a1", "b1", "c2"), false),
		Entry("two replaced", group("a1", "d1", "e1"), false),
		Entry("a new group", &bundle.Bundle{Groups: []bundle.Group{{Name: "stock"}}}, true),
	)
})
