package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

func newBytes() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dragonflypick_region_bytes_total", Help: "Bytes that this daemon sent to daemons of other regions.",
	}, []string{"region"})
}

// Collectors returns the node's metrics.
func (n *Node) Collectors() []prometheus.Collector { return []prometheus.Collector{n.bytes} }

// counted counts what is written to a connection that leads to another region.
func (n *Node) counted(c net.Conn, region string) net.Conn {
	n.mu.Lock()
	own := n.c.Self.Region
	n.mu.Unlock()
	if region == own || region == "" {
		return c
	}
	return &countedConn{Conn: c, c: n.bytes.WithLabelValues(region)}
}

// countedConn counts the bytes written.
type countedConn struct {
	net.Conn
	c prometheus.Counter
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.Add(float64(n))
	return n, err
}
