package asynclog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestLineOfAnySizeTakesBoundedMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	var b bytes.Buffer
	w := New(&b)
	long := strings.Repeat("x", 1<<20) + "\n"
	n, err := w.Write([]byte(long))
	g.Expect(n, err).To(gomega.Equal(len(long)))
	g.Expect(cap(<-w.lines)).To(gomega.BeNumerically("<=", maxLineSize))

	_, _ = w.Write([]byte(long))
	_, _ = w.Write([]byte("short\n"))
	x, stop := context.WithCancel(context.Background())
	stop()
	g.Expect(w.Run(x)).To(gomega.Succeed())
	g.Expect(b.Len()).To(gomega.Equal(maxLineSize + len("short\n")))
	g.Expect(b.String()).To(gomega.HaveSuffix("x...\nshort\n"))
}
