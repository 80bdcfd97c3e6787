// Package peer connects daemons. A daemon opens one multiplexed connection, a
// link, to each daemon that it calls. A link carries one stream for control calls
// and one for each statement or transaction. Both daemons prove that they have the
// shared secret.
package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/textjson"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// Timing of links.
const (
	// dialTimeout bounds opening the TCP connection of a link.
	dialTimeout = 500 * time.Millisecond
	// writeTimeout bounds a write and the answer to a ping; a link that takes
	// longer is closed.
	writeTimeout = 600 * time.Millisecond
	// idleTimeout is the time after which an unused link is closed.
	idleTimeout = 20 * time.Second
)

// The first byte of a stream is its type.
const (
	streamControl           = byte('c')
	streamCompressedControl = byte('z')
	streamStatement         = byte('s')
)

// Config holds a node's settings.
type Config struct {
	// Listen is the IP address and port on which other daemons connect.
	Listen string
	// Secret is shared by all daemons; it must not be empty.
	Secret string
	// Self describes this daemon's host to the daemons that it connects to.
	Self membership.Host
	Log  hclog.Logger
	// HandleStream handles a statement stream and must close it.
	HandleStream func(context.Context, *Stream)
	// HandleCall answers a control call.
	HandleCall func(context.Context, *jsonrpc2.Request) (any, error)
	// OnLinkFailed is called with the ID of a host whose link failed. The second
	// argument is set if the host's machine showed that its daemon has ended: it
	// refused the connection, or another daemon answered.
	OnLinkFailed func(id string, ended bool)
	// OnAnswer is called with the ID of a host that answered.
	OnAnswer func(id string)
	// OnHostConnected is called with a host that opened a link to this one.
	OnHostConnected func(membership.Host)
}

// Node holds the links of one daemon. It is safe for concurrent use.
type Node struct {
	config   Config
	listener net.Listener
	tasks    *errgroup.Group
	ctx      context.Context

	// regionBytes counts the bytes sent to each other region.
	regionBytes *prometheus.CounterVec

	mu sync.Mutex
	// links holds the links that this daemon opened, by the other host's ID;
	// accepted holds those that other daemons opened.
	links    map[string]*link
	accepted map[*session]bool
	// closed is set when Run stops; links that open later are closed at once.
	closed bool
}

// link is a connection to another daemon, open or being opened.
type link struct {
	id       string
	session  *session
	control  *jsonrpc2.Conn
	lastUsed time.Time
	// ready is closed when session, control and err are set.
	ready chan struct{}
	err   error
}

// New opens the listening socket and returns the node.
func New(c Config) (*Node, error) {
	if c.Secret == "" {
		return nil, Error.Wrap(&ProtocolError{Reason: "the shared secret is empty"})
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g, x := errgroup.WithContext(context.Background())
	return &Node{config: c, listener: l, tasks: g, ctx: x, regionBytes: newRegionBytes(), links: map[string]*link{}, accepted: map[*session]bool{}}, nil
}

// Address returns the address that the node listens on.
func (n *Node) Address() string { return n.listener.Addr().String() }

// SetSelf replaces the description of this daemon's host.
func (n *Node) SetSelf(h membership.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.Self = h
}

// Run serves other daemons until the context ends.
func (n *Node) Run(x context.Context) error {
	stop := context.AfterFunc(x, func() {
		_ = n.listener.Close()
		n.closeLinks()
	})
	defer stop()
	g, x := errgroup.WithContext(x)
	g.Go(func() error { return n.acceptLinks(x, g) })
	g.Go(func() error { return n.checkLinks(x) })
	err := g.Wait()
	if x.Err() != nil {
		return nil
	}
	return err
}

func (n *Node) acceptLinks(x context.Context, g *errgroup.Group) error {
	return contain.Accept(x, n.listener, n.config.Log, func(c net.Conn) {
		g.Go(func() error {
			err := contain.Run(n.config.Log, "peer link", func() error { return n.serveLink(x, c) })
			if err != nil && x.Err() == nil {
				n.config.Log.Debug("incoming link closed", "from", c.RemoteAddr().String(), "error", err)
			}
			return nil
		})
	})
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.links {
		if l.session != nil {
			_ = l.session.Close()
		}
	}
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// Node.checkLinks pings the links that are in use instead.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 2 * writeTimeout
	c.LogOutput = io.Discard
	return c
}

func clientSession(c net.Conn) (*yamux.Session, error) { return yamux.Client(c, yamuxConfig()) }

func serverSession(c net.Conn) (*yamux.Session, error) { return yamux.Server(c, yamuxConfig()) }

// serveLink handles a link that another daemon has opened.
func (n *Node) serveLink(x context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	h, err := acceptHello(c, n.config.Secret, n.config.Self.ID)
	if err != nil {
		return err
	}
	n.config.OnHostConnected(h)
	s, err := newSession(n.countBytes(c, h.Region), serverSession)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.accepted[s] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.accepted, s)
		n.mu.Unlock()
	}()
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
			// The panic is logged; the other daemon sees the stream end.
			_ = contain.Run(n.config.Log, "peer stream", func() error {
				n.serveStream(x, s, t)
				return nil
			})
			_ = t.Close()
			return nil
		})
	}
}

func (n *Node) serveStream(x context.Context, s *session, t net.Conn) {
	var b [1]byte
	if _, err := io.ReadFull(t, b[:]); err != nil {
		_ = t.Close()
		return
	}
	switch b[0] {
	case streamStatement:
		n.config.HandleStream(x, NewStream(t))
	case streamControl, streamCompressedControl:
		newStream := jsonrpc2.NewPlainObjectStream
		if b[0] == streamCompressedControl {
			newStream = newCompressedStream
		}
		h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(x context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			if isReplaced(r) {
				n.config.Log.Info("call refused", "method", r.Method, "call", r.ID.String(), "reason", "its text was changed by the calling daemon")
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: (&textjson.ReplacedError{}).Error()}
			}
			s.use.calls.Add(1)
			defer s.use.calls.Add(-1)
			var o any
			err := contain.Run(n.config.Log, "peer call", func() error {
				var err error
				o, err = n.config.HandleCall(x, r)
				return err
			})
			return o, err
		}))
		c := jsonrpc2.NewConn(x, requestStream{newStream(t)}, h, n.logger())
		<-c.DisconnectNotify()
	default:
		_ = t.Close()
	}
}

// Call makes a control call to a host. It returns an *UnsentError if there was
// no link to send the call on.
func (n *Node) Call(x context.Context, h membership.Host, method string, params, result any) error {
	l, err := n.linkTo(x, h)
	if err != nil {
		return Error.Wrap(&UnsentError{Err: err})
	}
	return n.callOn(x, l, method, params, result)
}

// callOn makes a control call on a link.
func (n *Node) callOn(x context.Context, l *link, method string, params, result any) error {
	u := &l.session.use
	u.calls.Add(1)
	err := l.control.Call(x, method, params, result)
	if x.Err() != nil {
		u.unanswered.Store(true)
	}
	u.calls.Add(-1)
	if err != nil {
		return Error.Wrap(err)
	}
	n.config.OnAnswer(l.id)
	return nil
}

// OpenStream opens a statement stream to a host, on a link that was checked if it
// has been silent.
func (n *Node) OpenStream(x context.Context, h membership.Host) (*Stream, error) {
	l, err := n.linkTo(x, h)
	if err != nil {
		return nil, err
	}
	if err := n.verify(x, l); err != nil {
		return nil, err
	}
	t, err := l.session.openStream()
	if err != nil {
		n.dropLink(l)
		return nil, err
	}
	if _, err := t.Write([]byte{streamStatement}); err != nil {
		n.dropLink(l)
		return nil, Error.Wrap(err)
	}
	return NewStream(t), nil
}

// linkTo returns the link to a host and opens one if there is none.
func (n *Node) linkTo(x context.Context, h membership.Host) (*link, error) {
	n.mu.Lock()
	l := n.links[h.ID]
	if l == nil {
		l = &link{id: h.ID, ready: make(chan struct{})}
		n.links[h.ID] = l
		n.tasks.Go(func() error {
			n.connectLink(l, h)
			return nil
		})
	}
	l.lastUsed = time.Now()
	n.mu.Unlock()
	select {
	case <-l.ready:
		return l, l.err
	case <-x.Done():
		return nil, Error.Wrap(x.Err())
	}
}

// connectLink opens the connection of a link and waits until it closes.
func (n *Node) connectLink(l *link, h membership.Host) {
	s, c, err := n.dial(h)
	n.mu.Lock()
	if n.closed && s != nil {
		_ = s.Close()
	}
	l.session, l.control, l.err = s, c, err
	n.mu.Unlock()
	close(l.ready)
	if l.err != nil {
		n.dropLink(l)
		return
	}
	n.config.OnAnswer(h.ID)
	<-l.session.CloseChan()
	n.dropLink(l)
}

// logger returns the option that logs the messages of a JSON-RPC connection at
// debug level.
func (n *Node) logger() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(n.config.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
}

// dropLink closes a link. If the link is still registered, dropLink removes it and
// reports it to Config.OnLinkFailed.
func (n *Node) dropLink(l *link) {
	n.mu.Lock()
	registered := n.links[l.id] == l
	if registered {
		delete(n.links, l.id)
	}
	n.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
	if registered {
		n.config.OnLinkFailed(l.id, ShowsEnd(l.err))
	}
}
