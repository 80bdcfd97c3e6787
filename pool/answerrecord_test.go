package pool

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
)

var (
	aRead   = query.RunStatement{ID: "1", Text: "READ a"}
	aBegin  = query.BeginTransaction{ID: "1"}
	aCommit = query.EndTransaction{ID: "1", Commit: true}
	anEnd   = query.EndTransaction{}
)

// completed and refused return answers at offset n.
func completed(signature string, s query.State, n uint64) query.Reply {
	return query.Reply{Signature: signature, State: s, Position: logpos.Position{Term: 1, Offset: n}}
}

func refused(f query.Reason, s query.State, n uint64) query.Reply {
	o := completed("", s, n)
	o.Failure = &query.Failure{Reason: f}
	return o
}

// rows returns an answer with a row.
func rows(o query.Reply) query.Reply {
	o.Rows = []string{"r"}
	return o
}

// answered is a step and the answer to it.
type answered struct {
	s query.Step
	o query.Reply
}

var _ = DescribeTable("an answer that can't be to its step is told", func(want AnswerFault, s query.Step, o query.Reply, before ...answered) {
	r := answerRecord{state: query.Idle}
	for _, a := range before {
		Expect(r.check(a.s, a.o)).To(BeNil())
	}
	if e := r.check(s, o); want == "" {
		Expect(e).To(BeNil())
	} else {
		Expect(e).NotTo(BeNil())
		Expect(e.Fault).To(Equal(want))
	}
},
	Entry("a read", AnswerFault(""), aRead, rows(completed("s", query.Idle, 1))),
	Entry("a signature twice", Replayed, aRead, completed("s", query.Idle, 1), answered{aRead, completed("s", query.Idle, 1)}),
	Entry("an earlier signature", Replayed, aRead, completed("s", query.Idle, 1), answered{aRead, completed("s", query.Idle, 1)}, answered{aRead, completed("t", query.Idle, 1)}),
	Entry("a signature twice, the second time to a set-up step", Replayed, query.ResetSession{}, completed("s", query.Idle, 1), answered{aRead, completed("s", query.Idle, 1)}),
	Entry("a read without a signature", Unsigned, aRead, completed("-", query.Idle, 1)),
	Entry("a read with an empty signature", Unsigned, aRead, completed("", query.Idle, 1)),
	Entry("a commit without a signature", Unsigned, aCommit, completed("-", query.Idle, 1), answered{aBegin, completed("-", query.Open, 1)}),
	Entry("rows of a set-up step", WrongKind, query.SetValue{}, rows(completed("-", query.Idle, 1))),
	Entry("rows of a status", AnswerFault(""), query.GetStatus{}, rows(completed("-", query.Idle, 1))),
	Entry("the answer of a set-up step to the begin", WrongState, aBegin, completed("-", query.Idle, 1)),
	Entry("the answer of a begin to a set-up step", WrongState, query.SetValue{}, completed("-", query.Open, 1)),
	Entry("a begin's answer to the rollback", WrongState, anEnd, completed("-", query.Open, 1), answered{aBegin, completed("-", query.Open, 1)}),
	Entry("a statement that opens a transaction", WrongState, aRead, completed("s", query.Open, 1)),
	Entry("a statement that ends a transaction", WrongState, aRead, completed("s", query.Idle, 1), answered{aBegin, completed("-", query.Open, 1)}),
	Entry("a refusal that ends a transaction", WrongState, aRead, refused(query.Overloaded, query.Idle, 1), answered{aBegin, completed("-", query.Open, 1)}),
	Entry("a refusal that opens a transaction", WrongState, aRead, refused(query.Overloaded, query.Open, 1)),
	Entry("a refusal in a transaction", AnswerFault(""), aRead, refused(query.Overloaded, query.Failed, 1), answered{aBegin, completed("-", query.Open, 1)}),
	Entry("a refused commit", AnswerFault(""), aCommit, refused(query.ReadOnly, query.Idle, 1), answered{aBegin, completed("-", query.Open, 1)}),
	Entry("the same refusal twice", Repeated, aRead, refused(query.Lagging, query.Idle, 1), answered{aRead, refused(query.Lagging, query.Idle, 1)}),
	Entry("a refusal at a later position", AnswerFault(""), aRead, refused(query.Lagging, query.Idle, 2), answered{aRead, refused(query.Lagging, query.Idle, 1)}),
	Entry("a new signature at an earlier position", EarlierPosition, aRead, completed("t", query.Idle, 1), answered{aRead, completed("s", query.Idle, 2)}),
	Entry("a refusal at an earlier position", EarlierPosition, aRead, refused(query.Lagging, query.Idle, 1), answered{aRead, completed("s", query.Idle, 2)}),
	Entry("a set-up step at an earlier position", EarlierPosition, query.ResetSession{}, completed("-", query.Idle, 1), answered{aRead, completed("s", query.Idle, 2)}),
	Entry("a set-up step at the same position", AnswerFault(""), query.ResetSession{}, completed("-", query.Idle, 2), answered{aRead, completed("s", query.Idle, 2)}),
	Entry("a set-up step without a position", AnswerFault(""), query.ResetSession{}, completed("-", query.Idle, 0), answered{aRead, completed("s", query.Idle, 0)}),
)

var _ = It("a connection remembers a bounded number of signatures, the newest ones", func() {
	var r answerRecord
	r.state = query.Idle
	for i := range 2 * maxRecent {
		Expect(r.check(aRead, completed(strconv.Itoa(i), query.Idle, 1))).To(BeNil())
	}
	Expect(r.signatures.hashes).To(HaveLen(maxRecent))
	Expect(r.check(aRead, completed(strconv.Itoa(2*maxRecent-1), query.Idle, 1))).NotTo(BeNil())
	Expect(r.check(aRead, completed(strconv.Itoa(maxRecent), query.Idle, 1))).NotTo(BeNil())
})

// BenchmarkAnswerRecord measures the check of a signed answer on a connection that
// remembers as many as it can.
func BenchmarkAnswerRecord(b *testing.B) {
	r := answerRecord{state: query.Idle}
	var l [2 * maxRecent]query.Reply
	for i := range l {
		l[i] = completed("1.1.6e1.1.99b03f8609a30"+strconv.Itoa(i), query.Idle, 1)
		if i < maxRecent && r.check(aRead, l[i]) != nil {
			b.Fatal("not accepted")
		}
	}
	b.ReportAllocs()
	for i := maxRecent; b.Loop(); i++ {
		if r.check(aRead, l[i%len(l)]) != nil {
			b.Fatal("not accepted")
		}
	}
}

// laggingMember refuses each statement at the same position.
type laggingMember struct{}

func (laggingMember) Dial(context.Context, catalog.Member, string) (Conn, logpos.Position, error) {
	return laggingMember{}, logpos.Position{Term: 1, Offset: 7}, nil
}

func (laggingMember) RunStep(s query.Step, _ time.Time) (query.Reply, error) {
	if _, ok := s.(query.ResetSession); ok {
		return completed("-", query.Idle, 7), nil
	}
	return refused(query.Lagging, query.Idle, 7), nil
}

func (laggingMember) Close() {}

var _ = It("a refusal that equals an earlier one still tells the member's position, so that reads wait for its log", func() {
	told := 0
	p := New(Config{
		Member: catalog.Member{ID: "m", Slots: 1}, Connections: 4, Dialer: laggingMember{}, Now: time.Now, Log: hclog.NewNullLogger(),
		ObservePosition: func(logpos.Position, time.Time) { told++ },
	})
	for i := range 3 {
		o := p.Execute(context.Background(), &query.Request{ID: "1", Text: "READ a", Remaining: time.Second}, logpos.Position{}, func() *query.Failure { return nil })
		Expect(o.Failure.Reason).To(Equal(query.Lagging))
		Expect(told).To(Equal(1+i+1), "once when the connection was opened and once a read")
	}
})
