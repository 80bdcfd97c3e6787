package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// demotedMember answers demotions with one reply after the other.
type demotedMember struct {
	replies []query.Reply
	asked   atomic.Int64
}

func (m *demotedMember) Dial(context.Context, catalog.Member, string) (pool.Conn, logpos.Position, error) {
	return m, logpos.Position{}, nil
}

func (m *demotedMember) Close() {}

func (m *demotedMember) RunStep(query.Step, time.Time) (query.Reply, error) {
	return m.replies[min(int(m.asked.Add(1)), len(m.replies))-1], nil
}

// decodeStatus decodes the status of a member, which is its role.
func decodeStatus(o query.Reply) (query.Status, error) {
	if o.Failure != nil {
		return query.Status{}, o.Failure
	}
	if len(o.Rows) != 1 || o.Rows[0] != "primary" && o.Rows[0] != "replica" {
		return query.Status{}, errs.New("no status")
	}
	return query.Status{Primary: o.Rows[0] == "primary"}, nil
}

var _ = DescribeTable("a demotion is requested again unless the answer is the status of a replica", func(o query.Reply) {
	m := &demotedMember{replies: []query.Reply{o, {Rows: []string{"replica"}, Signature: "-", State: query.Idle}}}
	f, err := New(Config{
		Self: membership.Host{ID: "a", FailureDomain: "west-a", Region: "west"}, PeerListen: "127.0.0.1:0", Secret: "s", Store: &eraStore{}, Log: hclog.NewNullLogger(),
		Dialer: m, Decoder: Decoder{Status: decodeStatus},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.stop)
	f.mu.Lock()
	f.table.SetMember(catalog.Member{ID: "old", Group: "g", Slots: 4})
	g := f.group("g")
	f.mu.Unlock()
	f.demoteMember(context.Background(), g, "old")
	Expect(m.asked.Load()).To(Equal(int64(2)))
},
	Entry("an answer without a row", query.Reply{Signature: "-", State: query.Idle}),
	Entry("a row that is no status", query.Reply{Rows: []string{"x"}, Signature: "-", State: query.Idle}),
	Entry("the status of a primary", query.Reply{Rows: []string{"primary"}, Signature: "-", State: query.Idle}),
	Entry("a refusal", query.Reply{Failure: &query.Failure{Reason: query.Overloaded}, State: query.Idle}),
)
