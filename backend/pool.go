package backend

import (
	"context"
	"sync"
	"time"
)

// Timing of pooled connections.
const (
	// checkAfterIdle is the idle time after which a connection is checked.
	checkAfterIdle = time.Second
	// checkTimeout bounds that check.
	checkTimeout = 400 * time.Millisecond
)

// Pool holds the connections of one backend server. It is safe for concurrent
// use.
type Pool struct {
	config Config
	// tokens holds one token for each connection that may still be taken.
	tokens chan struct{}
	mu     sync.Mutex
	idle   []*Conn
	closed bool
	// size is the number of connections that may be open, and inUse the number
	// of tokens taken.
	size  int
	inUse int
	// surplus is the number of tokens to drop when they are returned.
	surplus int
	// abandoned holds the sessions that Abandon has recorded and that have not
	// certainly ended.
	abandoned []abandonedSession
}

// maxConnections is the maximum number of connections of a pool.
const maxConnections = 1 << 16

// NewPool returns a pool of up to size connections.
func NewPool(c Config, size int) *Pool {
	p := &Pool{config: c, tokens: make(chan struct{}, maxConnections)}
	p.Resize(size)
	return p
}

// Resize changes the number of connections that may be open. Connections that
// are in use stay open; those over the size are closed when they are returned.
func (p *Pool) Resize(size int) {
	size = min(max(size, 1), maxConnections)
	p.mu.Lock()
	defer p.mu.Unlock()
	for ; p.size < size; p.size++ {
		if p.surplus > 0 {
			p.surplus--
		} else {
			p.tokens <- struct{}{}
		}
	}
	for ; p.size > size; p.size-- {
		select {
		case <-p.tokens:
		default:
			p.surplus++
		}
	}
	p.closeExcess()
}

// closeExcess closes idle connections over the size. The caller holds p.mu.
func (p *Pool) closeExcess() {
	for len(p.idle) > 0 && len(p.idle)+p.inUse > p.size {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// markInUse records that a token was taken.
func (p *Pool) markInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse++
}

// returnToken returns a token, or drops it if the pool has shrunk.
func (p *Pool) returnToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if p.surplus > 0 {
		p.surplus--
	} else {
		p.tokens <- struct{}{}
	}
	p.closeExcess()
}

// InUse returns the number of connections that are in use.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse
}

// Take returns a connection that is new, has replied within checkAfterIdle or
// answers a check. It waits while all connections are in use.
func (p *Pool) Take(x context.Context) (*Conn, error) {
	select {
	case <-p.tokens:
		p.markInUse()
	case <-x.Done():
		return nil, Error.Wrap(&BusyError{Address: p.config.Address})
	}
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if p.usable(c) {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := Connect(x, p.config)
	if err != nil {
		p.returnToken()
		return nil, err
	}
	return c, nil
}

// usable reports whether an idle connection can be used.
func (p *Pool) usable(c *Conn) bool {
	if time.Since(c.LastReply) < checkAfterIdle {
		return c.CheckRest() == nil
	}
	return p.check(c)
}

// popIdle removes and returns the idle connection that was returned last, or nil.
func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// Put returns a connection to the pool, or closes it if broken is set. The caller
// must also set broken if a transaction is open on the connection.
func (p *Pool) Put(c *Conn, broken bool) {
	p.mu.Lock()
	if broken || p.closed {
		_ = c.Close()
	} else {
		c.LastReply = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	p.returnToken()
}

// Warm opens connections until n are idle, the pool is full or a connection
// fails.
func (p *Pool) Warm(x context.Context, n int) {
	for p.IdleCount() < n {
		select {
		case <-p.tokens:
			p.markInUse()
		default:
			return
		}
		c, err := Connect(x, p.config)
		if err != nil {
			p.returnToken()
			return
		}
		p.Put(c, false)
	}
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// CheckIdle checks idle connections that have not replied for checkAfterIdle,
// so that a broken one is closed before a statement takes it.
func (p *Pool) CheckIdle() {
	for range p.IdleCount() {
		select {
		case <-p.tokens:
			p.markInUse()
		default:
			return
		}
		c := p.popOldest()
		if c == nil {
			p.returnToken()
			return
		}
		p.Put(c, !p.check(c))
	}
}

// popOldest removes and returns the connection with the oldest reply, or nil if
// none is due for a check.
func (p *Pool) popOldest() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := -1
	for i, c := range p.idle {
		if time.Since(c.LastReply) >= checkAfterIdle && (b < 0 || c.LastReply.Before(p.idle[b].LastReply)) {
			b = i
		}
	}
	if b < 0 {
		return nil
	}
	c := p.idle[b]
	p.idle = append(p.idle[:b], p.idle[b+1:]...)
	return c
}

// Close closes the idle connections; connections in use are closed when they are
// returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// BusyError reports that no connection became free in time.
type BusyError struct {
	Address string
}

func (e *BusyError) Error() string { return "all connections to " + e.Address + " are in use" }
