package caller

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestKeyInStartupOptionsIsCutAtANoBreakSpace(t *testing.T) {
	g := gomega.NewWithT(t)
	n := &callerSession{}
	g.Expect(n.applyOptions("-c dragonflypick.key=o\u00a017\u0085\t -c dragonflypick.rank=urgent")).To(gomega.Succeed())
	g.Expect(n.settings.key).To(gomega.Equal("o\u00a017\u0085"))
}
