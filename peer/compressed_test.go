package peer

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// memoryStream is a stream whose reads return what was written.
type memoryStream struct{ bytes.Buffer }

func (*memoryStream) Close() error { return nil }

func TestCompressedMessagesArriveUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	var m memoryStream
	s := newCompressedStream(&m)
	messages := []string{"", "short", strings.Repeat("row", 5000), rand.Text() + rand.Text() + rand.Text() + rand.Text() + rand.Text() + rand.Text()}
	for _, x := range messages {
		g.Expect(s.WriteObject(x)).To(gomega.Succeed())
	}
	for _, x := range messages {
		var o string
		g.Expect(s.ReadObject(&o)).To(gomega.Succeed())
		g.Expect(o).To(gomega.Equal(x))
	}
	var o string
	g.Expect(s.ReadObject(&o)).To(gomega.MatchError(io.EOF))
}

func TestCallOfAStatementTakesHalfOfItsSizeBetweenRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	x := json.RawMessage(`{"method":"execute","params":{"i":"5c0e7a21d94b36f8","g":"raxa5a","m":"i-2a7389cb84","c":"front-b-2.edd0540b/1c","k":2,"d":794000000,"v":[{"n":"tz","t":"u3f1"}],"t":"READ 1a4","f":{"Term":1,"Offset":352},"x":2500000000},"id":4711,"jsonrpc":"2.0"}`)
	var m memoryStream
	g.Expect(newCompressedStream(&m).WriteObject(x)).To(gomega.Succeed())
	g.Expect(m.Len()).To(gomega.BeNumerically("<", len(x)/2))
}

func TestMalformedCompressedMessageIsAFailure(t *testing.T) {
	for name, b := range map[string][]byte{
		"frame that is too long": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1},
		"frame that ends early":  {20, 'x'},
		"invalid compression":    {7, 0xff, 0xff, 0xff},
		"invalid JSON":           {2 << 1, '{', 'x'},
	} {
		t.Run(name, func(t *testing.T) {
			var o any
			gomega.NewWithT(t).Expect(newCompressedStream(&memoryStream{*bytes.NewBuffer(b)}).ReadObject(&o)).NotTo(gomega.Succeed())
		})
	}
}

func FuzzCompressedMessage(f *testing.F) {
	f.Add([]byte{7, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var o any
		s := newCompressedStream(&memoryStream{*bytes.NewBuffer(b)})
		for err := error(nil); err == nil; {
			err = s.ReadObject(&o)
		}
	})
}
