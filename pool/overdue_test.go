package pool_test

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// silentMember runs the statement "silent" and never answers it.
type silentMember struct{ *member }

func (m silentMember) Dial(x context.Context, k catalog.Member, team string) (pool.Conn, logpos.Position, error) {
	c, p, err := m.member.Dial(x, k, team)
	return &silentConn{Conn: c, closed: make(chan struct{})}, p, err
}

type silentConn struct {
	pool.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) Close() {
	c.once.Do(func() { close(c.closed) })
	c.Conn.Close()
}

func (c *silentConn) RunStep(s query.Step, d time.Time) (query.Reply, error) {
	if r, ok := s.(query.RunStatement); ok && r.Text == "silent" {
		select {
		case <-c.closed:
		case <-time.After(time.Until(d)):
		}
		return query.Reply{}, errs.New("no answer")
	}
	return c.Conn.RunStep(s, d)
}

// sum returns the sum of a metric over its labels.
func sum(m *pool.Metrics, name string) (o float64) {
	r := prometheus.NewRegistry()
	r.MustRegister(m.Collectors()...)
	l, err := r.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, f := range l {
		if f.GetName() == name {
			for _, x := range f.GetMetric() {
				o += x.GetCounter().GetValue()
			}
		}
	}
	return o
}

var _ = DescribeTable("a statement whose answer is lost, while others are answered", func(a query.Action, want query.Reason, soon bool) {
	const limit = 2 * time.Second
	m := pool.NewMetrics()
	p := pool.New(pool.Config{
		Metrics: m, Member: catalog.Member{ID: "m", Slots: 2}, Connections: 10, Dialer: silentMember{&member{limit: 10, statementTime: 2 * time.Millisecond}}, Now: time.Now,
		ObservePosition: func(logpos.Position, time.Time) {}, Log: hclog.NewNullLogger(),
	})
	t := time.Now()
	lost := make(chan query.Reply, 1)
	var w sync.WaitGroup
	w.Go(func() {
		r := request("silent", "silent", query.Single, a)
		r.Remaining = limit
		lost <- p.Execute(context.Background(), r, logpos.Position{}, allow)
	})
	w.Go(func() {
		for time.Since(t) < limit/2 {
			Expect(p.Execute(context.Background(), request("x", "x", query.Single, query.ActionRead), logpos.Position{}, allow).Failure).To(BeNil())
		}
	})
	o := <-lost
	took := time.Since(t)
	w.Wait()
	Expect(o.Failure.Reason).To(Equal(want))
	Expect(took < limit/2).To(Equal(soon))
	Expect(p.Busy()).To(BeZero())
	given := 0.0
	if soon {
		given = 1
	}
	Expect(sum(m, "dragonflypick_member_overdue_reads_total")).To(Equal(given))
	Expect(sum(m, "dragonflypick_member_steps_total")).To(BeNumerically(">", 10))
	Expect(sum(m, "dragonflypick_member_step_seconds_total")).To(BeNumerically(">", took.Seconds()))
},
	Entry("is given up soon if it is a read, which can run again", query.ActionRead, query.Unreachable, true),
	Entry("is waited for until its deadline if it is a write", query.ActionWrite, query.InDoubt, false),
)

var _ = It("Transactions that rest keep their places while others come and go", func() {
	m := &member{limit: 10, statementTime: time.Millisecond}
	p := newPool(m, 2, 8)
	open := func(name string) bool {
		r := request(name, name, query.First, query.ActionRead)
		r.Remaining = 50 * time.Millisecond
		return p.Execute(context.Background(), r, logpos.Position{}, allow).Failure == nil
	}
	Expect(open("rests-1")).To(BeTrue())
	Expect(open("rests-2")).To(BeTrue())
	time.Sleep(50 * time.Millisecond)
	for i := range 20 {
		n := "short-" + strconv.Itoa(i)
		Expect(open(n)).To(BeTrue())
		Expect(p.Execute(context.Background(), request(n, n, query.Later, query.ActionCommit), logpos.Position{}, allow).Failure).To(BeNil())
	}
	// Of six connections, four are for open transactions.
	Expect(open("third")).To(BeTrue())
	Expect(open("fourth")).To(BeTrue())
	Expect(open("fifth")).To(BeFalse())
})
