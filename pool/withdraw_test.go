package pool

import (
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/teamconns"
)

// closableConn is a connection that records that it was closed.
type closableConn struct {
	Conn
	closed bool
}

func (c *closableConn) Close() { c.closed = true }

var _ = Describe("Pool.withdraw", func() {
	It("closes a connection that a request was given just before the pool closed and the caller left", func() {
		p := New(Config{Member: catalog.Member{ID: "m", Slots: 3}, Connections: 10, Now: time.Now, Log: hclog.NewNullLogger()})
		_, w := p.requestConn("red", nil)
		o, ok := (<-w).action.(teamconns.Open)
		Expect(ok).To(BeTrue())
		k := &closableConn{}
		p.releaseConn(p.addConn(&conn{Conn: k, id: o.Conn, team: "red"}, o.Reason, time.Now()), false)
		id, w := p.requestConn("red", nil)
		p.Close()
		Expect(k.closed).To(BeFalse())
		p.withdraw(id, w, &query.Failure{Reason: query.Aborted})
		Expect(k.closed).To(BeTrue())
		Expect(p.Load().Connections).To(BeZero())
	})
})
