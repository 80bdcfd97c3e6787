package pool_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// start runs a request and returns a channel for the reply, once the member runs it.
func start(m *member, p *pool.Pool, r *query.Request) <-chan query.Reply {
	c := make(chan query.Reply, 1)
	go func() {
		defer GinkgoRecover()
		c <- run(p, r)
	}()
	Eventually(func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.running
	}, 5*time.Second, time.Millisecond).Should(Equal(1))
	return c
}

// Guards against a write that commits at a replaced primary after the promotion of another
// member and is acknowledged (case 1 of the review, ONE).
var _ = Describe("Pool.Kill while work is in flight", func() {
	const statementTime = 100 * time.Millisecond

	It("acknowledges nothing that the member runs from then on, whatever is under way", func() {
		const (
			runs    = 40
			callers = 12
		)
		for seed := range uint64(runs) {
			r := rand.New(rand.NewPCG(seed, 1))
			m := &member{limit: 20, statementTime: time.Millisecond, openTime: time.Duration(r.IntN(3)) * time.Millisecond}
			p := newPool(m, 4, 20)
			var w sync.WaitGroup
			var acknowledged sync.Map
			acknowledge := func(q *query.Request) query.Reply {
				o := run(p, q)
				if o.Failure == nil && q.Action != query.ActionRead {
					acknowledged.Store(q.ID, true)
				}
				return o
			}
			for i := range callers {
				w.Go(func() {
					for n := 0; ; n++ {
						id := fmt.Sprintf("%d-%d", i, n)
						if i%2 == 0 {
							if f := acknowledge(request(id, id, query.Single, query.ActionWrite)).Failure; f != nil && f.Reason == query.Moved {
								return
							}
							continue
						}
						o := run(p, request(id, id, query.First, query.ActionWrite))
						if o.Failure != nil && o.Failure.Reason == query.Moved {
							return
						}
						c := request(id, id, query.Later, query.ActionCommit)
						c.ID = "commit-" + id
						if o.State == query.Open {
							acknowledge(c)
						}
					}
				})
			}
			time.Sleep(time.Duration(5000+r.IntN(10_000)) * time.Microsecond)
			p.Kill()
			m.replaced.Store(true)
			w.Wait()
			acknowledged.Range(func(id, _ any) bool {
				_, late := m.late.Load(id)
				Expect(late).To(BeFalse(), "%s, seed %d", id, seed)
				return true
			})
		}
	})

	It("ends a transaction whose first statement is running", func() {
		m := &member{limit: 10, statementTime: statementTime}
		p := newPool(m, 3, 10)
		c := start(m, p, request("a", "a", query.First, query.ActionWrite))
		p.Kill()
		var o query.Reply
		Eventually(c, 5*time.Second).Should(Receive(&o))
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(query.Aborted))
		Expect(p.HasTransaction("a")).To(BeFalse())
		Expect(run(p, request("a", "a", query.Later, query.ActionCommit)).Failure.Reason).To(Equal(query.Aborted))
		Expect(m.commits.Load()).To(BeZero())
		Expect(p.Load().Connections).To(BeZero())
	})

	It("leaves the outcome of a running single write in doubt", func() {
		m := &member{limit: 10, statementTime: statementTime}
		p := newPool(m, 3, 10)
		c := start(m, p, request("a", "a", query.Single, query.ActionWrite))
		p.Kill()
		var o query.Reply
		Eventually(c, 5*time.Second).Should(Receive(&o))
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(query.InDoubt))
		Expect(p.Load().Connections).To(BeZero())
	})

	It("lets a running read outside of transactions finish", func() {
		m := &member{limit: 10, statementTime: statementTime}
		p := newPool(m, 3, 10)
		c := start(m, p, request("a", "a", query.Single, query.ActionRead))
		p.Kill()
		var o query.Reply
		Eventually(c, 5*time.Second).Should(Receive(&o))
		Expect(o.Failure).To(BeNil())
		Expect(p.Load().Connections).To(BeZero())
	})

	It("doesn't send a commit afterwards, and tells that it wasn't run", func() {
		m := &member{limit: 10}
		p := newPool(m, 3, 10)
		Expect(run(p, request("a", "a", query.First, query.ActionWrite)).State).To(Equal(query.Open))
		p.Kill()
		Expect(run(p, request("a", "a", query.Later, query.ActionCommit)).Failure.Reason).To(Equal(query.Aborted))
		Expect(m.commits.Load()).To(BeZero())
		Expect(p.HasTransaction("a")).To(BeFalse())
	})

	DescribeTable("sends nothing on a connection that was being opened", func(s query.Stage) {
		m := &member{limit: 10, openTime: statementTime}
		p := newPool(m, 3, 10)
		c := make(chan query.Reply, 1)
		go func() {
			defer GinkgoRecover()
			c <- run(p, request("a", "a", s, query.ActionWrite))
		}()
		time.Sleep(statementTime / 2)
		p.Kill()
		var o query.Reply
		Eventually(c, 5*time.Second).Should(Receive(&o))
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(query.Moved))
		Expect(m.maxRunning).To(BeZero())
		Expect(p.Load().Connections).To(BeZero())
	},
		Entry("by a single write", query.Single),
		Entry("by the first statement of a transaction", query.First),
	)
})
