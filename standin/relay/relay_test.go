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

// quiet is how long a test watches that nothing comes.
const quiet = 50 * time.Millisecond

var _ = Describe("a relay before an echo server", func() {
	var r *relay.Relay

	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	say := func(c net.Conn) {
		_, err := c.Write([]byte("amber\n"))
		Expect(err).NotTo(HaveOccurred())
	}
	hears := func(c net.Conn) {
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(bufio.NewReader(c).ReadString('\n')).To(Equal("amber\n"))
	}
	hearsNothing := func(c net.Conn) {
		Expect(c.SetReadDeadline(time.Now().Add(quiet))).To(Succeed())
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

	It("holds bytes back while it drops, and loses none", func() {
		c := dial()
		say(c)
		hears(c)
		Expect(r.Set(relay.Drop)).To(Succeed())
		say(c)
		hearsNothing(c)
		n := dial()
		say(n)
		hearsNothing(n)
		Expect(r.Set(relay.Pass)).To(Succeed())
		hears(c)
		hears(n)
	})

	It("makes open connections silent while new ones work", func() {
		c := dial()
		say(c)
		hears(c)
		r.Silence()
		say(c)
		hearsNothing(c)
		n := dial()
		say(n)
		hears(n)
		hearsNothing(c)
	})

	It("resets open connections and new ones", func() {
		c := dial()
		say(c)
		hears(c)
		Expect(r.Set(relay.Reset)).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		n, err := net.Dial("tcp", r.Address())
		if err == nil {
			_, err = n.Read(make([]byte, 1))
		}
		Expect(err).To(HaveOccurred())
		Expect(r.Set(relay.Pass)).To(Succeed())
		n = dial()
		say(n)
		hears(n)
	})

	It("refuses new connections while open ones go on", func() {
		c := dial()
		say(c)
		hears(c)
		Expect(r.Set(relay.Refuse)).To(Succeed())
		_, err := net.Dial("tcp", r.Address())
		Expect(err).To(HaveOccurred())
		say(c)
		hears(c)
		Expect(r.Set(relay.Pass)).To(Succeed())
		n := dial()
		say(n)
		hears(n)
	})

	It("delays each direction", func() {
		const d = 20 * time.Millisecond
		r.Delay(d)
		c := dial()
		b := time.Now()
		say(c)
		hears(c)
		Expect(time.Since(b)).To(BeNumerically(">=", 2*d))
	})
})
