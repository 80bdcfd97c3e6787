package bundle_test

import (
	"context"
	"testing"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// FuzzOpen checks that no envelope without a trusted signature is accepted.
func FuzzOpen(f *testing.F) {
	k, err := bundle.ParsePublicKey("ops:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")
	if err != nil {
		f.Fatal(err)
	}
	l, err := bundle.ParsePublicKey("anna:AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=")
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"payloadType":"application/vnd.dragonflypick.bundle+json","payload":"e30=","signatures":[{"keyid":"ops","sig":"AA=="},{"keyid":"a","sig":"AA=="}]}`))
	f.Add([]byte(`{"payloadType":"x","payload":"%","signatures":[]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := bundle.Open(context.Background(), b, bundle.Trust{Approvers: []*bundle.Key{k, l}}); err == nil {
			t.Fatalf("accepted %q", b)
		}
	})
}

// FuzzParse checks that malformed YAML causes no panic, and that Parse accepts no
// bundle with faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte("version: 1\ngroups:\n  - name: orders\n"))
	f.Add([]byte("version: 1\nversion: 2\n"))
	f.Add([]byte("ranks: {urgent: {deadline: x}}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := bundle.Parse("x.yaml", b)
		if err == nil && bundle.Check(v) != nil {
			t.Fatalf("accepted a bundle with faults: %q", b)
		}
	})
}
