package bundle_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/bundle"
)

func TestBundle(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "6"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "Bundle")
}

// newKey generates a key and fails the test on an error.
func newKey(n string) *bundle.Key {
	k, err := bundle.NewKey(n)
	Expect(err).NotTo(HaveOccurred())
	return k
}

// exampleText returns the example bundle for the loopback address.
func exampleText() string {
	b, err := os.ReadFile("../examples/loopback.yaml")
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = Describe("signatures", func() {
	x := context.Background()
	var b *bundle.Bundle
	var anna, ben, ops, boss, untrusted *bundle.Key
	var trust bundle.Trust

	BeforeEach(func() {
		var err error
		b, err = bundle.Parse("loopback.yaml", []byte(exampleText()))
		Expect(err).NotTo(HaveOccurred())
		anna, ben, ops, boss, untrusted = newKey("anna"), newKey("ben"), newKey("ops"), newKey("boss"), newKey("untrusted")
		trust = bundle.Trust{Authors: []*bundle.Key{anna, ben}, Approvers: []*bundle.Key{ops, boss}}
	})

	DescribeTable("are needed from an approver and another trusted key",
		func(pick func() (*bundle.Key, *bundle.Key), reason string) {
			f, s := pick()
			e, err := bundle.Sign(x, b, f, s)
			Expect(err).NotTo(HaveOccurred())
			_, err = bundle.Open(x, e, trust)
			if reason == "" {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			var w *bundle.SignatureError
			Expect(errors.As(err, &w)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(reason))
		},
		Entry("author and approver", func() (*bundle.Key, *bundle.Key) { return anna, ops }, ""),
		Entry("two approvers", func() (*bundle.Key, *bundle.Key) { return ops, boss }, ""),
		Entry("two authors", func() (*bundle.Key, *bundle.Key) { return anna, ben }, "no trusted approver"),
		Entry("an untrusted key and an approver", func() (*bundle.Key, *bundle.Key) { return untrusted, ops }, "another trusted key"),
		Entry("an author and an untrusted key", func() (*bundle.Key, *bundle.Key) { return anna, untrusted }, "no trusted approver"),
		Entry("an untrusted key under an author's name", func() (*bundle.Key, *bundle.Key) {
			k := *untrusted
			k.Name = "anna"
			return &k, ops
		}, "another trusted key"),
	)

	It("are refused if one key signs as author and approver, also under two names", func() {
		k := *ops
		k.Name = "ops-2"
		_, err := bundle.Sign(x, b, &k, ops)
		Expect(err).To(HaveOccurred())
		trust.Authors = append(trust.Authors, &k)
		e, err := bundle.Sign(x, b, untrusted, ops)
		Expect(err).NotTo(HaveOccurred())
		var v struct {
			PayloadType string            `json:"payloadType"`
			Payload     string            `json:"payload"`
			Signatures  []json.RawMessage `json:"signatures"`
		}
		Expect(json.Unmarshal(e, &v)).To(Succeed())
		s := strings.ReplaceAll(string(v.Signatures[1]), `"ops"`, `"ops-2"`)
		v.Signatures[0] = json.RawMessage(s)
		e, err = json.Marshal(v)
		Expect(err).NotTo(HaveOccurred())
		_, err = bundle.Open(x, e, trust)
		Expect(err).To(MatchError(ContainSubstring("another trusted key")))
	})

	It("are refused if the content was changed after signing or the envelope is over a megabyte", func() {
		e, err := bundle.Sign(x, b, anna, ops)
		Expect(err).NotTo(HaveOccurred())
		_, err = bundle.Open(x, []byte(strings.Replace(string(e), `"payload":"e`, `"payload":"f`, 1)), trust)
		Expect(err).To(HaveOccurred())
		_, err = bundle.Open(x, make([]byte, bundle.MaxSize+1), trust)
		Expect(err).To(MatchError(ContainSubstring("over 1048576")))
	})

	It("require a usable set of trusted keys and report every fault in it", func() {
		_, err := bundle.ParseTrust([]string{"x"}, []string{"y:z"})
		var t *bundle.TrustError
		Expect(errors.As(err, &t)).To(BeTrue())
		Expect(t.Faults).To(HaveLen(2))
		Expect(bundle.Trust{Approvers: []*bundle.Key{ops}}.Check()).To(HaveOccurred())
		Expect(bundle.Trust{Authors: []*bundle.Key{ops}}.Check()).To(HaveOccurred())
	})
})

var _ = Describe("parsing", func() {
	DescribeTable("names file, line and path of a fault",
		func(from, to, want string) {
			t := exampleText()
			Expect(t).To(ContainSubstring(from))
			_, err := bundle.Parse("b.yaml", []byte(strings.Replace(t, from, to, 1)))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("slots", "slots: 3, connections: 20}", "slots: 0, connections: 20}", "b.yaml:7:98: groups[0].members[0].slots: must be above zero"),
		Entry("connections", "slots: 3, connections: 20}", "slots: 18, connections: 20}", "groups[0].members[0].connections: must be at least 22"),
		Entry("missing key", "version: 1\n", "", "b.yaml:2"),
		Entry("unknown key", "replica-age", "replica-rage", `b.yaml:26:3: unknown field "replica-rage"`),
		Entry("duplicate key", "note: first version", "version: 2", "b.yaml:3:1: "),
		Entry("duplicate member", "orders-2", "orders-1", "b.yaml:8:16: groups[0].members[1].name: member \"orders-1\" is already used at groups[0].members[0].name"),
		Entry("duplicate address", "127.0.0.1:7002", "127.0.0.1:7001", "groups[0].members[1].address"),
		Entry("shares", "share: 0.1,", "share: 0.2,", "ranks: the shares sum to 1.1, over 1"),
		Entry("read class", "name: invoice", "name: swatch", "read-classes[1].name"),
		Entry("duration", "deadline: 20s", "deadline: soon", "b.yaml:13:26: \"soon\""),
		Entry("unknown group", "groups: [orders]", "groups: [nosuch]", "callers[0].groups[0]: group \"nosuch\" does not exist"),
		Entry("group twice", "groups: [orders]", "groups: [orders, orders]", "is listed twice"),
	)
})

var _ = Describe("versions", func() {
	It("never decrease, in whatever order bundles arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var held *bundle.Signed
			taken := map[uint64]string{}
			for range rapid.IntRange(1, 40).Draw(t, "arrivals") {
				n := &bundle.Signed{Bundle: &bundle.Bundle{Version: rapid.Uint64Range(1, 5).Draw(t, "version")}, Digest: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest")}
				ok, err := bundle.Supersedes(n, held)
				if held != nil && ok && n.Bundle.Version <= held.Bundle.Version {
					t.Fatalf("version fell from %d to %d", held.Bundle.Version, n.Bundle.Version)
				}
				if held != nil && n.Bundle.Version == held.Bundle.Version && (err != nil) != (n.Digest != held.Digest) {
					t.Fatalf("same version, other content: error %v", err)
				}
				if ok {
					held = n
					if taken[n.Bundle.Version] != "" {
						t.Fatalf("version %d twice in force", n.Bundle.Version)
					}
					taken[n.Bundle.Version] = n.Digest
				}
			}
		})
	})
})
