package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// refusingOwner is another host that owns the members of group "g" and refuses each
// request because of a queue of the given length. Calls counts the requests.
type refusingOwner struct {
	wait  time.Duration
	calls atomic.Int64
}

// newRefusedEntry returns an entry whose members are owned by o.
func newRefusedEntry(o *refusingOwner) *Daemon {
	return newEntryOf(func(r *jsonrpc2.Request) (any, error) {
		o.calls.Add(1)
		var q query.Request
		if err := json.Unmarshal(*r.Params, &q); err != nil {
			return nil, err
		}
		m := q.Member
		if m == "" {
			m = "m0"
		}
		return query.Response{Reply: query.Refusal(query.Overloaded, "full"), Member: m, QueueWait: o.wait}, nil
	})
}

// newEntryOf returns a daemon whose group "g" has a primary and two replicas, all owned by
// another host, which handles requests as given.
func newEntryOf(execute func(*jsonrpc2.Request) (any, error)) *Daemon {
	x, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	h := membership.Host{ID: "owner", FailureDomain: "d", Region: "r", Weight: 1}
	n, err := peer.New(peer.Config{
		Listen: "127.0.0.1:0", Secret: "s", Self: h, Log: hclog.NewNullLogger(),
		HandleStream: func(_ context.Context, s *peer.Stream) { _ = s.Close() },
		HandleCall: func(_ context.Context, r *jsonrpc2.Request) (any, error) {
			if r.Method != methodExecute {
				return struct{}{}, nil
			}
			return execute(r)
		},
		OnLinkFailed: func(string, bool) {}, OnAnswer: func(string) {}, OnHostConnected: func(membership.Host) {},
	})
	Expect(err).NotTo(HaveOccurred())
	h.PeerAddress = n.Address()
	f := newTestDaemon()
	f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self, h}})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range []string{"m0", "m1", "m2"} {
		f.table.SetMember(catalog.Member{ID: id, Group: "g", Address: "127.0.0.1:1", FailureDomain: "d", Region: "r", Slots: 2, Primary: id == "m0"})
	}
	f.group("g").Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: lease.Holder{ID: h.ID, Address: h.PeerAddress}, Primary: "m0", Term: 1}, Position: at(7)}}, now())
	f.spawn(func(context.Context) { _ = n.Run(x) })
	return f
}

var _ = DescribeTable("an operation that its members' owner refuses for longer than its time", func(r query.Request, most int) {
	o := &refusingOwner{wait: 2 * time.Second}
	f := newRefusedEntry(o)
	execute := func() {
		q := r
		q.Group, q.Remaining, q.Rank = "g", 800*time.Millisecond, bundle.Background
		a := f.Execute(context.Background(), &q, nil)
		Expect(a.Failure).NotTo(BeNil())
		Expect(a.Failure.Reason).To(Equal(query.Overloaded))
		Expect(a.MayHaveRun).To(BeFalse())
	}
	execute()
	Expect(o.calls.Load()).To(BeNumerically("<=", most), "each member is asked once")
	n := o.calls.Load()
	for range 20 {
		execute()
	}
	Expect(o.calls.Load()).To(Equal(n), "the next ones are refused by the entry")
	time.Sleep(300 * time.Millisecond)
	execute()
	Expect(o.calls.Load()).To(BeNumerically(">", n), "and the owner is asked again soon")
},
	Entry("reads", query.Request{MaxAge: time.Second}, 3),
	Entry("primary work", query.Request{Primary: true, Action: query.ActionWrite}, 1),
)

var _ = It("logs a bounded number of failed requests in a second, and how many were left out", func() {
	var l lineLimit
	t, logged := time.Unix(1000, 0), 0
	for range 1000 {
		if _, ok := l.take(t); ok {
			logged++
		}
	}
	Expect(logged).To(Equal(maxFailureLines))
	skipped, ok := l.take(t.Add(time.Second))
	Expect(ok).To(BeTrue())
	Expect(skipped).To(Equal(uint64(1000 - maxFailureLines)))
})

var _ = It("explains what it refuses by itself because of an overload", func() {
	f := newExplainingDaemon(fakeMembers{"m": {}, "n": {}})
	holdGroup(f, lease.Holder{ID: "a"})
	write := explanation.Query{Kind: explanation.Write}
	steps := func() []explanation.Step {
		return slices.DeleteFunc(explain(f, write).Steps, func(s explanation.Step) bool { return s.Name != explanation.StepOverload })
	}
	Expect(steps()).To(BeEmpty())
	f.overload.table.Observe("p", bundle.Background, 2*time.Second, time.Now())
	Expect(steps()).To(HaveLen(1))
	Expect(steps()[0].Verdict).To(Equal(explanation.Refuses))
	f.overload.table.Observe("p", bundle.Background, 0, time.Now())
	for range 10 {
		f.overload.update(time.Second)
	}
	Expect(steps()).To(HaveLen(1))
	Expect(steps()[0].RetryAfterMS).To(BeNumerically(">", 0))
	Expect(explain(f, write).Decision.Outcome).To(Equal(explanation.Rejected))
})
