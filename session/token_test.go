package session_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/session"
)

var _ = DescribeTable("a token can be read again whatever the group's name, so that a caller who reconnects reads its own writes",
	func(group string) {
		p := logpos.Position{Term: 3, Offset: 17}
		Expect(session.ParseToken(group, session.FormatToken(group, p))).To(Equal(p))
	},
	Entry("plain", "orders"),
	Entry("with a colon", "eu:orders"),
	Entry("with what looks like a position", "orders:3/17"),
	Entry("with a blank, a quote and a line break", "a 'b'\r\n:"),
	Entry("long", strings.Repeat(":", 300)),
)

var _ = It("a token is of one group only, whatever the groups' names", func() {
	names := rapid.StringMatching(`[a:/1]{1,6}`)
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		a, b := names.Draw(t, "a"), names.Draw(t, "b")
		p, err := session.ParseToken(b, session.FormatToken(a, logpos.Position{Term: 1, Offset: 1}))
		if a != b && err == nil {
			t.Fatalf("the token of %q is read as %v of %q", a, p, b)
		}
		if a == b && err != nil {
			t.Fatalf("the token of %q is refused: %v", a, err)
		}
	})
})
