package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"
)

// answerTwice answers each call with its method, and before that repeats all earlier
// answers. A call of the method "late" is answered only before the next one. It returns
// when the connection has ended.
func answerTwice(s jsonrpc2.ObjectStream) error {
	var sent []jsonrpc2.Response
	for {
		var q jsonrpc2.Request
		if err := s.ReadObject(&q); err != nil {
			return nil
		}
		b, err := json.Marshal(q.Method)
		if err != nil {
			return err
		}
		for _, o := range sent {
			if s.WriteObject(o) != nil {
				return nil
			}
		}
		m := json.RawMessage(b)
		sent = append(sent, jsonrpc2.Response{ID: q.ID, Result: &m})
		if q.Method == "late" {
			continue
		}
		for range 2 {
			if s.WriteObject(sent[len(sent)-1]) != nil {
				return nil
			}
		}
	}
}

func TestASecondOrLateAnswerOfADaemonReachesNoCall(t *testing.T) {
	for name, newStream := range map[string]func(c net.Conn) jsonrpc2.ObjectStream{
		"plain":      func(c net.Conn) jsonrpc2.ObjectStream { return jsonrpc2.NewPlainObjectStream(c) },
		"compressed": func(c net.Conn) jsonrpc2.ObjectStream { return newCompressedStream(c) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, b := net.Pipe()
			var r errgroup.Group
			r.Go(func() error { return answerTwice(newStream(b)) })
			c := jsonrpc2.NewConn(context.Background(), newStream(a), jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
				return nil, errors.New("no calls")
			}))
			x, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			for _, m := range []string{"a", "b", "late", "c", "d", "late", "e"} {
				y, cancel := x, func() {}
				if m == "late" {
					y, cancel = context.WithTimeout(x, 20*time.Millisecond)
				}
				var o string
				err := c.Call(y, m, nil, &o)
				cancel()
				if m == "late" {
					g.Expect(err).To(gomega.HaveOccurred())
					g.Expect(o).To(gomega.BeEmpty())
					continue
				}
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(o).To(gomega.Equal(m))
			}
			g.Expect(c.Close()).To(gomega.Succeed())
			_ = b.Close()
			g.Expect(r.Wait()).To(gomega.Succeed())
		})
	}
}
