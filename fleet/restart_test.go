package fleet

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

// silentDialer opens connections to members that don't answer.
type silentDialer struct{}

func (silentDialer) Dial(x context.Context, _ catalog.Member, _ string) (pool.Conn, logpos.Position, error) {
	<-x.Done()
	return nil, logpos.Position{}, x.Err()
}

// Guards against work at a primary whose record tells a later start, before its log has been
// checked (the class of case 5 of the review, STALE).
var _ = DescribeTable("a primary whose record changes", func(before, after int64, works bool) {
	f := newTestDaemon()
	f.config.Dialer = silentDialer{}
	born := before
	f.config.Decoder = Decoder{MemberPrefix: "members/", Member: func(string, []byte) (catalog.Member, uint64, error) {
		return catalog.Member{ID: "m", Group: "g", StartMillis: born}, 0, nil
	}}
	f.applyMember(store.Item{Key: "members/m", Position: at(1)})
	g := f.group("g")
	t := now()
	g.Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: f.selfHolder(), Epoch: 1, Primary: "m", Term: 1}, Position: at(2), RequestedAt: t}}, t)
	g.Handle(takeover.MembersPolled{Statuses: []takeover.MemberStatus{
		{Member: catalog.Member{ID: "m", Group: "g"}, Status: query.Status{Primary: true, Term: 1, Received: logpos.Position{Term: 1, Offset: 9}}},
	}, RequestedAt: t}, t)
	Expect(g.MaySendWork(now())).To(BeTrue())
	born = after
	f.applyMember(store.Item{Key: "members/m", Position: at(3)})
	Expect(g.MaySendWork(now())).To(Equal(works))
	if works {
		return
	}
	o := f.servePrimary(GinkgoT().Context(), &query.Request{Group: "g", Primary: true, Action: query.ActionRead, Remaining: 100 * time.Millisecond})
	Expect(o.Failure.Reason).To(Equal(query.Overloaded))
},
	Entry("to a later start gets no work", int64(7), int64(8), false),
	Entry("but not its start goes on", int64(7), int64(7), true),
	Entry("to one without a start goes on", int64(7), int64(0), true),
)
