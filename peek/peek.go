// Package peek looks at the input of a connection without reading it.
package peek

import (
	"io"
	"net"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peek")

// Socket is the socket of a connection. It is not safe for concurrent use.
type Socket struct {
	raw syscall.RawConn
	// look is peek; it is kept since a method value is an allocation.
	look func(fd uintptr)
	// buffer, n and err are the arguments and the result of peek.
	buffer [1]byte
	n      int
	err    error
}

// New returns the socket of a connection, or nil if it has none.
func New(c net.Conn) *Socket {
	k, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := k.SyscallConn()
	if err != nil {
		return nil
	}
	s := &Socket{raw: r}
	s.look = s.peek
	return s
}

// peek is a single system call, which doesn't block.
func (s *Socket) peek(fd uintptr) {
	s.n, _, s.err = unix.Recvfrom(int(fd), s.buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
}

// Pending reports whether input has arrived; nil has none. The error wraps io.EOF if the
// other end has closed the connection.
func (s *Socket) Pending() (bool, error) {
	if s == nil {
		return false, nil
	}
	if err := s.raw.Control(s.look); err != nil {
		return false, Error.Wrap(err)
	}
	switch {
	case s.err == unix.EAGAIN || s.err == unix.EINTR:
		return false, nil
	case s.err != nil:
		return false, Error.Wrap(s.err)
	case s.n == 0:
		return false, Error.Wrap(io.EOF)
	default:
		return true, nil
	}
}
