package backend

import (
	"context"
	"sync"
	"time"
)

// Timing of pooled connections.
const (
	// checkAfter is the idle time after which a connection is checked.
	checkAfter = time.Second
	// checkTimeout bounds that check.
	checkTimeout = 400 * time.Millisecond
)

// Pool holds the connections of one backend server. It is safe for concurrent
// use.
type Pool struct {
	c Config
	// tokens holds one token for each connection that may be open.
	tokens chan struct{}
	mu     sync.Mutex
	idle   []*Conn
	closed bool
	// size is the number of connections that may be open, and used that of
	// tokens taken out.
	size int
	used int
	// surplus is the number of tokens that are dropped when they come back.
	surplus int
}

// maxSize is the greatest number of connections of a pool.
const maxSize = 1 << 16

// NewPool returns a pool of up to size connections.
func NewPool(c Config, size int) *Pool {
	p := &Pool{c: c, tokens: make(chan struct{}, maxSize)}
	p.Resize(size)
	return p
}

// Resize changes the number of connections that may be open. Connections that
// are in use stay; those over the size are closed when they come back.
func (p *Pool) Resize(size int) {
	size = min(max(size, 1), maxSize)
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
	p.trim()
}

// trim closes idle connections over the size; p.mu is held.
func (p *Pool) trim() {
	for len(p.idle) > 0 && len(p.idle)+p.used > p.size {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// take notes that a token was taken out.
func (p *Pool) take() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used++
}

// give puts a token back, or drops it if there are too many.
func (p *Pool) give() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	if p.surplus > 0 {
		p.surplus--
	} else {
		p.tokens <- struct{}{}
	}
	p.trim()
}

// InUse returns the number of connections that are in use.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Take returns a connection that has answered lately or is new. It waits while
// all are taken.
func (p *Pool) Take(x context.Context) (*Conn, error) {
	select {
	case <-p.tokens:
		p.take()
	case <-x.Done():
		return nil, Error.Wrap(&BusyError{Address: p.c.Address})
	}
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if time.Since(c.Used) < checkAfter || c.Check(checkTimeout) == nil {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := Connect(x, p.c)
	if err != nil {
		p.give()
		return nil, err
	}
	return c, nil
}

func (p *Pool) pop() *Conn {
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

// Put returns a connection. A broken one, or one with an open transaction, is
// closed.
func (p *Pool) Put(c *Conn, broken bool) {
	p.mu.Lock()
	if broken || p.closed {
		_ = c.Close()
	} else {
		c.Used = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	p.give()
}

// Warm opens connections until n are idle or one fails.
func (p *Pool) Warm(x context.Context, n int) {
	for p.Idle() < n {
		select {
		case <-p.tokens:
			p.take()
		default:
			return
		}
		c, err := Connect(x, p.c)
		if err != nil {
			p.give()
			return
		}
		p.Put(c, false)
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// CheckIdle checks idle connections that have not answered lately, so that a
// silent one is found before a statement takes it.
func (p *Pool) CheckIdle() {
	for range p.Idle() {
		select {
		case <-p.tokens:
			p.take()
		default:
			return
		}
		c := p.oldest()
		if c == nil {
			p.give()
			return
		}
		p.Put(c, c.Check(checkTimeout) != nil)
	}
}

// oldest takes the connection that has been idle longest, if it is due for a
// check.
func (p *Pool) oldest() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := -1
	for i, c := range p.idle {
		if time.Since(c.Used) >= checkAfter && (b < 0 || c.Used.Before(p.idle[b].Used)) {
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

// Close closes the idle connections and those that are returned later.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// BusyError reports that no connection came free in time.
type BusyError struct {
	Address string
}

func (e *BusyError) Error() string { return "all connections to " + e.Address + " are taken" }
