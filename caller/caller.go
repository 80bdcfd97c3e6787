// Package caller serves callers over the PostgreSQL protocol: it authenticates
// them, keeps their sessions, and forwards each statement to the owner of a
// member that can run it. Package entry is the counterpart on the users' platform.
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
	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

// Limits of logins.
const (
	// loginTimeout limits the duration of a login.
	loginTimeout = 10 * time.Second
	// maxConcurrentLogins limits the logins in progress; further connections
	// wait.
	maxConcurrentLogins = 256
)

// Request is a statement outside a transaction, or the first of a transaction,
// that needs a backend server.
type Request struct {
	Header peer.Header
	// Primary requires the primary, also for a read.
	Primary bool
	// Tried holds the members that have failed to run the request.
	Tried map[string]bool
	// Spilled is set if the request goes to another member because the owner of
	// a tried member was overloaded.
	Spilled bool
}

// Route describes where a request was sent.
type Route struct {
	Stream *peer.Stream
	Member string
	Rank   bundle.Rank
	// OtherRegion is set if the member is in another region.
	OtherRegion bool
	// ReservedBytes is the size reserved for the response in the region link's
	// budget, ReceivedBytes its actual size.
	ReservedBytes int
	ReceivedBytes int
}

// Router finds an owner for each request.
type Router interface {
	// Open opens a stream to the owner of a member that may run the request,
	// and sends the header.
	Open(x context.Context, r Request) (Route, error)
	// Release must be called once the stream of the route has ended.
	Release(r Route)
	// RecordVerdict records the verdict of a member's owner on a request.
	RecordVerdict(r Request, member string, v peer.Verdict)
	// PrimaryPosition returns the primary's log position at the time of the call
	// or later.
	PrimaryPosition(x context.Context, group string) (logpos.Position, error)
}

// Config holds a server's settings.
type Config struct {
	// Listen is the IP address and port that callers connect to.
	Listen string
	// TLS is the configuration offered to callers; nil disables TLS.
	TLS *tls.Config
	// Bundle returns the bundle in force, or nil.
	Bundle func() *bundle.Bundle
	Router Router
	// HostID is the ID of this host; its tag is part of cancel keys.
	HostID string
	// ForwardCancel forwards a cancel request to the hosts with the given tag.
	ForwardCancel func(x context.Context, tag uint16, pid, secret uint32)
	Log           hclog.Logger
}

// Server accepts and serves the connections of callers.
type Server struct {
	config   Config
	listener net.Listener
	// logins holds an element for each login in progress.
	logins chan struct{}

	mu           sync.Mutex
	sessions     map[cancelKey]*callerSession
	draining     bool
	retryBudgets *budget.Retry
}

// cancelKey identifies a session in cancel requests.
type cancelKey struct{ pid, secret uint32 }

// New returns a server whose listening socket is open.
func New(c Config) (*Server, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Server{config: c, listener: l, logins: make(chan struct{}, maxConcurrentLogins), sessions: map[cancelKey]*callerSession{}, retryBudgets: budget.NewRetry(budget.DefaultRetry())}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SessionCount returns the number of logged-in callers.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Run accepts and serves callers until the context ends. After Drain it waits
// for the end of the context.
func (s *Server) Run(x context.Context) error {
	stop := context.AfterFunc(x, func() { _ = s.listener.Close() })
	defer stop()
	g := &errgroup.Group{}
	err := s.acceptConns(x, g)
	_ = g.Wait()
	if s.isDraining() {
		<-x.Done()
	}
	if x.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) acceptConns(x context.Context, g *errgroup.Group) error {
	return contain.Accept(x, s.listener, s.config.Log, func(c net.Conn) {
		g.Go(func() error {
			// The panic is logged; the caller sees the connection end.
			_ = contain.Run(s.config.Log, "caller connection", func() error {
				s.serveConn(x, c)
				return nil
			})
			return nil
		})
	})
}

func (s *Server) serveConn(x context.Context, c net.Conn) {
	stop := context.AfterFunc(x, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	n, err := s.login(x, c)
	if err != nil {
		s.config.Log.Info("login failed", "from", c.RemoteAddr().String(), "error", err)
		return
	}
	if n == nil {
		return
	}
	defer s.removeSession(n)
	defer func() { _ = n.conn.Close() }()
	n.run(x)
}

// addSession registers a session under a new cancel key. It fails while the
// server drains and once the bundle's limit of callers is reached.
func (s *Server) addSession(n *callerSession) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &RefusedError{Code: codeShutdown, Message: "the proxy is shutting down"}
	}
	if b := s.config.Bundle(); b != nil && len(s.sessions) >= b.Limits.Callers {
		return &RefusedError{Code: codeTooManyConnections, Message: "too many callers on this host"}
	}
	for {
		n.cancelKey = newCancelKey(HostTag(s.config.HostID))
		if _, ok := s.sessions[n.cancelKey]; !ok {
			s.sessions[n.cancelKey] = n
			return nil
		}
	}
}

// hostTagBits is the number of bits of a cancel key's process ID that hold the
// host's tag. The bits below are random; the sign bit is never set.
const hostTagBits = 15

// HostTag returns the tag of a host in the cancel keys of its sessions. Several
// hosts may share a tag.
func HostTag(host string) uint16 { return uint16(xxhash.Sum64String(host) & (1<<hostTagBits - 1)) }

func newCancelKey(tag uint16) cancelKey {
	var b [8]byte
	_, _ = rand.Read(b[:])
	low := binary.BigEndian.Uint32(b[:4]) & (1<<(31-hostTagBits) - 1)
	return cancelKey{pid: uint32(tag)<<(31-hostTagBits) | low, secret: binary.BigEndian.Uint32(b[4:])}
}

// cancelOrForward cancels a statement of this host, or forwards the request to
// the hosts whose tag is in the process ID.
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

// Cancel cancels the running statement of the session with the given cancel
// key, and reports whether this server has the session.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	n := s.sessions[cancelKey{pid: pid, secret: secret}]
	s.mu.Unlock()
	if n == nil {
		return false
	}
	n.cancelStatement()
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Drain stops accepting callers, closes idle sessions, and waits until the
// others have finished their transaction or the context ends.
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
	for s.SessionCount() > 0 {
		select {
		case <-x.Done():
			return
		case <-t.C:
		}
	}
}

// drainPollInterval is how often Drain checks for remaining sessions.
const drainPollInterval = 10 * time.Millisecond
