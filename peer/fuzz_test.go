package peer

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/dragonflypick/dragonflypick/wire"
)

// memoryConn is a connection that reads from memory and discards what is
// written.
type memoryConn struct{ *bytes.Reader }

func (memoryConn) Write(b []byte) (int, error)      { return len(b), nil }
func (memoryConn) Close() error                     { return nil }
func (memoryConn) LocalAddr() net.Addr              { return nil }
func (memoryConn) RemoteAddr() net.Addr             { return nil }
func (memoryConn) SetDeadline(time.Time) error      { return nil }
func (memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (memoryConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzHello checks that acceptHello rejects every hello without a valid proof
// of the shared secret.
func FuzzHello(f *testing.F) {
	f.Add([]byte(`{"host":{"id":"a"},"want":"","nonce":"AA==","proof":"AA=="}` + "\n"))
	f.Add([]byte("{}\n"))
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := acceptHello(memoryConn{bytes.NewReader(b)}, "secret", "self"); err == nil {
			t.Fatalf("accepted hello %q", b)
		}
	})
}

// FuzzHeader checks that malformed headers and verdicts cause no panic.
func FuzzHeader(f *testing.F) {
	f.Add([]byte{'h', 0, 0, 0, 6, '{', '}'})
	f.Add([]byte{'h', 0, 0, 0, 3})
	f.Add([]byte{'v', 255, 255, 255, 255})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = NewStream(memoryConn{bytes.NewReader(b)}).ReadHeader()
		_, _ = ParseVerdict(wire.Message{Type: TypeVerdict, Body: b})
	})
}
