package contain_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/contain"
)

// TestRun checks that a panic becomes a typed error and that other results pass.
func TestRun(t *testing.T) {
	g := gomega.NewWithT(t)
	l := hclog.NewNullLogger()
	var m map[string]int
	err := contain.Run(l, "test", func() error {
		m["a"] = 1
		return nil
	})
	g.Expect(contain.IsPanic(err)).To(gomega.BeTrue())
	g.Expect(err.Error()).To(gomega.ContainSubstring("nil map"))
	own := errors.New("own")
	g.Expect(contain.Run(l, "test", func() error { return own })).To(gomega.Equal(own))
	g.Expect(contain.IsPanic(own)).To(gomega.BeFalse())
	g.Expect(contain.Run(l, "test", func() error { return nil })).To(gomega.Succeed())
}

// failingListener fails to accept a few times.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAccept checks that a server that has no free file descriptor for a while
// continues to accept, and that it ends with its context or its listener.
func TestAccept(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x, stop := context.WithCancel(context.Background())
	defer stop()
	accepted := make(chan net.Conn, 1)
	var r errgroup.Group
	r.Go(func() error {
		return contain.Accept(x, &failingListener{Listener: l, failures: 3}, hclog.NewNullLogger(), func(c net.Conn) { accepted <- c })
	})
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var s net.Conn
	g.Eventually(accepted, 2*time.Second).Should(gomega.Receive(&s))
	g.Expect(errors.Join(c.Close(), s.Close())).To(gomega.Succeed())
	stop()
	g.Expect(l.Close()).To(gomega.Succeed())
	g.Expect(r.Wait()).To(gomega.Succeed())
	g.Expect(contain.Accept(context.Background(), l, hclog.NewNullLogger(), nil)).NotTo(gomega.Succeed())
}
