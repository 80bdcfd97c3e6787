package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// scriptedRouter answers each request with the next of its steps; after the
// last one no owner is found.
type scriptedRouter struct {
	unreachableRouter
	g     *errgroup.Group
	steps []func(*peer.Stream)
	opens atomic.Int32
}

func (r *scriptedRouter) Open(x context.Context, q Request) (Route, error) {
	i := int(r.opens.Add(1)) - 1
	if i >= len(r.steps) {
		return r.unreachableRouter.Open(x, q)
	}
	a, b := net.Pipe()
	r.g.Go(func() error {
		s := peer.NewStream(b)
		_, _ = s.Read()
		r.steps[i](s)
		return s.Close()
	})
	return Route{Stream: peer.NewStream(a), Member: "m"}, nil
}

// closeUnanswered closes the stream without a response.
func closeUnanswered(*peer.Stream) {}

// reply returns a step that sends the messages and ReadyForQuery.
func reply(m ...pgproto3.BackendMessage) func(*peer.Stream) {
	return func(s *peer.Stream) {
		for _, x := range append(m, &pgproto3.ReadyForQuery{TxStatus: 'I'}) {
			b, err := x.Encode(nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Write(wire.Message{Type: b[0], Body: b[5:]})).To(Succeed())
		}
		Expect(s.Flush()).To(Succeed())
	}
}

var _ = Describe("a write whose owner closes the stream unanswered", func() {
	x := context.Background()
	inserted := reply(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	failed := reply(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "23505", Message: "duplicate"})

	run := func(sql string, steps ...func(*peer.Stream)) (string, int) {
		b := loginBundle()
		d := bundle.RankLimits{Deadline: bundle.Duration(2 * time.Second)}
		b.Ranks = bundle.Ranks{Urgent: d, Routine: d, Background: d}
		r := &scriptedRouter{g: &errgroup.Group{}, steps: steps}
		s, err := New(Config{Listen: "127.0.0.1:0", Bundle: func() *bundle.Bundle { return b }, Router: r, Log: hclog.NewNullLogger()})
		Expect(err).NotTo(HaveOccurred())
		y, stop := context.WithCancel(x)
		r.g.Go(func() error { return s.Run(y) })
		n, err := pgx.Connect(x, "postgres://shop:amber@"+s.Address()+"/orders?sslmode=disable")
		Expect(err).NotTo(HaveOccurred())
		_, err = n.Exec(x, sql)
		_ = n.Close(x)
		stop()
		Expect(r.g.Wait()).To(Succeed())
		if err == nil {
			return "done", int(r.opens.Load())
		}
		return sqlState(err), int(r.opens.Load())
	}

	const keyed = "/* dragonflypick key=k */ INSERT INTO t VALUES (1)"

	DescribeTable("is retried only with an idempotency key, and has a certain outcome only if the retry succeeds",
		func(sql, want string, opens int, steps ...func(*peer.Stream)) {
			got, n := run(sql, steps...)
			Expect(got).To(Equal(want))
			Expect(n).To(BeNumerically(">=", opens))
		},
		Entry("without a key", "INSERT INTO t VALUES (1)", codeInDoubt, 1, closeUnanswered, inserted, inserted),
		Entry("with a key", keyed, "done", 2, closeUnanswered, inserted),
		Entry("with a key, unanswered twice", keyed, "done", 3, closeUnanswered, closeUnanswered, inserted),
		Entry("with a key, and the retry fails", keyed, codeInDoubt, 2, closeUnanswered, failed),
		Entry("with a key, and no owner for the retry", keyed, codeInDoubt, 2, closeUnanswered),
		Entry("with a key, and the first attempt fails", keyed, "23505", 1, failed),
	)
})

var _ = Describe("a transaction that failed in the proxy", func() {
	It("is also rolled back through the extended query protocol", func() {
		x := context.Background()
		b := loginBundle()
		r := &scriptedRouter{g: &errgroup.Group{}, steps: []func(*peer.Stream){closeUnanswered}}
		s, err := New(Config{Listen: "127.0.0.1:0", Bundle: func() *bundle.Bundle { return b }, Router: r, Log: hclog.NewNullLogger()})
		Expect(err).NotTo(HaveOccurred())
		y, stop := context.WithCancel(x)
		r.g.Go(func() error { return s.Run(y) })
		c, z := net.Pipe()
		n := &callerSession{server: s, conn: z, writer: wire.NewWriter(z), txStatus: statusFailed, preparedStatements: map[string]preparedStatement{}}
		r.g.Go(func() error {
			defer func() { _ = z.Close() }()
			for _, m := range []wire.Message{
				{Type: wire.Parse, Body: []byte("\x00ROLLBACK\x00\x00\x00")},
				{Type: wire.Bind, Body: []byte("\x00\x00\x00\x00\x00\x00\x00\x00")},
				{Type: wire.Describe, Body: []byte("P\x00")},
				{Type: wire.Execute, Body: []byte("\x00\x00\x00\x00\x00")},
				{Type: wire.Sync},
			} {
				if err := n.addToBatch(x, m); err != nil {
					return err
				}
			}
			return nil
		})
		var got []byte
		for a := wire.NewReader(c, wire.MaxBodySize); ; {
			m, err := a.Read()
			if err != nil {
				break
			}
			got = append(got, m.Type)
		}
		stop()
		Expect(r.g.Wait()).To(Succeed())
		Expect(string(got)).To(Equal("12nCZ"))
		Expect(n.txStatus).To(Equal(statusIdle))
	})
})
