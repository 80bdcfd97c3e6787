package process

import (
	"net"
	"os"
	"strconv"
)

// ports allocates free ports. They lie below Linux's default range of ports for
// outgoing connections, so that no such connection occupies one of them.
type ports struct {
	// nextOffset is the offset from firstPort of the next port to try, modulo
	// portCount.
	nextOffset int
}

// Range of the allocated ports.
const (
	firstPort = 10000
	portCount = 20000
)

func newPorts() *ports { return &ports{nextOffset: os.Getpid() * portStride % portCount} }

// portStride separates the first ports of processes with consecutive process ids.
const portStride = 61

// freeAddress returns a loopback address with a port that is free now.
func (p *ports) freeAddress() (string, error) {
	var err error
	for range portCount {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+p.nextOffset%portCount))
		p.nextOffset++
		var l net.Listener
		if l, err = net.Listen("tcp", a); err == nil {
			return a, Error.Wrap(l.Close())
		}
	}
	return "", Error.Wrap(err)
}
