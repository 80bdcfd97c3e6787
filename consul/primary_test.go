package consul_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/standin/kv"
)

var _ = Describe("the published primary", func() {
	It("keeps the highest term when several writers publish concurrently", func() {
		x, stop := context.WithCancel(context.Background())
		s, err := kv.NewServer(kv.Config{Listen: "127.0.0.1:0"})
		Expect(err).NotTo(HaveOccurred())
		g := &errgroup.Group{}
		g.Go(func() error { return s.Run(x) })
		c := consul.New(consul.Config{Address: s.Address()})
		r, err := c.PublishedPrimary(x, "orders")
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(BeZero())
		w := &errgroup.Group{}
		for _, t := range []uint64{3, 5, 2, 4} {
			w.Go(func() error { return c.PublishPrimary(x, "orders", consul.PrimaryRecord{Term: t, Primary: "orders-1"}) })
		}
		Expect(w.Wait()).To(Succeed())
		Expect(c.PublishPrimary(x, "orders", consul.PrimaryRecord{Term: 5, Primary: "orders-2"})).To(Succeed())
		r, err = c.PublishedPrimary(x, "orders")
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(consul.PrimaryRecord{Term: 5, Primary: "orders-1"}))
		stop()
		Expect(g.Wait()).To(Succeed())
		Expect(c.PublishPrimary(context.Background(), "orders", consul.PrimaryRecord{Term: 6})).NotTo(Succeed())
	})
})
