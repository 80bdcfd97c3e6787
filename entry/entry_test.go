package entry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// router records requests and returns the given replies, or else default ones.
type router struct {
	requests []query.Request
	pins     []*entry.Pin
	replies  []query.Reply
}

func (r *router) Execute(_ context.Context, q *query.Request, p *entry.Pin) query.Response {
	r.requests, r.pins = append(r.requests, *q), append(r.pins, p)
	o := query.Response{Owner: "h", Member: "m", Transaction: "t1", Reply: query.Reply{State: query.Idle, Signature: "s"}}
	if q.Stage == query.First || q.Stage == query.Later && q.Action != query.ActionCommit {
		o.State = query.Open
	}
	if len(r.replies) > 0 {
		o.Reply, r.replies = r.replies[0], r.replies[1:]
	}
	return o
}

// limiter refuses operations on demand, and records what it is told.
type limiter struct {
	refuse  *query.Failure
	teams   []string
	settled []*query.Response
}

func (l *limiter) Admit(_ context.Context, q *query.Request, _ catalog.Database) (func(*query.Response), *query.Failure) {
	l.teams = append(l.teams, q.Team)
	return func(o *query.Response) { l.settled = append(l.settled, o) }, l.refuse
}

var _ = Describe("Session with a limiter", func() {
	var r *router
	var l *limiter
	var s *entry.Session
	x := context.Background()
	BeforeEach(func() {
		r, l = &router{}, &limiter{}
		k := &catalog.Catalog{Version: 1, Databases: map[string]catalog.Database{"p": {Name: "p", Group: "g", Consistency: catalog.PrimaryReads, StatementTimeout: time.Second}}}
		var f *query.Failure
		s, f = entry.New(entry.Config{Catalog: func() *catalog.Catalog { return k }, Router: r, Limiter: l}).Open(context.Background(), "p", catalog.KeyDigest{})
		Expect(f).To(BeNil())
	})

	It("asks it once for a statement or a transaction", func() {
		s.Handle(x, "1", query.Read{Text: "READ a"})
		Expect(l.teams).To(HaveLen(1))
		s.Handle(x, "2", query.Begin{})
		Expect(l.teams).To(HaveLen(1))
		s.Handle(x, "3", query.Read{Text: "READ a"})
		s.Handle(x, "4", query.Write{Text: "WRITE a b"})
		s.Handle(x, "5", query.Commit{})
		Expect(l.teams).To(HaveLen(2))
		Expect(l.settled).To(HaveLen(2))
		Expect(r.requests).To(HaveLen(4))
	})

	It("runs nothing that is refused, and ends a transaction that it has let in", func() {
		l.refuse = &query.Failure{Reason: query.Overloaded, RetryAfter: time.Second}
		Expect(s.Handle(x, "1", query.Read{Text: "READ a"}).Failure).To(Equal(l.refuse))
		s.Handle(x, "2", query.Begin{})
		o := s.Handle(x, "3", query.Write{Text: "WRITE a b"})
		Expect(o.Failure).To(Equal(l.refuse))
		Expect(o.State).To(Equal(query.Failed))
		Expect(r.requests).To(BeEmpty())
		s.Handle(x, "4", query.Rollback{})
		l.refuse = nil
		s.Handle(x, "5", query.Begin{})
		s.Handle(x, "6", query.Read{Text: "READ a"})
		l.refuse = &query.Failure{Reason: query.Overloaded}
		Expect(s.Handle(x, "7", query.Write{Text: "WRITE a b"}).Failure).To(BeNil())
		Expect(s.Handle(x, "8", query.Commit{}).Failure).To(BeNil())
	})
})

var _ = Describe("Session", func() {
	var r *router
	var k *catalog.Catalog
	var s *entry.Session
	var key catalog.KeyDigest
	x := context.Background()
	BeforeEach(func() {
		r, key = &router{}, catalog.KeyDigest{}
		k = &catalog.Catalog{Version: 1, IdleInTransaction: time.Second, Databases: map[string]catalog.Database{
			"p": {Name: "p", Group: "g", Consistency: catalog.PrimaryReads, StatementTimeout: time.Second},
			"b": {Name: "b", Group: "g", Consistency: catalog.BoundedStaleness, StatementTimeout: time.Second, MaxAge: time.Second},
			"o": {Name: "o", Group: "g", Consistency: catalog.ReadYourWrites, StatementTimeout: time.Second, MaxAge: time.Second},
		}}
	})
	open := func(d string) {
		var f *query.Failure
		s, f = entry.New(entry.Config{SessionPrefix: "h", Catalog: func() *catalog.Catalog { return k }, Router: r}).Open(context.Background(), d, key)
		Expect(f).To(BeNil())
	}
	last := func() query.Request { return r.requests[len(r.requests)-1] }
	handle := func(st query.Statement) query.Reply { return s.Handle(x, "id", st) }

	It("can't be opened for a database that isn't in the configuration", func() {
		_, f := entry.New(entry.Config{Catalog: func() *catalog.Catalog { return k }}).Open(context.Background(), "none", catalog.KeyDigest{})
		Expect(f.Reason).To(Equal(query.NoDatabase))
	})

	It("waits for the first configuration while the daemon starts", func() {
		var c atomic.Pointer[catalog.Catalog]
		time.AfterFunc(50*time.Millisecond, func() { c.Store(k) })
		_, f := entry.New(entry.Config{Catalog: c.Load}).Open(x, "p", catalog.KeyDigest{})
		Expect(f).To(BeNil())
	})

	It("is refused if the configuration doesn't come", func() {
		_, f := entry.New(entry.Config{Catalog: func() *catalog.Catalog { return nil }}).Open(x, "p", catalog.KeyDigest{})
		Expect(f.Reason).To(Equal(query.Overloaded))
	})

	It("sends the position of its last committed write with reads, but only for databases with own-write consistency", func() {
		open("o")
		r.replies = []query.Reply{{State: query.Idle, Position: logpos.Position{Term: 2, Offset: 7}}}
		handle(query.Write{Text: "WRITE a b"})
		Expect(last().Primary).To(BeTrue())
		handle(query.Read{Text: "READ a"})
		Expect(last().Primary).To(BeFalse())
		Expect(last().Floor).To(Equal(logpos.Position{Term: 2, Offset: 7}))
		open("b")
		handle(query.Write{Text: "WRITE a b"})
		handle(query.Read{Text: "READ a"})
		Expect(last().Floor).To(BeZero())
	})

	It("runs a transaction where its first statement ran", func() {
		open("p")
		Expect(handle(query.Begin{}).State).To(Equal(query.Open))
		Expect(r.requests).To(BeEmpty())
		handle(query.Read{Text: "READ a"})
		Expect(last().Stage).To(Equal(query.First))
		handle(query.Write{Text: "WRITE a b"})
		Expect(last().Stage).To(Equal(query.Later))
		Expect(r.pins[1]).To(Equal(&entry.Pin{Host: "h", Member: "m", Transaction: "t1"}))
		Expect(handle(query.Commit{}).State).To(Equal(query.Idle))
		handle(query.Read{Text: "READ a"})
		Expect(last().Stage).To(Equal(query.Single))
		Expect(r.pins[3]).To(BeNil())
	})

	It("applies a new configuration from the next transaction on", func() {
		open("p")
		handle(query.Begin{})
		k = &catalog.Catalog{Version: 2, Databases: map[string]catalog.Database{"p": {Name: "p", Group: "other"}}}
		handle(query.Read{Text: "READ a"})
		Expect(last().Group).To(Equal("g"))
		handle(query.Commit{})
		handle(query.Read{Text: "READ a"})
		Expect(last().Group).To(Equal("other"))
		k = &catalog.Catalog{Version: 3}
		Expect(handle(query.Read{Text: "READ a"}).Failure.Reason).To(Equal(query.NoDatabase))
	})

	It("doesn't commit a failed transaction", func() {
		open("p")
		handle(query.Begin{})
		r.replies = []query.Reply{{State: query.Failed, Failure: &query.Failure{Reason: query.Aborted}}}
		Expect(handle(query.Write{Text: "WRITE a b"}).State).To(Equal(query.Failed))
		Expect(handle(query.Read{Text: "READ a"}).Failure.Reason).To(Equal(query.Malformed))
		n := len(r.requests)
		o := handle(query.Commit{})
		Expect(o.Failure.Reason).To(Equal(query.Aborted))
		Expect(o.State).To(Equal(query.Idle))
		Expect(r.requests).To(HaveLen(n))
	})

	It("rolls back an open transaction at its member when the session is closed", func() {
		open("p")
		handle(query.Begin{})
		handle(query.Write{Text: "WRITE a b"})
		s.Close()
		Expect(last().Stage).To(Equal(query.Abandon))
		Expect(r.pins[1].Transaction).To(Equal("t1"))
	})

	It("sends session values and prepared templates with requests, and refuses unknown names", func() {
		open("p")
		handle(query.Set{Value: query.Value{Name: "a", Text: "1"}})
		handle(query.Set{Value: query.Value{Name: "b", Text: "2"}})
		handle(query.Set{Value: query.Value{Name: "a", Text: "3"}})
		handle(query.Prepare{Name: "s", Template: query.Template{Write: true, Text: "q"}})
		handle(query.Execute{Name: "s", Arguments: "x y"})
		Expect(last().Values).To(Equal([]query.Value{{Name: "a", Text: "3"}, {Name: "b", Text: "2"}}))
		Expect(last().Template).To(Equal(&query.Template{Write: true, Text: "q"}))
		Expect(last().Action).To(Equal(query.ActionWrite))
		Expect(handle(query.Deallocate{Name: "s"}).Failure).To(BeNil())
		Expect(handle(query.Execute{Name: "s"}).Failure.Reason).To(Equal(query.UnknownName))
		Expect(handle(query.Deallocate{Name: "s"}).Failure.Reason).To(Equal(query.UnknownName))
	})

	DescribeTable("refuses statements that are invalid in its state", func(st query.Statement) {
		open("p")
		Expect(handle(st).Failure.Reason).To(Equal(query.Malformed))
		Expect(s.State()).To(Equal(query.Idle))
	},
		Entry("a commit", query.Commit{}), Entry("a rollback", query.Rollback{}), Entry("an unknown statement", nil),
	)
})
