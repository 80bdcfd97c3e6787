package fleet

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
	"github.com/dragonflypick/dragonflypick/takeover"
)

var _ = DescribeTable("a write for a group whose holder doesn't answer", func(copyAge time.Duration, refusedAtOnce bool) {
	f := newTestDaemon()
	h := membership.Host{ID: "gone", PeerAddress: "127.0.0.1:1", FailureDomain: "d", Region: "r"}
	f.updateView(membership.ListReceived{Hosts: []membership.Host{f.config.Self, h, {ID: "other", PeerAddress: "127.0.0.1:2"}}})
	f.updateView(membership.HostAnswered{ID: "other"})
	f.updateView(membership.LinkFailed{ID: h.ID})
	f.copy.Apply(storecopy.Update{Position: store.Position{Revision: 7}, CurrentAt: now().Add(-copyAge), Complete: true}, time.Now())
	f.mu.Lock()
	f.group("g").Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: lease.Holder{ID: h.ID}}, Position: store.Position{Revision: 7}}}, now())
	f.mu.Unlock()
	const limit = 300 * time.Millisecond
	t := time.Now()
	o := f.executePrimary(context.Background(), &query.Request{Group: "g", Primary: true, Action: query.ActionWrite, Remaining: limit}, t)
	Expect(o.Failure.Reason).To(Equal(query.Overloaded))
	Expect(o.MayHaveRun).To(BeFalse())
	Expect(time.Since(t) < limit/2).To(Equal(refusedAtOnce))
	if refusedAtOnce {
		Expect(o.Failure.RetryAfter).To(BeNumerically(">=", lostRetryAfter))
	}
},
	Entry("is refused at once while nothing is heard of the store", 10*time.Second, true),
	Entry("waits for the next holder while changes of the store arrive", time.Duration(0), false),
)
