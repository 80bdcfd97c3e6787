package consul_test

import (
	"context"
	"errors"
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/kv"
)

const seed = "6"

func TestConsul(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.checks", "30"); err != nil {
		t.Fatal(err)
	}
	t.Log("rapid seed", seed)
	RunSpecs(t, "Consul")
}

var _ = Describe("a push", func() {
	x := context.Background()
	var s *kv.Server
	var c *consul.Client
	var author, approver *bundle.Key
	var trust bundle.Trust

	BeforeEach(func() {
		var err error
		s, err = kv.NewServer(kv.Config{Listen: "127.0.0.1:0"})
		Expect(err).NotTo(HaveOccurred())
		y, stop := context.WithCancel(x)
		g := &errgroup.Group{}
		g.Go(func() error { return s.Run(y) })
		DeferCleanup(func() {
			stop()
			Expect(g.Wait()).To(Succeed())
		})
		c = consul.New(consul.Config{Address: s.Address()})
		author, err = bundle.NewKey("author")
		Expect(err).NotTo(HaveOccurred())
		approver, err = bundle.NewKey("approver")
		Expect(err).NotTo(HaveOccurred())
		trust = bundle.Trust{Authors: []*bundle.Key{author}, Approvers: []*bundle.Key{approver}}
	})

	signed := func(version uint64, note string) []byte {
		b := cluster.NewBundle()
		b.Version, b.Note = version, note
		b.Groups = []bundle.Group{{Name: "g", Members: []bundle.Member{{
			Name: "m", Address: "127.0.0.1:1", Region: "r", FailureDomain: "d", Slots: 1, Connections: 9,
		}}}}
		e, err := bundle.Sign(x, b, author, approver)
		Expect(err).NotTo(HaveOccurred())
		return e
	}
	readStored := func() *bundle.Signed {
		r, err := c.Get(x, consul.BundleKey, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Pairs).To(HaveLen(1))
		h, err := bundle.Open(x, r.Pairs[0].Value, trust)
		Expect(err).NotTo(HaveOccurred())
		return h
	}

	It("reads back the bundle after a lost response, and writes nothing if it is repeated", func() {
		s.SetFault(kv.Fault{LoseAnswers: 1})
		_, err := consul.Push(x, c, signed(1, "first"), trust)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Counts().Writes).To(Equal(int64(1)))
		_, err = consul.Push(x, c, signed(1, "first"), trust)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Counts().Writes).To(Equal(int64(1)))
	})

	It("returns UnknownOutcomeError while the service does not answer", func() {
		s.SetFault(kv.Fault{Down: true})
		_, err := consul.Push(x, c, signed(1, "first"), trust)
		var u *consul.UnknownOutcomeError
		Expect(errors.As(err, &u)).To(BeTrue())
	})

	It("succeeds for exactly one of several concurrent operators, with and without a lost response", func() {
		v := uint64(0)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v++
			n := rapid.IntRange(2, 4).Draw(t, "operators")
			s.SetFault(kv.Fault{LoseAnswers: rapid.IntRange(0, 1).Draw(t, "lost answers")})
			errs := make([]error, n)
			g := &errgroup.Group{}
			for i := range n {
				e := signed(v, string(rune('a'+i)))
				g.Go(func() error {
					time.Sleep(time.Duration(i%2) * time.Millisecond)
					_, errs[i] = consul.Push(x, c, e, trust)
					return nil
				})
			}
			_ = g.Wait()
			won := 0
			for i, err := range errs {
				var u *consul.SupersededError
				switch {
				case err == nil:
					won++
					if h := readStored(); h.Bundle.Note != string(rune('a'+i)) || h.Bundle.Version != v {
						t.Fatalf("operator %d won but %q of version %d is in force", i, h.Bundle.Note, h.Bundle.Version)
					}
				case !errors.As(err, &u) || u.Version != v:
					t.Fatalf("operator %d got %v", i, err)
				}
			}
			if won != 1 {
				t.Fatalf("%d operators won", won)
			}
		})
	})

	It("refuses a lower version, another bundle of the same version, and a bundle without the signature of a trusted approver", func() {
		_, err := consul.Push(x, c, signed(2, "b"), trust)
		Expect(err).NotTo(HaveOccurred())
		for _, e := range [][]byte{signed(1, "a"), signed(2, "other")} {
			_, err = consul.Push(x, c, e, trust)
			Expect(err).To(MatchError(ContainSubstring("superseded by version 2")))
		}
		approver, author = author, approver
		trust.Authors = nil
		_, err = consul.Push(x, c, signed(3, "c"), bundle.Trust{Authors: []*bundle.Key{author}, Approvers: []*bundle.Key{author}})
		Expect(err).To(HaveOccurred())
		Expect(s.Counts().Writes).To(Equal(int64(1)))
	})
})
