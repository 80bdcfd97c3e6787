package peer

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// stuckConn is a connection whose reads go on after Close until they are
// released, as those of a process with one busy processor do.
type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (c *stuckConn) Close() error { return nil }

func (c *stuckConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

func TestReadsEndWithTheirSession(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	c := &stuckConn{Conn: a, release: make(chan struct{})}
	near, err := newSession(c, clientSession)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	far, err := newSession(b, serverSession)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	s, err := near.openStream()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = far.acceptStream()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var r errgroup.Group
	read := make(chan error, 1)
	r.Go(func() error {
		_, err := s.Read(make([]byte, 1))
		read <- err
		return nil
	})
	r.Go(near.Close)
	g.Eventually(read, 2*time.Second).Should(gomega.Receive(gomega.HaveOccurred()))
	g.Expect(near.IsClosed()).To(gomega.BeTrue())
	_, err = near.openStream()
	g.Expect(err).To(gomega.HaveOccurred())

	close(c.release)
	_ = a.Close()
	g.Expect(r.Wait()).To(gomega.Succeed())
}
