package pool_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

func TestPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pool")
}

// member is a stand-in backend server that records what it runs.
type member struct {
	mu sync.Mutex
	// open and running count current connections and statements; maxOpen and
	// maxRunning are their highest values.
	open, maxOpen       int
	running, maxRunning int
	limit               int
	// statementTime is how long a statement runs. If drop is set, the connection
	// breaks instead of returning an answer.
	statementTime time.Duration
	drop          atomic.Bool
	// commits counts the commits that were received. openTime is how long opening a
	// connection takes.
	commits  atomic.Int64
	openTime time.Duration
	// replaced is set once the member isn't to be used any more. late holds the IDs of the
	// statements and commits that it ran from then on.
	replaced atomic.Bool
	late     sync.Map
	// refuse makes the member refuse statements without ending their transaction.
	refuse atomic.Bool
	// mismatched lists statements that ran with a session value other than their
	// own.
	mismatched []string
	// dialed counts the connections opened in the name of each team. foreign lists
	// statements that ran on a connection of another team.
	dialed  map[string]int
	foreign []string
	// signed counts the signatures, each of which is new.
	signed atomic.Int64
}

func (m *member) Dial(_ context.Context, _ catalog.Member, team string) (pool.Conn, logpos.Position, error) {
	time.Sleep(m.openTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open >= m.limit {
		return nil, logpos.Position{}, &query.Failure{Reason: query.TooManyConnections}
	}
	m.open++
	m.maxOpen = max(m.maxOpen, m.open)
	if m.dialed == nil {
		m.dialed = map[string]int{}
	}
	m.dialed[team]++
	return &conn{m: m, team: team, state: query.Idle, values: map[string]string{}}, logpos.Position{}, nil
}

// conn is a connection to a member.
type conn struct {
	m      *member
	team   string
	state  query.State
	values map[string]string
	closed atomic.Bool
}

func (c *conn) Close() {
	if c.closed.CompareAndSwap(false, true) {
		c.m.mu.Lock()
		c.m.open--
		c.m.mu.Unlock()
	}
}

func (c *conn) RunStep(s query.Step, _ time.Time) (query.Reply, error) {
	if c.closed.Load() {
		return query.Reply{}, errs.New("connection closed")
	}
	switch s := s.(type) {
	case query.ResetSession:
		clear(c.values)
	case query.SetValue:
		c.values[s.Value.Name] = s.Value.Text
	case query.BeginTransaction:
		c.state = query.Open
	case query.EndTransaction:
		c.state = query.Idle
		if s.Commit {
			c.m.commits.Add(1)
			c.m.recordRun(s.ID)
		}
	case query.RunStatement:
		if c.m.refuse.Load() {
			return query.Reply{State: c.state, Failure: &query.Failure{Reason: query.Overloaded}}, nil
		}
		if err := c.run(s); err != nil {
			return query.Reply{}, err
		}
	}
	return query.Reply{State: c.state, Signature: signature(s, &c.m.signed), Position: logpos.Position{Term: 1, Offset: 1}}, nil
}

// signature returns a new signature for a statement or a commit, and none for other steps.
func signature(s query.Step, signed *atomic.Int64) string {
	if e, ok := s.(query.EndTransaction); ok && e.Commit {
		return "s" + strconv.FormatInt(signed.Add(1), 10)
	}
	if _, ok := s.(query.RunStatement); ok {
		return "s" + strconv.FormatInt(signed.Add(1), 10)
	}
	return "-"
}

// recordRun takes note of a statement or commit that is run now.
func (m *member) recordRun(id string) {
	if m.replaced.Load() {
		m.late.Store(id, true)
	}
}

func (c *conn) run(s query.RunStatement) error {
	c.m.mu.Lock()
	c.m.running++
	c.m.maxRunning = max(c.m.maxRunning, c.m.running)
	if c.values["v"] != s.Text {
		c.m.mismatched = append(c.m.mismatched, s.Text+" ran with "+c.values["v"])
	}
	if t, ok := strings.CutPrefix(s.Text, "for "); ok && t != c.team {
		c.m.foreign = append(c.m.foreign, s.Text+" ran for "+c.team)
	}
	c.m.mu.Unlock()
	time.Sleep(c.m.statementTime)
	c.m.mu.Lock()
	c.m.running--
	c.m.mu.Unlock()
	if c.m.drop.Load() {
		c.Close()
	}
	c.m.recordRun(s.ID)
	if c.closed.Load() {
		return errs.New("connection lost")
	}
	return nil
}

func allow() *query.Failure { return nil }

// run runs a request without a floor.
func run(p *pool.Pool, r *query.Request) query.Reply {
	return p.Execute(context.Background(), r, logpos.Position{}, allow)
}

func newPool(m *member, slots, connections int) *pool.Pool {
	return pool.New(pool.Config{
		Member: catalog.Member{ID: "m", Slots: slots}, Connections: connections, Dialer: m, Now: time.Now,
		ObservePosition: func(logpos.Position, time.Time) {}, Log: hclog.NewNullLogger(),
	})
}

func request(session, value string, stage query.Stage, action query.Action) *query.Request {
	return &query.Request{
		ID: session, Session: session, Transaction: session, Remaining: 5 * time.Second, Stage: stage, Action: action, Text: value,
		Values: []query.Value{{Name: "v", Text: value}},
	}
}

var _ = Describe("Pool", func() {
	It("runs each statement with its own session values, within the slots and without the reserved connections", func() {
		m := &member{limit: 10, statementTime: time.Millisecond}
		p := newPool(m, 3, 10)
		var w sync.WaitGroup
		for i := range 20 {
			w.Go(func() {
				s := string(rune('a' + i))
				for range 10 {
					Expect(run(p, request(s, s, query.Single, query.ActionRead)).Failure).To(BeNil())
				}
			})
		}
		w.Wait()
		Expect(m.mismatched).To(BeEmpty())
		// One statement is queued at the member in addition to the slots.
		Expect(m.maxRunning).To(BeNumerically("<=", 4))
		Expect(m.maxOpen).To(BeNumerically("<=", 8))
	})

	It("runs all statements of a transaction on one connection, which no others use", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		Expect(run(p, request("a", "a", query.First, query.ActionWrite)).State).To(Equal(query.Open))
		Expect(p.HasTransaction("a")).To(BeTrue())
		Expect(run(p, request("b", "b", query.Single, query.ActionRead)).State).To(Equal(query.Idle))
		Expect(run(p, request("a", "a", query.Later, query.ActionRead)).State).To(Equal(query.Open))
		Expect(run(p, request("a", "", query.Later, query.ActionCommit)).State).To(Equal(query.Idle))
		Expect(p.HasTransaction("a")).To(BeFalse())
		Expect(p.Busy()).To(BeZero())
		Expect(m.mismatched).To(BeEmpty())
	})

	It("reports a lost answer as in doubt for a write, unreachable for a read and aborted in a transaction", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		Expect(run(p, request("t", "t", query.First, query.ActionRead)).State).To(Equal(query.Open))
		m.drop.Store(true)
		Expect(run(p, request("w", "w", query.Single, query.ActionWrite)).Failure.Reason).To(Equal(query.InDoubt))
		Expect(run(p, request("r", "r", query.Single, query.ActionRead)).Failure.Reason).To(Equal(query.Unreachable))
		Expect(run(p, request("f", "f", query.First, query.ActionWrite)).Failure.Reason).To(Equal(query.Aborted))
		Expect(run(p, request("g", "g", query.First, query.ActionRead)).Failure.Reason).To(Equal(query.Aborted))
		Expect(run(p, request("t", "t", query.Later, query.ActionWrite)).Failure.Reason).To(Equal(query.Aborted))
		Expect(run(p, request("t", "t", query.Later, query.ActionRead)).Failure.Reason).To(Equal(query.Aborted))
		Expect(p.Busy()).To(BeZero())
	})

	It("doesn't send a step that the guard rejects", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		reject := func() *query.Failure { return &query.Failure{Reason: query.Moved} }
		o := p.Execute(context.Background(), request("a", "a", query.Single, query.ActionWrite), logpos.Position{}, reject)
		Expect(o.Failure.Reason).To(Equal(query.Moved))
		Expect(m.maxRunning).To(BeZero())
	})

	It("waits while the member has no connections left", func() {
		m := &member{limit: 0}
		p := newPool(m, 3, 10)
		time.AfterFunc(100*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.limit = 1
		})
		Expect(run(p, request("a", "a", query.Single, query.ActionRead)).Failure).To(BeNil())
	})

	It("opens an urgent transaction while background ones are idle", func() {
		m := &member{limit: 12}
		p := newPool(m, 3, 12)
		for i := range 5 {
			r := request(string(rune('a'+i)), "x", query.First, query.ActionRead)
			r.Rank = bundle.Background
			Expect(run(p, r).Failure).To(BeNil())
		}
		b := request("z", "x", query.First, query.ActionRead)
		b.Rank, b.Remaining = bundle.Background, 50*time.Millisecond
		Expect(run(p, b).Failure.Reason).To(Equal(query.Overloaded))
		Expect(run(p, request("u", "x", query.First, query.ActionRead)).Failure).To(BeNil())
	})

	It("rolls back a transaction that was abandoned while its first statement ran", func() {
		m := &member{limit: 10, statementTime: 50 * time.Millisecond}
		p := newPool(m, 3, 10)
		done := make(chan query.Reply, 1)
		go func() { done <- run(p, request("a", "a", query.First, query.ActionRead)) }()
		time.Sleep(10 * time.Millisecond)
		run(p, request("a", "a", query.Abandon, query.ActionRead))
		o := <-done
		Expect(o.Failure.Reason).To(Equal(query.Aborted))
		Expect(o.State).To(Equal(query.Failed))
		Expect(p.HasTransaction("a")).To(BeFalse())
		Expect(p.Busy()).To(BeZero())
		Expect(run(p, request("b", "b", query.Single, query.ActionRead)).State).To(Equal(query.Idle))
	})

	It("rolls back a transaction whose first statement was refused, because it may be opened at another member", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		m.refuse.Store(true)
		o := run(p, request("a", "a", query.First, query.ActionRead))
		Expect(o.Failure.Reason).To(Equal(query.Overloaded))
		Expect(o.State).To(Equal(query.Failed))
		Expect(p.HasTransaction("a")).To(BeFalse())
		m.refuse.Store(false)
		Expect(run(p, request("b", "b", query.Single, query.ActionRead)).State).To(Equal(query.Idle))
	})

	It("runs each team's statements on connections in its name, also with more teams than connections", func() {
		m := &member{limit: 10, statementTime: time.Millisecond}
		p := newPool(m, 3, 10)
		var w sync.WaitGroup
		for i := range 20 {
			w.Go(func() {
				team := "t" + strconv.Itoa(i)
				for j := range 10 {
					r := request(team+"-"+strconv.Itoa(j), "for "+team, query.Single, query.ActionRead)
					r.Team = team
					Expect(run(p, r).Failure).To(BeNil())
				}
			})
		}
		w.Wait()
		Expect(m.foreign).To(BeEmpty())
		Expect(m.dialed).To(HaveLen(20))
		Expect(m.maxOpen).To(BeNumerically("<=", 8))
	})

	It("probes a member on a connection in the daemon's own name", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		r := request("a", "a", query.Single, query.ActionRead)
		r.Team = "red"
		Expect(run(p, r).Failure).To(BeNil())
		_, err := p.Probe(context.Background(), query.ResetSession{}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.dialed).To(Equal(map[string]int{"red": 1, "": 1}))
	})

	It("ends idle transactions, and all transactions when it is killed", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		Expect(run(p, request("a", "a", query.First, query.ActionWrite)).State).To(Equal(query.Open))
		p.EndIdleTransactions(0)
		Expect(p.HasTransaction("a")).To(BeFalse())
		Expect(run(p, request("b", "b", query.First, query.ActionWrite)).State).To(Equal(query.Open))
		p.Kill()
		Expect(m.open).To(BeZero())
		Expect(run(p, request("c", "c", query.Single, query.ActionRead)).Failure.Reason).To(Equal(query.Moved))
	})
})
