package fleet

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

var _ = Describe("exchange of large values", func() {
	It("sends them compressed to a daemon that can unpack them, also after they changed", func() {
		f := newTestDaemon()
		for n := range 3 {
			large := bytes.Repeat([]byte{'a' + byte(n), 'b', 'c'}, 100_000)
			l := []store.Item{{Key: "large", Value: large, Position: at(uint64(2*n + 1))}, {Key: "small", Value: []byte("v"), Position: at(uint64(2*n + 2))}}
			f.copy.Apply(storecopy.Update{Items: l, Position: at(uint64(2*n + 2)), CurrentAt: now()}, now())
			Expect(f.answerExchange(exchangeParams{}).Items).To(Equal(l), "an older daemon doesn't ask for compression")
			for range 2 {
				o := f.answerExchange(exchangeParams{Unpacks: true})
				Expect(len(o.Packed["large"])).To(BeNumerically("<", 10_000))
				Expect(o.Items[0].Value).To(BeNil())
				Expect(unpackValues(o.Items, o.Packed)).To(Succeed())
				Expect(o.Items).To(Equal(l))
			}
		}
	})

	It("rejects values that can't be unpacked", func() {
		l := []store.Item{{Key: "k"}}
		Expect(unpackValues(l, map[string][]byte{"k": []byte("not compressed")})).NotTo(Succeed())
		f := newTestDaemon()
		_, p := f.packValues([]store.Item{{Key: "k", Value: make([]byte, maxUnpackedSize+1)}})
		Expect(unpackValues(l, p)).NotTo(Succeed())
	})
})
