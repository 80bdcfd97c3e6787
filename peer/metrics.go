package peer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

func newRegionBytes() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "dragonflypick_region_bytes_total", Help: "Bytes that this daemon sent to daemons of other regions.",
	}, []string{"region"})
}

// Collectors returns the node's metrics.
func (n *Node) Collectors() []prometheus.Collector { return []prometheus.Collector{n.regionBytes} }

// countBytes returns c, wrapped to count the bytes written if it connects to
// another region.
func (n *Node) countBytes(c net.Conn, region string) net.Conn {
	n.mu.Lock()
	own := n.config.Self.Region
	n.mu.Unlock()
	if region == own || region == "" {
		return c
	}
	return &countedConn{Conn: c, counter: n.regionBytes.WithLabelValues(region)}
}

// countedConn is a connection that counts the bytes written to it.
type countedConn struct {
	net.Conn
	counter prometheus.Counter
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Add(float64(n))
	return n, err
}
