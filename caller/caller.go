// Package caller serves callers over the PostgreSQL protocol: it logs them in,
// keeps their sessions, and sends each statement to where it can be served.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Error is the class of all failures of this package.
var Error = errs.Class("caller")

// Limits before log-in.
const (
	// loginTimeout bounds the log-in.
	loginTimeout = 10 * time.Second
	// maxConcurrentLogins is the number of log-ins that run at a time.
	maxConcurrentLogins = 256
)

// Request is a statement, or a transaction's first, that needs a backend
// server.
type Request struct {
	Header peer.Header
	// Primary asks for the primary even for a read.
	Primary bool
	// Tried are members that have declined the request.
	Tried map[string]bool
	// Spilled tells that the owner of a tried member was overloaded.
	Spilled bool
}

// Route is where a request was sent.
type Route struct {
	Stream *peer.Stream
	Member string
	Rank   bundle.Rank
	// OtherRegion tells that the member stands in another region.
	OtherRegion bool
	// ReservedBytes are bytes of the region link that were reserved for the answer,
	// and Received those that came.
	ReservedBytes int
	ReceivedBytes int
}

// Router finds owners for requests.
type Router interface {
	// Open opens a stream to the owner of a member that may serve the request,
	// and sends the header.
	Open(x context.Context, r Request) (Route, error)
	// Release tells that the stream that Open gave has ended.
	Release(r Route)
	// Observe takes in what the owner of a member has said to a request.
	Observe(r Request, member string, v peer.Verdict)
	// Floor returns the primary's position as of the call or later.
	Floor(x context.Context, group string) (logpos.Position, error)
}

// Config holds a server's settings.
type Config struct {
	// Listen is the IP address and port for callers.
	Listen string
	// TLS is offered to callers; nil for none.
	TLS *tls.Config
	// Bundle returns the bundle in force, or nil.
	Bundle func() *bundle.Bundle
	Router Router
	// HostID is the ID of this host; cancel keys carry its mark.
	HostID string
	// ForwardCancel passes a cancel request on to the hosts with the given mark.
	ForwardCancel func(x context.Context, mark uint16, pid, secret uint32)
	Log           hclog.Logger
}

// Server accepts callers.
type Server struct {
	config   Config
	listener net.Listener
	// logins holds a token for each log-in in progress.
	logins chan struct{}

	mu           sync.Mutex
	sessions     map[cancelKey]*callerSession
	draining     bool
	retryBudgets *budget.Retry
}

// cancelKey identifies a session in cancel requests.
type cancelKey struct{ pid, secret uint32 }

// New returns a server with an open listening socket.
func New(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Server{config: c, listener: l, logins: make(chan struct{}, maxConcurrentLogins), sessions: map[cancelKey]*callerSession{}, retryBudgets: budget.NewRetry(budget.DefaultRetry())}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sessions returns the number of logged-in callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Run accepts callers until the context ends.
func (s *Server) Run(x context.Context) error {
	stop := context.AfterFunc(x, func() { _ = s.listener.Close() })
	defer stop()
	g := &errgroup.Group{}
	err := s.accept(x, g)
	_ = g.Wait()
	if s.isDraining() {
		<-x.Done()
	}
	if x.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) accept(x context.Context, g *errgroup.Group) error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return Error.Wrap(err)
		}
		g.Go(func() error {
			s.serve(x, c)
			return nil
		})
	}
}

func (s *Server) serve(x context.Context, c net.Conn) {
	stop := context.AfterFunc(x, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	n, err := s.login(x, c)
	if err != nil {
		s.config.Log.Info("caller refused", "from", c.RemoteAddr().String(), "error", err)
		return
	}
	if n == nil {
		return
	}
	defer s.removeSession(n)
	defer func() { _ = n.conn.Close() }()
	n.run(x)
}

// addSession registers a session under a fresh key.
func (s *Server) addSession(n *callerSession) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &RefusedError{Code: codeShutdown, Message: "the proxy is shutting down"}
	}
	if b := s.config.Bundle(); b != nil && len(s.sessions) >= b.Limits.Callers {
		return &RefusedError{Code: codeTooMany, Message: "too many callers on this host"}
	}
	for {
		n.cancelKey = newCancelKey(HostTag(s.config.HostID))
		if _, ok := s.sessions[n.cancelKey]; !ok {
			s.sessions[n.cancelKey] = n
			return nil
		}
	}
}

// hostTagBits is the number of bits of a process ID that hold the host's mark;
// the bits below it are random, and the sign bit is never set.
const hostTagBits = 15

// HostTag returns the mark of a host in the cancel keys of its sessions.
func HostTag(host string) uint16 { return uint16(xxhash.Sum64String(host) & (1<<hostTagBits - 1)) }

func newCancelKey(mark uint16) cancelKey {
	var b [8]byte
	_, _ = rand.Read(b[:])
	low := binary.BigEndian.Uint32(b[:4]) & (1<<(31-hostTagBits) - 1)
	return cancelKey{pid: uint32(mark)<<(31-hostTagBits) | low, secret: binary.BigEndian.Uint32(b[4:])}
}

// cancelOrForward cancels a statement of this host, or passes the request on to
// the hosts whose mark the key carries.
func (s *Server) cancelOrForward(x context.Context, pid, secret uint32) {
	m := uint16(pid >> (31 - hostTagBits))
	if !s.Cancel(pid, secret) && s.config.ForwardCancel != nil {
		s.config.ForwardCancel(x, m, pid, secret)
	}
}

func (s *Server) removeSession(n *callerSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, n.cancelKey)
}

// Cancel cancels the running statement of the session with the given key and
// reports whether there is one.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	n := s.sessions[cancelKey{pid: pid, secret: secret}]
	s.mu.Unlock()
	if n == nil {
		return false
	}
	n.cancel()
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Drain stops taking callers, ends idle sessions, and waits until the others
// have ended their transaction or the context ends.
func (s *Server) Drain(x context.Context) {
	s.mu.Lock()
	s.draining = true
	_ = s.listener.Close()
	for _, n := range s.sessions {
		n.closeWhenIdle()
	}
	s.mu.Unlock()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.Sessions() > 0 {
		select {
		case <-x.Done():
			return
		case <-t.C:
		}
	}
}

// drainPollInterval is how often Drain looks for sessions.
const drainPollInterval = 10 * time.Millisecond
