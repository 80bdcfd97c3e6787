package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// startTransaction answers the first query with an open transaction, and then runs next
// on the first message of the second one.
func startTransaction(next func(*peer.Stream)) func(*peer.Stream) {
	return func(s *peer.Stream) {
		Expect(s.Write(wire.Message{Type: wire.CommandComplete, Body: []byte("BEGIN\x00")}, wire.Message{Type: wire.ReadyForQuery, Body: []byte("T")})).To(Succeed())
		Expect(s.Flush()).To(Succeed())
		_, _ = s.Read()
		next(s)
	}
}

// sendRowsAndClose sends more rows than are held back.
func sendRowsAndClose(s *peer.Stream) {
	_ = s.Write(wire.Message{Type: wire.DataRow, Body: make([]byte, 2*maxBufferedBytes)})
	_ = s.Flush()
}

// outcomeOfCut sends a caller's messages, waits for the end of each answer that ends
// before the next is sent, and returns the code of the first error.
func outcomeOfCut(step func(*peer.Stream), l ...[]wire.Message) string {
	r := &scriptedRouter{g: &errgroup.Group{}, steps: []func(*peer.Stream){step}}
	c, stop := startSession(r, r.g, func(*callerSession) {})
	code := ""
	a, w := wire.NewReader(c, wire.MaxBodySize), wire.NewWriter(c)
	for _, q := range l {
		for _, m := range q {
			Expect(w.Write(m)).To(Succeed())
		}
		Expect(w.Flush()).To(Succeed())
		for m := (wire.Message{}); m.Type != wire.ReadyForQuery; {
			var err error
			m, err = a.Read()
			Expect(err).NotTo(HaveOccurred())
			var e pgproto3.ErrorResponse
			if m.Type == wire.ErrorResponse && e.Decode(m.Body) == nil && code == "" {
				code = e.Code
			}
		}
	}
	_ = c.Close()
	stop()
	Expect(r.g.Wait()).To(Succeed())
	return code
}

func simple(sql string) []wire.Message {
	return []wire.Message{{Type: wire.Query, Body: append([]byte(sql), 0)}}
}

// extended returns a batch of statements, with a Flush before its Sync if flushed is set.
func extended(flushed bool, sql ...string) []wire.Message {
	var l []wire.Message
	for _, s := range sql {
		l = append(l, wire.Message{Type: wire.Parse, Body: []byte("\x00" + s + "\x00\x00\x00")}, bind, execute)
	}
	if flushed {
		l = append(l, flush)
	}
	return append(l, syncMessage)
}

var _ = DescribeTable("the outcome of a request whose owner is lost is in doubt if it may have committed, also once a part of the answer was sent",
	func(want string, step func(*peer.Stream), l ...[]wire.Message) {
		Expect(outcomeOfCut(step, l...)).To(Equal(want))
	},
	Entry("read", codeCannotConnectNow, sendRowsAndClose, simple("SELECT 1")),
	Entry("write", codeInDoubt, sendRowsAndClose, simple("INSERT INTO t VALUES (1) RETURNING a")),
	Entry("write of a batch", codeInDoubt, sendRowsAndClose, extended(false, "INSERT INTO t VALUES (1) RETURNING a")),
	Entry("write of a flushed batch", codeInDoubt, sendRowsAndClose, extended(true, "INSERT INTO t VALUES (1) RETURNING a")),
	Entry("flushed batch that reads", codeCannotConnectNow, sendRowsAndClose, extended(true, "SELECT 1")),
	Entry("write in a transaction", codeCannotConnectNow, startTransaction(sendRowsAndClose), simple("BEGIN"), simple("INSERT INTO t VALUES (1) RETURNING a")),
	Entry("write and commit of a transaction", codeInDoubt, startTransaction(sendRowsAndClose), simple("BEGIN"), simple("INSERT INTO t VALUES (1) RETURNING a; COMMIT")),
	Entry("write and commit of a transaction in a batch", codeInDoubt, startTransaction(sendRowsAndClose), simple("BEGIN"), extended(false, "INSERT INTO t VALUES (1) RETURNING a", "COMMIT")),
	Entry("write and commit of a transaction in a batch, unanswered", codeInDoubt, startTransaction(closeUnanswered), simple("BEGIN"), extended(false, "INSERT INTO t VALUES (1)", "COMMIT")),
	Entry("write and commit of a transaction in a flushed batch", codeInDoubt, startTransaction(sendRowsAndClose), simple("BEGIN"), extended(true, "INSERT INTO t VALUES (1) RETURNING a", "COMMIT")),
)
