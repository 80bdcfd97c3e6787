package session_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/session"
)

const seed = "20261204"

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", seed)).To(Succeed())
	t.Log("rapid seed", seed)
	RunSpecs(t, "Session")
}

// entry is one write in a member's log.
type entry struct {
	id   int
	term uint64
}

// model simulates a group of three members, a daemon's view of it and two sessions.
type model struct {
	t       *rapid.T
	now     time.Time
	term    uint64
	primary int
	logs    [3][]entry
	view    *failover.Group
	writes  int
	floors  [2]session.Floor
	acked   [2][]int
	served  int
}

func memberName(m int) string { return fmt.Sprint("m", m) }

func position(l []entry) logpos.Position {
	if len(l) == 0 {
		return logpos.Position{}
	}
	return logpos.Position{Term: l[len(l)-1].term, Offset: uint64(len(l))}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), term: 1, view: failover.New()}
	m.view.Handle(failover.Configured{Members: []failover.Member{{Name: "m0"}, {Name: "m1"}, {Name: "m2"}}}, m.now)
	return m
}

func (m *model) drawSession() int { return rapid.IntRange(0, 1).Draw(m.t, "session") }

// commonPrefixLength returns the length of the common prefix of two logs.
func commonPrefixLength(a, b []entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// write appends an entry to the primary's log. The write is acknowledged only if a
// replica received it.
func (m *model) write(*rapid.T) {
	s := m.drawSession()
	m.writes++
	p := m.primary
	m.logs[p] = append(slices.Clone(m.logs[p]), entry{id: m.writes, term: m.term})
	if !rapid.Bool().Draw(m.t, "replicated") {
		return
	}
	r := (p + rapid.IntRange(1, 2).Draw(m.t, "replica")) % 3
	m.logs[r] = slices.Clone(m.logs[p])
	f := m.floors[s].Raise(position(m.logs[p]))
	if f.Position.Less(m.floors[s].Position) {
		m.t.Fatalf("floor decreased from %v to %v", m.floors[s].Position, f.Position)
	}
	m.floors[s] = f
	m.acked[s] = append(m.acked[s], m.writes)
}

// catchUp replicates more of the primary's log to a replica.
func (m *model) catchUp(*rapid.T) {
	r := rapid.IntRange(0, 2).Draw(m.t, "replica")
	if n := commonPrefixLength(m.logs[r], m.logs[m.primary]); r != m.primary {
		m.logs[r] = slices.Clone(m.logs[m.primary][:rapid.IntRange(n, len(m.logs[m.primary])).Draw(m.t, "entries")])
	}
}

// failOver promotes the member with the latest log among a majority. The others
// discard entries that the new primary doesn't have.
func (m *model) failOver(*rapid.T) {
	out := rapid.IntRange(0, 2).Draw(m.t, "unreachable")
	a, b := (out+1)%3, (out+2)%3
	if position(m.logs[a]).Less(position(m.logs[b])) {
		a = b
	}
	m.term++
	m.primary = a
	for i := range m.logs {
		m.logs[i] = slices.Clone(m.logs[i][:commonPrefixLength(m.logs[i], m.logs[a])])
	}
}

// report sends the status of one member to the daemon.
func (m *model) report(*rapid.T) {
	m.now = m.now.Add(time.Millisecond)
	i := rapid.IntRange(0, 2).Draw(m.t, "member")
	s := failover.Status{Role: failover.Replica, Term: m.term, Position: position(m.logs[i])}
	if i == m.primary {
		s.Role = failover.Primary
	}
	m.view.Handle(failover.StatusReported{Member: memberName(i), Status: s, RequestedAt: m.now}, m.now)
}

// changeDaemon moves a session to another daemon by its token.
func (m *model) changeDaemon(*rapid.T) {
	s := m.drawSession()
	p, err := session.ParseToken("orders", session.FormatToken("orders", m.floors[s].Position))
	if err != nil || p != m.floors[s].Position {
		m.t.Fatalf("position %v formatted and parsed as %v, %v", m.floors[s].Position, p, err)
	}
	m.floors[s] = session.Floor{}.Raise(p)
}

// forgeToken parses a token of a third session with a position beyond the log's end.
func (m *model) forgeToken(*rapid.T) {
	before := m.floors
	p, err := session.ParseToken("orders", session.FormatToken("orders", logpos.Position{Term: m.term + rapid.Uint64Range(1, 1<<40).Draw(m.t, "ahead")}))
	if err != nil {
		m.t.Fatalf("token refused: %v", err)
	}
	for i := range 3 {
		if m.view.MayServe(failover.ReplicaRead{Member: memberName(i), Floor: p, MaxAge: time.Hour}, m.now) {
			m.t.Fatalf("a read with a floor beyond the end of the log was served")
		}
	}
	if m.floors != before {
		m.t.Fatalf("a forged token changed another session's floor")
	}
}

// read checks that each replica that may serve a session has all of the session's
// acknowledged writes.
func (m *model) read(*rapid.T) {
	s := m.drawSession()
	for i := range 3 {
		if i == m.primary || !m.view.MayServe(failover.ReplicaRead{Member: memberName(i), Floor: m.floors[s].Position, MaxAge: time.Hour}, m.now) {
			continue
		}
		m.served++
		for _, w := range m.acked[s] {
			if !slices.ContainsFunc(m.logs[i], func(e entry) bool { return e.id == w }) {
				m.t.Fatalf("session %d reads from member %d, which lacks its write %d", s, i, w)
			}
		}
	}
}

var _ = Describe("a session", func() {
	It("reads its own writes despite changes of daemon, lag, failovers and forged tokens", func() {
		served := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newModel(t)
			t.Repeat(map[string]func(*rapid.T){
				"write": m.write, "catch up": m.catchUp, "fail": m.failOver, "report": m.report, "report again": m.report, "report more": m.report,
				"roam": m.changeDaemon, "forge": m.forgeToken, "read": m.read,
			})
			served += m.served
		})
		Expect(served).To(BeNumerically(">", 0))
	})

	It("keeps the highest floor, whatever the order of positions", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var f session.Floor
			for range rapid.IntRange(0, 20).Draw(t, "positions") {
				p := logpos.Position{Term: rapid.Uint64Range(0, 3).Draw(t, "term"), Offset: rapid.Uint64Range(0, 5).Draw(t, "offset")}
				g := f.Raise(p)
				if g.Position.Less(f.Position) || g.Position.Less(p) || !g.Known {
					t.Fatalf("floor %v after %v and %v", g, f, p)
				}
				f = g
			}
		})
	})
})

var _ = DescribeTable("an invalid token",
	func(s, reason string) {
		_, err := session.ParseToken("orders", s)
		var e *session.TokenError
		Expect(err).To(HaveOccurred())
		Expect(err).To(BeAssignableToTypeOf(session.Error.Wrap(e)))
		Expect(err.Error()).To(ContainSubstring(reason))
	},
	Entry("empty", "", "another form"),
	Entry("other version", "2:orders:1/1", "another form"),
	Entry("other group", "1:stock:1/1", "another database group"),
	Entry("no position", "1:orders:x", "no position"),
	Entry("negative", "1:orders:-1/1", "no position"),
	Entry("overflow", "1:orders:18446744073709551616/1", "no position"),
	Entry("extra part", "1:orders:1/1:1", "another form"),
	Entry("too long", "1:orders:1/"+strings.Repeat("1", 300), "too long"),
)
