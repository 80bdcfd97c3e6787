package statement_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/statement"
)

// setBytes are bytes of which a comment and a value are drawn: their lower case or their
// replacement by U+FFFD has another length.
var setBytes = []byte("aK=\xff\xe9\xc4\xb0\xe2\x84\xaa \u00a0")

func TestValueOfASettingIsCutWhereItsCommentIsNotASCII(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		comment := string(rapid.SliceOf(rapid.SampledFrom(setBytes)).Draw(r, "comment"))
		value := string(rapid.SliceOf(rapid.SampledFrom(setBytes)).Draw(r, "value"))
		by := rapid.SampledFrom([]string{" = ", "=", " TO ", "\tto\n"}).Draw(r, "by")
		sql := "/*" + comment + "*/ SET dragonflypick.key" + by + "'" + strings.ReplaceAll(value, "'", "''") + "';"
		c := statement.Classify(sql)
		g := gomega.NewWithT(r)
		g.Expect(c.Kind).To(gomega.Equal(statement.SetProxySetting))
		g.Expect(c.Setting).To(gomega.Equal("key"))
		g.Expect(c.Value).To(gomega.Equal(value), "%q", sql)
	})
}

func TestKeyInAHintIsCutAtANoBreakSpace(t *testing.T) {
	h := statement.Classify("/* dragonflypick key=o\u00a017\u2003\t rank=urgent */ DELETE FROM t").Hints
	g := gomega.NewWithT(t)
	g.Expect(h.Key).To(gomega.Equal("o\u00a017\u2003"))
	g.Expect(h.HasRank).To(gomega.BeTrue())
	g.Expect(h.Invalid).To(gomega.BeEmpty())
}
