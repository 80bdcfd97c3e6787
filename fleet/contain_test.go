package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/takeover"
)

var _ = Describe("a panic", func() {
	It("in one item of the store leaves the others in force", func() {
		f := newTestDaemon()
		f.config.Decoder = Decoder{
			ConfigurationKey: "configuration", MemberPrefix: "members/",
			Configuration: func([]byte) (*catalog.Catalog, error) { panic("malformed") },
			Member: func(string, []byte) (catalog.Member, uint64, error) {
				return catalog.Member{ID: "m", Group: "g"}, 1, nil
			},
		}
		f.applyItems([]store.Item{{Key: "configuration", Position: at(1)}, {Key: "members/m", Position: at(2)}}, fromStore)
		Expect(f.Catalog()).To(BeNil())
		_, ok := f.table.Member("m")
		Expect(ok).To(BeTrue())
	})

	It("in a task of a group doesn't end the group's tasks", func() {
		f := newTestDaemon()
		g := f.group("g")
		g.taskRunning = true
		f.spawn(func(context.Context) {
			defer f.endTask(&g.taskRunning)
			panic("task")
		})
		Eventually(func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return g.taskRunning
		}, 5*time.Second).Should(BeFalse())
	})

	DescribeTable("in a request has the outcome of a lost reply", func(r query.Request, want query.Reason) {
		f := newTestDaemon()
		f.view = nil
		o := f.Execute(context.Background(), &r, nil)
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(want))
	},
		Entry("write", query.Request{Primary: true, Action: query.ActionWrite, Remaining: time.Second}, query.InDoubt),
		Entry("commit", query.Request{Primary: true, Action: query.ActionCommit, Stage: query.Later, Remaining: time.Second}, query.InDoubt),
		Entry("statement of a transaction", query.Request{Primary: true, Stage: query.Later, Remaining: time.Second}, query.Aborted),
		Entry("read", query.Request{Primary: true, Remaining: time.Second}, query.Overloaded),
	)

	DescribeTable("that leaves the daemon's state locked ends the daemon", func(mutex func(*Daemon) *sync.Mutex) {
		f := newTestDaemon()
		Expect(f.contain("test", func() {
			mutex(f).Lock()
			panic("locked")
		})).To(BeFalse())
		var err error
		Expect(f.failed).To(Receive(&err))
		Expect(contain.IsPanic(err)).To(BeTrue())
	},
		Entry("hosts and groups", func(f *Daemon) *sync.Mutex { return &f.mu }),
		Entry("rates of teams", func(f *Daemon) *sync.Mutex { return &f.rates.mu }),
	)
})

// FuzzCall checks that no call of another daemon panics.
func FuzzCall(f *testing.F) {
	d, err := New(Config{
		Self: membership.Host{ID: "a", FailureDomain: "west-a", Region: "west"}, PeerListen: "127.0.0.1:0", Secret: "s",
		Store: &conflictStore{}, Log: hclog.NewNullLogger(), Features: Features{Rates: &RateBounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(d.stop)
	d.catalog.Store(&catalog.Catalog{Groups: map[string]catalog.Group{"g": {Name: "g"}}, Teams: map[string]catalog.Team{"t": {Name: "t", Rate: 1, Burst: 1}}})
	d.era = eraState{known: true, first: true}
	d.group("g").Handle(takeover.LeaseEvent{Event: lease.RecordObserved{Record: lease.Record{Holder: d.selfHolder(), Epoch: 1}, Position: at(1), RequestedAt: now()}}, now())
	for _, p := range []string{"null", "{}", "[]", `"x"`, `{"group":"g"}`, `{"Group":"g","Stage":2,"Action":1,"Primary":true,"Remaining":1}`, `{"revision":18446744073709551615}`, `{"key":""}`, `{"Template":{"Text":""},"Stage":3}`, `{"g":"g","h":"b","n":1,"i":[{"t":"t","w":9,"a":1,"s":[{"c":1,"n":1}]},{"t":"unknown","l":{"r":1,"b":-1},"w":1}]}`, `{"g":"g","e":2}`} {
		for _, m := range []string{methodExecute, methodPosition, methodExchange, methodWrite, methodPing, methodLend, methodClose, "other"} {
			f.Add(m, []byte(p))
		}
	}
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		// The store of this test has no single reads.
		if method == methodItem || !json.Valid(params) {
			return
		}
		x, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer stop()
		p := json.RawMessage(params)
		if _, err := d.handleCall(x, &jsonrpc2.Request{Method: method, Params: &p}); contain.IsPanic(err) {
			t.Fatal(err)
		}
	})
}
