package owner

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/backend"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/monitor"
	"github.com/dragonflypick/dragonflypick/outcome"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// answerRun is an exchange whose backend server and entry are the test.
type answerRun struct {
	exchange *exchange
	// server is the backend server's end of the connection.
	server net.Conn
	// sent are the types of the messages that the entry was sent.
	sent  chan byte
	group *errgroup.Group
	entry net.Conn
}

func newAnswerRun() *answerRun {
	server, conn := net.Pipe()
	entry, stream := net.Pipe()
	m := bundle.Member{Name: "m", Address: "127.0.0.1:1", Slots: 1, Connections: 9}
	g := &bundle.Group{Name: "g", Members: []bundle.Member{m}}
	t := &task{
		owner: New(Config{Log: hclog.NewNullLogger()}), server: newServer(backend.Config{}, &bundle.Bundle{}, &m), stream: peer.NewStream(stream),
		header: peer.Header{Kind: peer.KindWrite, Member: "m", Group: "g"}, deadline: time.Now().Add(5 * time.Second),
		monitor: monitor.New(monitor.Config{Group: g, WatcherIndex: func() int { return 0 }, Preference: func(*bundle.Group, *bundle.Member) int { return 0 }, Log: hclog.NewNullLogger()}),
	}
	e := &exchange{task: t, conn: &backend.Conn{Conn: conn, Reader: wire.NewReader(conn, wire.MaxBodySize), Writer: wire.NewWriter(conn)}, startedAt: time.Now(), tx: outcome.New(false)}
	e.handleEvent(outcome.Forwarded{MayCommit: true})
	r := &answerRun{exchange: e, server: server, sent: make(chan byte, 16), group: &errgroup.Group{}, entry: entry}
	r.group.Go(func() error {
		for s := peer.NewStream(entry); ; {
			m, err := s.Read()
			if err != nil {
				return nil
			}
			r.sent <- m.Type
		}
	})
	return r
}

// answer makes the backend server send messages and then stay silent.
func (r *answerRun) answer(l ...wire.Message) {
	r.group.Go(func() error {
		w := wire.NewWriter(r.server)
		for _, m := range l {
			_ = w.Write(m)
		}
		_ = w.Flush()
		return nil
	})
}

func (r *answerRun) end() {
	_ = r.server.Close()
	_ = r.entry.Close()
	Expect(r.group.Wait()).To(Succeed())
}

var malformedAnswers = []TableEntry{
	Entry("parameter without its end", wire.Message{Type: wire.ParameterStatus, Body: []byte("member_position")}),
	Entry("parameter without a value", wire.Message{Type: wire.ParameterStatus, Body: []byte("member_position\x00")}),
	Entry("parameter whose value has no end", wire.Message{Type: wire.ParameterStatus, Body: []byte("member_position\x003/17")}),
	Entry("position that is none", wire.Message{Type: wire.ParameterStatus, Body: []byte("member_position\x003/x\x00")}),
	Entry("more than one value", wire.Message{Type: wire.ParameterStatus, Body: []byte("member_position\x003/17\x00\x00")}),
	Entry("type of a verdict between daemons", wire.Message{Type: peer.TypeVerdict, Body: []byte(`{"outcome":"done"}`)}),
	Entry("unknown type", wire.Message{Type: '~'}),
	Entry("end of an answer without a status", wire.Message{Type: wire.ReadyForQuery}),
	Entry("end of an answer with an unknown status", wire.Message{Type: wire.ReadyForQuery, Body: []byte("X")}),
	Entry("command tag without its end", wire.Message{Type: wire.CommandComplete, Body: []byte("DELETE 1")}),
	Entry("empty command tag", wire.Message{Type: wire.CommandComplete}),
}

var _ = DescribeTable("a malformed message of a backend server is a lost connection, and isn't passed on",
	func(m wire.Message) {
		r := newAnswerRun()
		defer r.end()
		r.answer(wire.Message{Type: wire.ParseComplete}, m, wire.Message{Type: wire.ReadyForQuery, Body: []byte{'I'}})
		v := r.exchange.relayToEntry()
		Expect(v.Outcome).To(Equal(peer.InDoubt))
		Expect(v.Reason).To(Equal(string(outcome.ConnectionLost)))
		Expect(r.exchange.connReturned).To(BeTrue())
		Consistently(r.sent, 50*time.Millisecond).ShouldNot(Receive(Not(Equal(wire.ParseComplete))))
	}, malformedAnswers)

var _ = DescribeTable("a malformed message of a backend server ends a statement of the owner itself",
	func(m wire.Message) {
		r := newAnswerRun()
		defer r.end()
		r.group.Go(func() error {
			_, _ = wire.NewReader(r.server, wire.MaxBodySize).Read()
			r.answer(m, wire.Message{Type: wire.ReadyForQuery, Body: []byte{'I'}})
			return nil
		})
		_, err := r.exchange.execInternal("BEGIN")
		Expect(err).To(HaveOccurred())
	}, malformedAnswers)

var _ = It("a connection is closed and given back after a panic during the exchange", func() {
	r := newAnswerRun()
	defer r.end()
	r.exchange.conn.Reader = nil
	Expect(func() { r.exchange.run(context.Background()) }).To(Panic())
	Expect(r.exchange.connReturned).To(BeTrue())
	_, err := io.ReadAll(r.server)
	Expect(err).NotTo(HaveOccurred())
})
