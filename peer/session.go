package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/zeebo/errs"
)

// session is a yamux session whose blocked reads end when it shuts down.
//
// A read of a yamux stream busy-loops from the shutdown of its session until the
// session's receive loop ends. On a single processor the busy loop keeps the
// receive loop from ending. So each stream gets a read deadline in the past
// before the connection is closed.
type session struct {
	*yamux.Session
	conn *sessionConn
	use  linkUse

	mu sync.Mutex
	// check is the running check of the link, or nil.
	check *linkCheck
}

// newSession starts a session over a connection; open is yamux.Client or
// yamux.Server.
func newSession(c net.Conn, open func(net.Conn) (*yamux.Session, error)) (*session, error) {
	s := &session{}
	s.use.markReceived()
	s.conn = &sessionConn{Conn: c, use: &s.use, streams: map[*sessionStream]bool{}}
	y, err := open(s.conn)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.Session = y
	return s, nil
}

// activity returns the activity of the session's link.
func (s *session) activity() linkActivity { return s.use.activity(s.NumStreams()) }

// openStream opens a stream.
func (s *session) openStream() (net.Conn, error) {
	t, err := s.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return s.conn.addStream(t)
}

// acceptStream waits for a stream that the other end opens.
func (s *session) acceptStream() (net.Conn, error) {
	t, err := s.AcceptStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return s.conn.addStream(t)
}

// sessionConn is the connection under a session.
type sessionConn struct {
	net.Conn
	use *linkUse

	mu      sync.Mutex
	streams map[*sessionStream]bool
	// closed is set by Close; add then refuses new streams.
	closed bool
}

func (c *sessionConn) addStream(t *yamux.Stream) (net.Conn, error) {
	s := &sessionStream{Stream: t, conn: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, Error.Wrap(errs.Combine(yamux.ErrSessionShutdown, t.Close()))
	}
	c.streams[s] = true
	return s, nil
}

// Read implements net.Conn.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.use.markReceived()
	}
	return n, err
}

// Close ends the reads of all streams, then the connection. yamux calls it
// right after it has marked the session as shut down.
func (c *sessionConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for s := range c.streams {
		_ = s.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// sessionStream is a stream that is registered with its connection while open.
type sessionStream struct {
	*yamux.Stream
	conn *sessionConn
}

// Close implements net.Conn. It also ends a read, which sessionConn.Close can't do any
// more.
func (s *sessionStream) Close() error {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	s.conn.mu.Lock()
	delete(s.conn.streams, s)
	s.conn.mu.Unlock()
	return s.Stream.Close()
}
