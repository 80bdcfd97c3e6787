package caller

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// silentRouter answers nothing. It passes on the kinds of the requests and the types of
// the messages that it is sent.
type silentRouter struct {
	unreachableRouter
	g     *errgroup.Group
	kinds chan peer.Kind
	types chan byte
}

func (r *silentRouter) Open(x context.Context, q Request) (Route, error) {
	r.kinds <- q.Header.Kind
	a, b := net.Pipe()
	r.g.Go(func() error {
		defer context.AfterFunc(x, func() { _ = b.Close() })()
		defer func() { _ = b.Close() }()
		for s := peer.NewStream(b); ; {
			m, err := s.Read()
			if err != nil {
				return nil
			}
			r.types <- m.Type
		}
	})
	return Route{Stream: peer.NewStream(a), Member: "m"}, nil
}

// batchRun is the run of a session whose caller sends messages at once. Its answers are
// read up to the end.
type batchRun struct {
	router  *silentRouter
	caller  net.Conn
	answers chan byte
	stop    func()
}

// startSession runs a session in g until the function that it returns is called, and
// returns the caller's end of its connection; prepare changes the session before.
func startSession(r Router, g *errgroup.Group, prepare func(*callerSession)) (net.Conn, func()) {
	b := loginBundle()
	d := bundle.RankLimits{Deadline: bundle.Duration(time.Second)}
	b.Ranks = bundle.Ranks{Urgent: d, Routine: d, Background: d}
	s, err := New(Config{Listen: "127.0.0.1:0", Bundle: func() *bundle.Bundle { return b }, Router: r, Log: hclog.NewNullLogger()})
	Expect(err).NotTo(HaveOccurred())
	x, stop := context.WithCancel(context.Background())
	g.Go(func() error { return s.Run(x) })
	c, z := net.Pipe()
	n := &callerSession{server: s, conn: z, group: "orders", reader: wire.NewReader(z, wire.MaxBodySize), writer: wire.NewWriter(z), txStatus: statusIdle, preparedStatements: map[string]preparedStatement{}}
	n.floor.Known = true
	prepare(n)
	g.Go(func() error {
		defer func() { _ = z.Close() }()
		n.run(x)
		return nil
	})
	return c, stop
}

// runBatchMessages starts a session and sends it the messages; prepare changes the
// session before.
func runBatchMessages(prepare func(*callerSession), l ...wire.Message) *batchRun {
	r := &silentRouter{g: &errgroup.Group{}, kinds: make(chan peer.Kind, 16), types: make(chan byte, 16)}
	c, stop := startSession(r, r.g, prepare)
	a := make(chan byte, 16)
	r.g.Go(func() error {
		for o := wire.NewReader(c, wire.MaxBodySize); ; {
			m, err := o.Read()
			if err != nil {
				return nil
			}
			a <- m.Type
		}
	})
	w := wire.NewWriter(c)
	for _, m := range l {
		Expect(w.Write(m)).To(Succeed())
	}
	Expect(w.Flush()).To(Succeed())
	return &batchRun{router: r, caller: c, answers: a, stop: stop}
}

func (r *batchRun) end() {
	_ = r.caller.Close()
	r.stop()
	Expect(r.router.g.Wait()).To(Succeed())
}

var (
	parseRead   = wire.Message{Type: wire.Parse, Body: []byte("\x00SELECT 1\x00\x00\x00")}
	parseWrite  = wire.Message{Type: wire.Parse, Body: []byte("\x00DELETE FROM t\x00\x00\x00")}
	parseBegin  = wire.Message{Type: wire.Parse, Body: []byte("\x00BEGIN\x00\x00\x00")}
	bind        = wire.Message{Type: wire.Bind, Body: []byte("\x00\x00\x00\x00\x00\x00\x00\x00")}
	bindWrite   = wire.Message{Type: wire.Bind, Body: []byte("\x00d\x00\x00\x00\x00\x00\x00\x00")}
	describe    = wire.Message{Type: wire.Describe, Body: []byte("S\x00")}
	execute     = wire.Message{Type: wire.Execute, Body: []byte("\x00\x00\x00\x00\x00")}
	flush       = wire.Message{Type: wire.Flush}
	syncMessage = wire.Message{Type: wire.Sync}
	queryWrite  = wire.Message{Type: wire.Query, Body: []byte("DELETE FROM t\x00")}
)

func prepareWrite(n *callerSession) {
	n.preparedStatements["d"] = preparedStatement{parseBody: []byte("DELETE FROM t\x00\x00\x00"), sql: "DELETE FROM t"}
}

var _ = DescribeTable("a message that the stream of a read can't run isn't sent on it, behind the Flush of a batch",
	func(m wire.Message) {
		r := runBatchMessages(prepareWrite, parseRead, bind, execute, flush, m, syncMessage)
		defer r.end()
		Eventually(r.router.kinds).Should(Receive(Equal(peer.KindRead)))
		for _, t := range []byte{wire.Parse, wire.Bind, wire.Execute, wire.Flush} {
			Eventually(r.router.types).Should(Receive(Equal(t)))
		}
		Consistently(r.router.types, 300*time.Millisecond).ShouldNot(Receive(Not(Equal(wire.Sync))))
	},
	Entry("simple query", queryWrite),
	Entry("function call", wire.Message{Type: wire.FunctionCall, Body: make([]byte, 10)}),
	Entry("statement that writes", parseWrite),
	Entry("prepared statement that writes", bindWrite),
	Entry("start of a transaction", parseBegin),
	Entry("end of a COPY, the type of which is that of a cancel between daemons", wire.Message{Type: wire.CopyDone}),
	Entry("message of a type that only daemons send", wire.Message{Type: peer.TypeVerdict, Body: []byte("{}")}),
	Entry("message of an unknown type", wire.Message{Type: '~'}),
)

var _ = DescribeTable("a batch that is refused behind its Flush has one error, and one ReadyForQuery for each message that asks for it",
	func(m wire.Message, ready int) {
		r := runBatchMessages(prepareWrite, parseRead, bind, execute, flush, m, parseWrite, syncMessage, syncMessage)
		defer r.end()
		Eventually(r.answers).Should(Receive(Equal(wire.ErrorResponse)))
		for range ready {
			Eventually(r.answers).Should(Receive(Equal(wire.ReadyForQuery)))
		}
		Consistently(r.answers, 100*time.Millisecond).ShouldNot(Receive(Equal(wire.ReadyForQuery)))
	},
	Entry("statement that writes", parseWrite, 2),
	Entry("prepared statement that writes", bindWrite, 2),
)

var _ = It("a batch that prepares a write and is flushed is opened as a write, as its execution may follow", func() {
	r := runBatchMessages(func(*callerSession) {}, parseWrite, describe, flush, bind, execute, syncMessage)
	defer r.end()
	Eventually(r.router.kinds).Should(Receive(Equal(peer.KindWrite)))
	for _, t := range []byte{wire.Parse, wire.Describe, wire.Flush, wire.Bind, wire.Execute, wire.Sync} {
		Eventually(r.router.types).Should(Receive(Equal(t)))
	}
})

var _ = It("a batch in a transaction may go on to write behind its Flush", func() {
	r := runBatchMessages(func(*callerSession) {}, parseBegin, bind, execute, flush, parseRead, bind, execute, flush, parseWrite, bind, execute, syncMessage)
	defer r.end()
	Eventually(r.router.kinds).Should(Receive(Equal(peer.KindTransaction)))
	for range 2 {
		for _, t := range []byte{wire.Parse, wire.Bind, wire.Execute, wire.Flush} {
			Eventually(r.router.types).Should(Receive(Equal(t)))
		}
	}
	for _, t := range []byte{wire.Parse, wire.Bind, wire.Execute, wire.Sync} {
		Eventually(r.router.types).Should(Receive(Equal(t)))
	}
})

var _ = It("a simple query isn't run before the messages of a batch that were sent before it", func() {
	r := runBatchMessages(func(*callerSession) {}, parseRead, bind, execute, queryWrite, syncMessage)
	defer r.end()
	for _, t := range []byte{wire.ErrorResponse, wire.ReadyForQuery, wire.ReadyForQuery} {
		Eventually(r.answers).Should(Receive(Equal(t)))
	}
	Expect(r.router.kinds).NotTo(Receive())
})
