package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gate"
)

func TestOwner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "owner")
}

var _ = Describe("a server whose owner hands it over", func() {
	x := context.Background()
	m := &bundle.Member{Name: "m", Address: "127.0.0.1:1", Slots: 1, Connections: 9}
	arrival := func(inTransaction bool) admission.Arrived {
		return admission.Arrived{Caller: "c", Deadline: time.Now().Add(time.Minute), InTransaction: inTransaction}
	}
	depth := func(s *server) func() int {
		return func() int {
			n := 0
			for _, d := range s.slots.Depth() {
				n += d
			}
			return n
		}
	}

	It("redirects waiting requests, and lets running statements and open transactions end", func() {
		s := newServer(backend.Config{}, &bundle.Bundle{}, m)
		running, err := s.acquireSlot(x, arrival(false))
		Expect(err).NotTo(HaveOccurred())
		g := &errgroup.Group{}
		errs := make([]error, 6)
		for i := range errs {
			g.Go(func() error {
				var k gate.Slot
				if k, errs[i] = s.acquireSlot(x, arrival(i == 0)); errs[i] == nil {
					k.Release()
				}
				return nil
			})
		}
		Eventually(depth(s)).Should(Equal(len(errs) - 1))
		s.handOver()
		Expect(g.Wait()).To(Succeed())
		Expect(errs[0]).NotTo(HaveOccurred())
		later, err := s.acquireSlot(x, arrival(true))
		Expect(err).NotTo(HaveOccurred())
		later.Release()
		running.Release()
		for _, e := range errs[1:] {
			var v *MovedError
			Expect(errors.As(e, &v)).To(BeTrue())
		}
		Expect(s.isIdle()).To(BeTrue())
	})

	It("applies new limits without closing connections in use, and replaces a server whose address has changed", func() {
		o := New(Config{})
		b := &bundle.Bundle{Groups: []bundle.Group{{Name: "g", Members: []bundle.Member{*m}}}}
		s := o.server(b, &b.Groups[0], m)
		_, err := s.acquireSlot(x, arrival(false))
		Expect(err).NotTo(HaveOccurred())
		b.Groups[0].Members[0].Slots = 2
		o.Configure(b)
		_, err = s.acquireSlot(x, arrival(false))
		Expect(err).NotTo(HaveOccurred())
		b.Groups[0].Members[0].Address = "127.0.0.1:2"
		o.Configure(b)
		Expect(o.server(b, &b.Groups[0], &b.Groups[0].Members[0])).NotTo(Equal(s))
		Expect(s.ownership.Err()).To(HaveOccurred())
	})
})
