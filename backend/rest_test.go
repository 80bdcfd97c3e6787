package backend_test

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/backend"
)

// stutteringServer is a PostgreSQL server that answers each Sync and sends stray once its
// connection has been opened.
type stutteringServer struct {
	listener net.Listener
	stray    []pgproto3.BackendMessage
}

func (s *stutteringServer) run() {
	for pid := uint32(1); ; pid++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c, pid)
	}
}

func (s *stutteringServer) serve(c net.Conn, pid uint32) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	time.Sleep(10 * time.Millisecond)
	for _, m := range s.stray {
		b.Send(m)
	}
	if b.Flush() != nil {
		return
	}
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		if _, ok := m.(*pgproto3.Sync); ok {
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			if b.Flush() != nil {
				return
			}
		}
	}
}

var _ = DescribeTable("a connection on which a backend server has sent something unasked", func(usable bool, stray ...pgproto3.BackendMessage) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	s := &stutteringServer{listener: l, stray: stray}
	go s.run()
	f := backend.Config{Address: l.Addr().String(), User: "u", Database: "d"}
	p := backend.NewPool(f, 2)
	DeferCleanup(p.Close)
	c, err := p.Take(context.Background())
	Expect(err).NotTo(HaveOccurred())
	first := c.PID()
	p.Put(c, false)
	time.Sleep(50 * time.Millisecond)
	c, err = p.Take(context.Background())
	Expect(err).NotTo(HaveOccurred())
	Expect(c.PID() == first).To(Equal(usable))
	p.Put(c, false)

	c, err = backend.Connect(context.Background(), f)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	time.Sleep(50 * time.Millisecond)
	Expect(c.Ping(time.Second) == nil).To(Equal(usable))
},
	Entry("isn't used after a second end of an answer", false, &pgproto3.ReadyForQuery{TxStatus: 'I'}),
	Entry("isn't used after a second answer", false, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}),
	Entry("isn't used after a refusal", false, &pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}),
	Entry("is used after asynchronous messages", true, &pgproto3.NoticeResponse{Severity: "NOTICE"}, &pgproto3.ParameterStatus{Name: "a", Value: "b"}, &pgproto3.NotificationResponse{Channel: "c"}),
	Entry("is used after nothing", true),
)
