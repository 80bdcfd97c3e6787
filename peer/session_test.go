package peer

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// stuckConn is a connection whose Close doesn't interrupt a read and whose failed
// read returns only when release is closed. It simulates a process whose only
// processor is busy, where yamux's receive loop can't end.
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

// TestReadsEndWithTheirSession checks that closing a session ends the reads of
// its streams although the session's receive loop can't end.
func TestReadsEndWithTheirSession(t *testing.T) {
	testReadsEnd(t, func(net.Conn) error { return nil })
}

// TestReadOfAClosedStreamEndsWithItsSession guards against a busy loop of a stream that
// was closed while it was being read.
func TestReadOfAClosedStreamEndsWithItsSession(t *testing.T) {
	testReadsEnd(t, net.Conn.Close)
}

// testReadsEnd closes a session whose stream is being read, after prepare.
func testReadsEnd(t *testing.T, prepare func(stream net.Conn) error) {
	g := gomega.NewWithT(t)
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	c := &stuckConn{Conn: a, release: make(chan struct{})}
	client, err := newSession(c, clientSession)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server, err := newSession(b, serverSession)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	s, err := client.openStream()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = server.acceptStream()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var r errgroup.Group
	read := make(chan error, 1)
	r.Go(func() error {
		_, err := s.Read(make([]byte, 1))
		read <- err
		return nil
	})
	time.Sleep(20 * time.Millisecond)
	g.Expect(prepare(s)).To(gomega.Succeed())
	r.Go(client.Close)
	g.Eventually(read, 2*time.Second).Should(gomega.Receive(gomega.HaveOccurred()))
	g.Eventually(client.IsClosed, 2*time.Second).Should(gomega.BeTrue())
	_, err = client.openStream()
	g.Expect(err).To(gomega.HaveOccurred())

	close(c.release)
	_ = a.Close()
	g.Expect(r.Wait()).To(gomega.Succeed())
}
