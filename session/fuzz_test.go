package session_test

import (
	"testing"

	"github.com/dragonflypick/dragonflypick/session"
)

func FuzzParseToken(f *testing.F) {
	for _, s := range []string{"1:orders:3/17", "1:orders:3/", "2:orders:1/1", "1:stock:1/1", "1:orders:18446744073709551616/1", ":::"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := session.ParseToken("orders", s)
		if err != nil {
			return
		}
		q, err := session.ParseToken("orders", session.FormatToken("orders", p))
		if err != nil || q != p {
			t.Fatalf("token %q: position %v, but formatted and parsed again %v, %v", s, p, q, err)
		}
	})
}
