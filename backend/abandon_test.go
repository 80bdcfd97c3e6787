package backend_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/standin/database"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

var _ = Describe("a member that doesn't notice the loss of connections", func() {
	// connections is the member's limit; two are left for the control connection and
	// the one that replaces it.
	const connections = 5
	x := context.Background()
	var r *relay.Relay
	var c backend.Config

	BeforeEach(func() {
		m, err := database.New(database.Config{Listen: "127.0.0.1:0", Slots: 2, MaxConnections: connections})
		Expect(err).NotTo(HaveOccurred())
		y, stop := context.WithCancel(x)
		done := make(chan error, 1)
		DeferCleanup(func() {
			stop()
			Eventually(done).Should(Receive())
		})
		g := &errgroup.Group{}
		g.Go(func() error {
			done <- m.Run(y)
			return nil
		})
		r, err = relay.Start(relay.Config{Listen: "127.0.0.1:0", Target: m.Address()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Stop)
		c = backend.Config{Address: r.Address(), User: "u", Database: "d"}
	})

	// age waits until idle connections are due for a check.
	age := func() { time.Sleep(1100 * time.Millisecond) }

	It("has room again once the pool has ended the sessions that it abandoned", func() {
		p := backend.NewPool(c, connections-2)
		DeferCleanup(p.Close)
		k := backend.NewControl(c)
		DeferCleanup(k.Close)
		for range 3 {
			_, err := k.Status(x)
			Expect(err).NotTo(HaveOccurred())
			p.Warm(x, connections-2)
			Expect(p.IdleCount()).To(Equal(connections - 2))
			r.Silence()
			age()
			p.CheckIdle()
			Expect(p.HasAbandoned()).To(BeTrue())
			p.EndAbandoned(x, func(x context.Context, pid uint32) bool {
				ended, err := k.TerminateSession(x, pid)
				return err == nil && ended
			})
			Expect(p.HasAbandoned()).To(BeFalse())
		}
	})

	It("has room again once a control connection has replaced another one", func() {
		k := backend.NewControl(c)
		DeferCleanup(k.Close)
		for range connections + 1 {
			_, err := k.Status(x)
			Expect(err).NotTo(HaveOccurred())
			r.Silence()
		}
	})
})
