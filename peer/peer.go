// Package peer connects daemons with each other: one multiplexed connection
// for a pair, with a stream for control calls and one for each statement or
// transaction.
package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Error is the class of all failures of this package.
var Error = errs.Class("peer")

// Timing of links.
const (
	// dialTimeout bounds opening a link.
	dialTimeout = 500 * time.Millisecond
	// keepAlive is how often a silent link is checked.
	keepAlive = 500 * time.Millisecond
	// writeTimeout ends a link whose other end doesn't answer.
	writeTimeout = time.Second
	// idleTimeout closes a link that carried nothing.
	idleTimeout = 2 * time.Minute
)

// The first byte of a stream tells its use.
const (
	useControl   = byte('c')
	useStatement = byte('s')
)

// Config holds a node's settings.
type Config struct {
	// Listen is the IP address and port for other daemons.
	Listen string
	// Secret is shared by all daemons; it must not be empty.
	Secret string
	// Self is sent to the daemons that this one calls.
	Self membership.Host
	Log  hclog.Logger
	// HandleStream handles a statement stream; it closes the stream.
	HandleStream func(context.Context, *Stream)
	// HandleCall answers a control call.
	HandleCall func(context.Context, *jsonrpc2.Request) (any, error)
	// OnLinkFailed is told of a host whose link failed, Seen of one that answered.
	OnLinkFailed func(id string)
	OnAnswer     func(id string)
	// OnHostConnected is told of a host that opened a link to this one.
	OnHostConnected func(membership.Host)
}

// Node holds the links of one daemon. It is safe for concurrent use.
type Node struct {
	c Config
	l net.Listener
	g *errgroup.Group
	x context.Context

	// bytes counts what crosses to and from other regions.
	bytes *prometheus.CounterVec

	mu    sync.Mutex
	links map[string]*link
	// closed tells that new links are to end at once.
	closed bool
}

// link is an open connection to another daemon.
type link struct {
	id   string
	s    *session
	c    *jsonrpc2.Conn
	used time.Time
	// ready is closed when s, c and err are set.
	ready chan struct{}
	err   error
}

// New returns a node with an open listening socket.
func New(c Config) (*Node, error) {
	if c.Secret == "" {
		return nil, Error.Wrap(&ProtocolError{Reason: "the shared secret is empty"})
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g, x := errgroup.WithContext(context.Background())
	return &Node{c: c, l: l, g: g, x: x, bytes: newBytes(), links: map[string]*link{}}, nil
}

// Address returns the address that the node listens on.
func (n *Node) Address() string { return n.l.Addr().String() }

// SetSelf replaces the description of the own host.
func (n *Node) SetSelf(h membership.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.c.Self = h
}

// Run serves other daemons until the context ends.
func (n *Node) Run(x context.Context) error {
	stop := context.AfterFunc(x, func() {
		_ = n.l.Close()
		n.closeLinks()
	})
	defer stop()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return n.accept(x, g) })
	g.Go(func() error { return n.sweep(x) })
	err := g.Wait()
	if x.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) accept(x context.Context, g *errgroup.Group) error {
	for {
		c, err := n.l.Accept()
		if err != nil {
			return Error.Wrap(err)
		}
		g.Go(func() error {
			if err := n.serve(x, c); err != nil && x.Err() == nil {
				n.c.Log.Debug("link ended", "from", c.RemoteAddr().String(), "error", err)
			}
			return nil
		})
	}
}

// sweep closes links that have been idle.
func (n *Node) sweep(x context.Context) error {
	t := time.NewTicker(idleTimeout / 4)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		n.mu.Lock()
		for id, l := range n.links {
			if l.s != nil && l.s.NumStreams() <= 1 && time.Since(l.used) > idleTimeout {
				_ = l.s.Close()
				delete(n.links, id)
			}
		}
		n.mu.Unlock()
	}
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.links {
		if l.s != nil {
			_ = l.s.Close()
		}
	}
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 2 * writeTimeout
	c.LogOutput = io.Discard
	return c
}

func clientSession(c net.Conn) (*yamux.Session, error) { return yamux.Client(c, config()) }

func serverSession(c net.Conn) (*yamux.Session, error) { return yamux.Server(c, config()) }

// serve handles a link that another daemon has opened.
func (n *Node) serve(x context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	h, err := acceptHello(c, n.c.Secret, n.c.Self.ID)
	if err != nil {
		return err
	}
	n.c.OnHostConnected(h)
	s, err := newSession(n.counted(c, h.Region), serverSession)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(x, func() { _ = s.Close() })
	defer stop()
	g, x := errgroup.WithContext(x)
	for {
		t, err := s.acceptStream()
		if err != nil {
			_ = s.Close()
			_ = g.Wait()
			return err
		}
		g.Go(func() error {
			n.serveStream(x, t)
			return nil
		})
	}
}

func (n *Node) serveStream(x context.Context, t net.Conn) {
	var b [1]byte
	if _, err := io.ReadFull(t, b[:]); err != nil {
		_ = t.Close()
		return
	}
	switch b[0] {
	case useStatement:
		n.c.HandleStream(x, NewStream(t))
	case useControl:
		h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(x context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			return n.c.HandleCall(x, r)
		}))
		c := jsonrpc2.NewConn(x, jsonrpc2.NewPlainObjectStream(t), h, n.logger())
		<-c.DisconnectNotify()
	default:
		_ = t.Close()
	}
}

// Call makes a control call to a host. It returns an *UnsentError if there was
// no link to send the call on.
func (n *Node) Call(x context.Context, h membership.Host, method string, params, result any) error {
	l, err := n.link(x, h)
	if err != nil {
		return Error.Wrap(&UnsentError{Err: err})
	}
	if err := l.c.Call(x, method, params, result); err != nil {
		return Error.Wrap(err)
	}
	n.c.OnAnswer(h.ID)
	return nil
}

// Open opens a statement stream to a host.
func (n *Node) Open(x context.Context, h membership.Host) (*Stream, error) {
	l, err := n.link(x, h)
	if err != nil {
		return nil, err
	}
	t, err := l.s.openStream()
	if err != nil {
		n.drop(l)
		return nil, err
	}
	if _, err := t.Write([]byte{useStatement}); err != nil {
		n.drop(l)
		return nil, Error.Wrap(err)
	}
	return NewStream(t), nil
}

// link returns the open link to a host, or opens it.
func (n *Node) link(x context.Context, h membership.Host) (*link, error) {
	n.mu.Lock()
	l := n.links[h.ID]
	if l == nil {
		l = &link{id: h.ID, ready: make(chan struct{})}
		n.links[h.ID] = l
		n.g.Go(func() error {
			n.open(l, h)
			return nil
		})
	}
	l.used = time.Now()
	n.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-x.Done():
		return nil, Error.Wrap(x.Err())
	}
}

// open connects a link and watches it until it ends.
func (n *Node) open(l *link, h membership.Host) {
	s, c, err := n.dial(h)
	n.mu.Lock()
	if n.closed && s != nil {
		_ = s.Close()
	}
	l.s, l.c, l.err = s, c, err
	n.mu.Unlock()
	close(l.ready)
	if l.err != nil {
		n.drop(l)
		return
	}
	n.c.OnAnswer(h.ID)
	<-l.s.CloseChan()
	n.drop(l)
}

func (n *Node) dial(h membership.Host) (*session, *jsonrpc2.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", h.PeerAddress)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	n.mu.Lock()
	self := n.c.Self
	n.mu.Unlock()
	if err := sendHello(c, n.c.Secret, self, wanted(h)); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	s, err := newSession(n.counted(c, h.Region), clientSession)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	t, err := s.openStream()
	if err == nil {
		_, err = t.Write([]byte{useControl})
	}
	if err != nil {
		_ = s.Close()
		return nil, nil, Error.Wrap(err)
	}
	d := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	return s, jsonrpc2.NewConn(n.x, jsonrpc2.NewPlainObjectStream(t), d, n.logger()), nil
}

// SeedHost returns a host of which only the address is known.
func SeedHost(address string) membership.Host {
	return membership.Host{ID: seedPrefix + address, PeerAddress: address}
}

// seedPrefix starts the ID of a host of which only the address is known.
const seedPrefix = "seed:"

// wanted returns the ID that the daemon at the host's address must have; empty
// for any.
func wanted(h membership.Host) string {
	if strings.HasPrefix(h.ID, seedPrefix) {
		return ""
	}
	return h.ID
}

// logger sends the control connection's own messages to the log.
func (n *Node) logger() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(n.c.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
}

// drop forgets a link and tells of its loss.
func (n *Node) drop(l *link) {
	n.mu.Lock()
	known := n.links[l.id] == l
	if known {
		delete(n.links, l.id)
	}
	n.mu.Unlock()
	if l.s != nil {
		_ = l.s.Close()
	}
	if known {
		n.c.OnLinkFailed(l.id)
	}
}
