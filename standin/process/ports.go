package process

import (
	"net"
	"strconv"
	"sync"
	"syscall"
)

// Ports allocates ports, each once. They lie below Linux's default range of ports for
// outgoing connections, so that no such connection occupies one of them, and in blocks
// that no other allocator uses at the same time, also in other processes: a port stays
// its owner's while nothing listens there.
type Ports struct {
	mu sync.Mutex
	// blocks are the listeners on the first ports of the blocks that this allocator
	// has reserved; the last one is in use.
	blocks []net.Listener
	// next is the next port of the block in use, end the first one after it.
	next, end int
}

// Range of the allocated ports.
const (
	firstPort = 10000
	lastPort  = 30000
	// blockSize allows twenty systems at once, each with a few hundred ports.
	blockSize = 1000
)

// FreeAddress returns a loopback address with a port that is free now.
func (p *Ports) FreeAddress() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.reserve(); err != nil {
				return "", err
			}
		}
		a := loopback(p.next)
		p.next++
		if isFree(a) {
			return a, nil
		}
	}
}

// isFree reports whether nothing listens at an address. Meanwhile no process is
// started: until it runs its own program, it would keep the port occupied.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// reserve reserves a further block.
func (p *Ports) reserve() error {
	var err error
	for f := firstPort; f < lastPort; f += blockSize {
		var l net.Listener
		if l, err = net.Listen("tcp", loopback(f)); err == nil {
			p.blocks = append(p.blocks, l)
			p.next, p.end = f+1, f+blockSize
			return nil
		}
	}
	return Error.Wrap(err)
}

// Close releases all ports.
func (p *Ports) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.blocks {
		_ = l.Close()
	}
	p.blocks, p.next, p.end = nil, 0, 0
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
