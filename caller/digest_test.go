package caller

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/statement"
	"github.com/dragonflypick/dragonflypick/wire"
)

var _ = Describe("the digest of a request with an idempotency key", func() {
	digest := func(l ...wire.Message) string {
		r := Request{Header: peer.Header{Key: "k"}}
		Expect(r.setDigest(query{class: statement.Classification{Count: 1}, messages: l, complete: true})).To(BeNil())
		return r.Header.Digest
	}

	DescribeTable("tells another request of the same key apart, so that it isn't answered as the first one", func(a, b []wire.Message) {
		Expect(digest(a...)).To(Equal(digest(a...)))
		Expect(digest(a...)).NotTo(Equal(digest(b...)))
	},
		Entry("when 64-bit hashes of the texts are the same",
			[]wire.Message{{Type: wire.Query, Body: []byte("select-slot-by-yard-and-contractor-for-the-week-of-a-spreading-\x00")}},
			[]wire.Message{{Type: wire.Query, Body: []byte("select-+dRPs)Dtyard-and-contractor-for-sjQxCvNF-of-a-spreading-\x00")}}),
		Entry("when the messages are divided otherwise",
			[]wire.Message{{Type: wire.Parse, Body: []byte("aB")}, {Type: wire.Bind, Body: []byte("b")}},
			[]wire.Message{{Type: wire.Parse, Body: []byte("a")}, {Type: wire.Bind, Body: []byte("Bb")}}),
	)
})
