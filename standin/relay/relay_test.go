package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/standin/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}

// counter counts the bytes that are written to it.
type counter struct{ n *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// quietTime is how long a test checks that no bytes arrive.
const quietTime = 50 * time.Millisecond

var _ = Describe("a relay in front of an echo server", func() {
	var r *relay.Relay
	var target string
	// served counts the server's open connections, echoed the bytes that it received.
	var served, echoed atomic.Int64

	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c net.Conn) {
		_, err := c.Write([]byte("amber\n"))
		Expect(err).NotTo(HaveOccurred())
	}
	expectEcho := func(c net.Conn) {
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(bufio.NewReader(c).ReadString('\n')).To(Equal("amber\n"))
	}
	expectNothing := func(c net.Conn) {
		Expect(c.SetReadDeadline(time.Now().Add(quietTime))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
	}

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		g := &errgroup.Group{}
		g.Go(func() error {
			for {
				c, err := l.Accept()
				if err != nil {
					return nil
				}
				g.Go(func() error {
					defer func() { _ = c.Close() }()
					served.Add(1)
					defer served.Add(-1)
					_, _ = io.Copy(c, io.TeeReader(c, counter{&echoed}))
					return nil
				})
			}
		})
		target = l.Addr().String()
		r, err = relay.Start(relay.Config{Listen: "127.0.0.1:0", Target: l.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			r.Stop()
			_ = l.Close()
			_ = g.Wait()
		})
	})

	It("holds bytes back in mode Hold, and forwards all of them afterwards", func() {
		c := dial()
		send(c)
		expectEcho(c)
		Expect(r.SetMode(relay.Hold)).To(Succeed())
		send(c)
		expectNothing(c)
		n := dial()
		send(n)
		expectNothing(n)
		Expect(r.SetMode(relay.Pass)).To(Succeed())
		expectEcho(c)
		expectEcho(n)
	})

	It("silences open connections while new ones work", func() {
		c := dial()
		send(c)
		expectEcho(c)
		r.Silence()
		send(c)
		expectNothing(c)
		n := dial()
		send(n)
		expectEcho(n)
		expectNothing(c)
	})

	It("closes the other end of a silent connection once its keep-alive has failed", func() {
		const d = 50 * time.Millisecond
		k, err := relay.Start(relay.Config{Listen: "127.0.0.1:0", Target: target, KeepAlive: d})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(k.Stop)
		c, err := net.Dial("tcp", k.Address())
		Expect(err).NotTo(HaveOccurred())
		send(c)
		expectEcho(c)
		k.Silence()
		Consistently(served.Load, 2*d).Should(BeNumerically(">", 0))
		Expect(c.Close()).To(Succeed())
		Eventually(served.Load).Should(BeZero())
	})

	DescribeTable("holds back the bytes of one direction only", func(m relay.Mode, received int64) {
		c := dial()
		send(c)
		expectEcho(c)
		before := echoed.Load()
		Expect(r.SetMode(m)).To(Succeed())
		send(c)
		expectNothing(c)
		Expect(echoed.Load() - before).To(Equal(received))
		Expect(r.SetMode(relay.Pass)).To(Succeed())
		expectEcho(c)
	},
		Entry("requests", relay.HoldRequests, int64(0)),
		Entry("answers", relay.HoldAnswers, int64(len("amber\n"))),
	)

	It("resets open and new connections in mode Reset", func() {
		c := dial()
		send(c)
		expectEcho(c)
		Expect(r.SetMode(relay.Reset)).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		n, err := net.Dial("tcp", r.Address())
		if err == nil {
			_, err = n.Read(make([]byte, 1))
		}
		Expect(err).To(HaveOccurred())
		Expect(r.SetMode(relay.Pass)).To(Succeed())
		n = dial()
		send(n)
		expectEcho(n)
	})

	It("refuses new connections in mode Refuse while open ones work", func() {
		c := dial()
		send(c)
		expectEcho(c)
		Expect(r.SetMode(relay.Refuse)).To(Succeed())
		_, err := net.Dial("tcp", r.Address())
		Expect(err).To(HaveOccurred())
		send(c)
		expectEcho(c)
		Expect(r.SetMode(relay.Pass)).To(Succeed())
		n := dial()
		send(n)
		expectEcho(n)
	})

	It("delays the bytes of each direction", func() {
		const d = 20 * time.Millisecond
		r.SetDelay(d)
		c := dial()
		b := time.Now()
		send(c)
		expectEcho(c)
		Expect(time.Since(b)).To(BeNumerically(">=", 2*d))
	})
})
