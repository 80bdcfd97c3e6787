package process

import (
	"net"
	"os"
	"strconv"
)

// ports hands out free ports below the range of outgoing connections.
type ports struct{ next int }

// The range of ports.
const (
	firstPort = 10000
	portCount = 20000
)

func newPorts() *ports { return &ports{next: os.Getpid() * portStride % portCount} }

// portStride keeps the ports of processes with neighbouring ids apart.
const portStride = 61

// freeAddress returns a free address on loopback.
func (p *ports) freeAddress() (string, error) {
	var err error
	for range portCount {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+p.next%portCount))
		p.next++
		var l net.Listener
		if l, err = net.Listen("tcp", a); err == nil {
			return a, Error.Wrap(l.Close())
		}
	}
	return "", Error.Wrap(err)
}
