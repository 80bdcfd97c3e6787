package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/wire"
)

// FuzzLogin checks that no bytes sent before the login crash the program or
// create a session.
func FuzzLogin(f *testing.F) {
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2})
	f.Add(append([]byte{0, 0, 0, 33, 0, 3, 0, 0}, []byte("user\x00shop\x00database\x00x\x00\x00")...))
	s := &Server{
		config: Config{Bundle: func() *bundle.Bundle { return &bundle.Bundle{} }, Log: hclog.NewNullLogger()},
		logins: make(chan struct{}, 1), sessions: map[cancelKey]*callerSession{},
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a, z := net.Pipe()
		g := &errgroup.Group{}
		g.Go(func() error {
			_ = a.SetDeadline(time.Now().Add(time.Second))
			_, _ = a.Write(b)
			return a.Close()
		})
		n, err := s.login(context.Background(), z)
		_ = z.Close()
		_ = g.Wait()
		if n != nil || err == nil && len(s.sessions) > 0 {
			t.Fatalf("a session was created from %q", b)
		}
	})
}

// FuzzPlan checks that no messages of the extended query protocol crash the
// program.
func FuzzPlan(f *testing.F) {
	f.Add([]byte("s\x00SELECT 1\x00\x00\x00"), []byte("p\x00s\x00\x00\x00"), []byte("Ss\x00"))
	f.Add([]byte{}, []byte{0}, []byte{'S'})
	f.Fuzz(func(_ *testing.T, p, b, d []byte) {
		n := &callerSession{preparedStatements: map[string]preparedStatement{}}
		_, _ = n.rewriteBatch([]wire.Message{{Type: wire.Parse, Body: p}, {Type: wire.Bind, Body: b}, {Type: wire.Describe, Body: d}, {Type: wire.Close, Body: d}, {Type: wire.Sync}})
	})
}
