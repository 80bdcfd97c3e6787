// Package relay forwards TCP connections from one address to another, and can
// simulate failures of the network between two hosts.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin relay")

// Mode is how a relay handles connections.
type Mode int

// The modes of a relay.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Hold holds back all bytes, on open connections and new ones, until the mode
	// changes.
	Hold
	// Reset resets open connections, and new ones after accepting them.
	Reset
	// Refuse refuses new connections; open ones are still forwarded.
	Refuse
	// HoldRequests holds back the bytes to the target only, HoldAnswers those from it.
	HoldRequests
	HoldAnswers
)

// dialTimeout is the maximum time for connecting to the target.
const dialTimeout = 2 * time.Second

// Config holds a relay's settings.
type Config struct {
	// Listen is the IP address and port to accept on.
	Listen string
	// Target is the IP address and port to connect to.
	Target string
	// KeepAlive is how long the other end of a silent connection stays open once one
	// end has closed: the time until its TCP keep-alive would fail. Zero means for
	// good.
	KeepAlive time.Duration
}

// Relay forwards connections. It is safe for concurrent use.
type Relay struct {
	config  Config
	address string
	tasks   *errgroup.Group
	ctx     context.Context
	stop    context.CancelFunc

	mu       sync.Mutex
	listener net.Listener
	mode     Mode
	delay    time.Duration
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	links   map[*link]struct{}
	traffic Traffic
}

// Traffic counts what a relay has received for forwarding, in both directions.
type Traffic struct {
	// Chunks is the number of reads. It is close to the number of messages if
	// these are rare.
	Chunks int64 `json:"writes"`
	Bytes  int64 `json:"bytes"`
}

// Traffic returns the counts since the relay's start.
func (r *Relay) Traffic() Traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.traffic
}

// link is one forwarded connection: the accepted one and the one to the target.
type link struct {
	accepted, target net.Conn
	// silent is true if all received bytes are discarded instead of forwarded;
	// it is guarded by the relay's mu.
	silent bool
}

// Start opens the listening socket and forwards connections until Stop.
func Start(c Config) (*Relay, error) {
	x, stop := context.WithCancel(context.Background())
	r := &Relay{config: c, tasks: &errgroup.Group{}, ctx: x, stop: stop, changed: make(chan struct{}), links: map[*link]struct{}{}}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		stop()
		return nil, Error.Wrap(err)
	}
	r.address = l.Addr().String()
	r.acceptConnections(l)
	return r, nil
}

// Address returns the address that the relay accepts on.
func (r *Relay) Address() string { return r.address }

// Stop closes all connections and waits until the relay has ended.
func (r *Relay) Stop() {
	r.stop()
	r.mu.Lock()
	r.closeListener()
	r.closeLinks(false)
	r.mu.Unlock()
	_ = r.tasks.Wait()
}

// SetMode changes the mode.
func (r *Relay) SetMode(m Mode) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
	if m == Reset {
		r.closeLinks(true)
	}
	if m == Refuse {
		r.closeListener()
		return nil
	}
	return r.listen()
}

// SetDelay sets the delay of the bytes in each direction.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Silence makes all connections that are open now permanently silent: they stay
// open, but their bytes are discarded. New connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		k.silent = true
	}
}

// listen opens the listening socket again if it is closed; r.mu is held.
func (r *Relay) listen() error {
	if r.listener != nil || r.ctx.Err() != nil {
		return nil
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return Error.Wrap(err)
	}
	r.acceptConnections(l)
	return nil
}

// closeListener closes the listening socket; r.mu is held.
func (r *Relay) closeListener() {
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
}

// closeLinks closes open connections, with a TCP reset if reset is true; r.mu is
// held.
func (r *Relay) closeLinks(reset bool) {
	for k := range r.links {
		k.close(reset)
	}
}

func (k *link) close(reset bool) {
	for _, c := range []net.Conn{k.accepted, k.target} {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// acceptConnections accepts connections on l and forwards them.
func (r *Relay) acceptConnections(l net.Listener) {
	r.listener = l
	r.tasks.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			r.tasks.Go(func() error {
				r.serveConnection(c)
				return nil
			})
		}
	})
}

func (r *Relay) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	t, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(r.ctx, "tcp", r.config.Target)
	if err != nil {
		(&link{accepted: c, target: c}).close(true)
		return
	}
	k := &link{accepted: c, target: t}
	defer k.close(false)
	if !r.addLink(k) {
		k.close(true)
		return
	}
	defer r.removeLink(k)
	g := &errgroup.Group{}
	g.Go(func() error { return r.forward(k, k.accepted, k.target) })
	g.Go(func() error { return r.forward(k, k.target, k.accepted) })
	_ = g.Wait()
}

// addLink records an open connection. It returns false if the connection must be
// reset instead.
func (r *Relay) addLink(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Reset || r.ctx.Err() != nil {
		return false
	}
	r.links[k] = struct{}{}
	return true
}

func (r *Relay) removeLink(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, k)
}
