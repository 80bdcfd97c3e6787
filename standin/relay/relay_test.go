package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
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

// quietTime is how long a test checks that no bytes arrive.
const quietTime = 50 * time.Millisecond

var _ = Describe("a relay in front of an echo server", func() {
	var r *relay.Relay

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
					_, _ = io.Copy(c, c)
					return nil
				})
			}
		})
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
