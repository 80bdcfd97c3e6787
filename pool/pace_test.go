package pool_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pace"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// slowDialer is a dialer whose connections take 10 ms to open.
type slowDialer struct {
	*member
	dialing, maxDialing atomic.Int64
}

func (d *slowDialer) Dial(x context.Context, m catalog.Member, team string) (pool.Conn, logpos.Position, error) {
	d.maxDialing.Store(max(d.maxDialing.Load(), d.dialing.Add(1)))
	defer d.dialing.Add(-1)
	time.Sleep(10 * time.Millisecond)
	return d.member.Dial(x, m, team)
}

var _ = Describe("Pool with a pace", func() {
	var m *member
	var d *slowDialer
	BeforeEach(func() {
		m = &member{limit: 60, statementTime: 10 * time.Millisecond}
		d = &slowDialer{member: m}
	})
	newPaced := func(c pool.PaceConfig, cold time.Duration) *pool.Pool {
		return pool.New(pool.Config{
			Member: catalog.Member{ID: "m", Slots: 8, ColdRemaining: cold}, Connections: 60, Dialer: d, Now: time.Now,
			ObservePosition: func(logpos.Position, time.Time) {}, Log: hclog.NewNullLogger(), Pace: &c,
		})
	}
	burst := func(p *pool.Pool, callers, each int) {
		var w sync.WaitGroup
		for i := range callers {
			w.Go(func() {
				defer GinkgoRecover()
				s := string(rune('a' + i))
				for range each {
					Expect(p.Execute(context.Background(), request(s, "v", query.Single, query.ActionRead), logpos.Position{}, allow).Failure).To(BeNil())
				}
			})
		}
		w.Wait()
	}

	It("runs a third of the slots at a cold member at first, and all of them while answers are in line", func() {
		known := &pace.State{}
		for i := range known.Usual {
			known.Usual[i] = 12_000
		}
		p := newPaced(pool.PaceConfig{Known: known}, time.Second)
		burst(p, 10, 1)
		Expect(m.maxRunning).To(BeNumerically("<=", 3))
		Expect(d.maxDialing.Load()).To(BeNumerically("<=", 4))
		Eventually(func() int {
			burst(p, 12, 10)
			s, _ := p.Pace()
			return s.Limit
		}, 20*time.Second).Should(Equal(8))
		Eventually(func() int {
			burst(p, 12, 2)
			return m.maxRunning
		}, 20*time.Second).Should(Equal(9), "one statement waits at the member when all slots are in use")
	})

	It("lowers the limit when the member's queue is full", func() {
		var l []pace.Change
		p := newPaced(pool.PaceConfig{Observe: func(c pace.Change) { l = append(l, c) }}, 0)
		m.refuse.Store(true)
		o := p.Execute(context.Background(), request("a", "v", query.Single, query.ActionRead), logpos.Position{}, allow)
		Expect(o.Failure.Reason).To(Equal(query.Overloaded))
		Expect(l).To(HaveLen(1))
		Expect(l[0].From).To(Equal(8))
		Expect(l[0].To).To(Equal(4))
		m.refuse.Store(false)
		burst(p, 10, 1)
		Expect(m.maxRunning).To(BeNumerically("<=", 4))
	})

	It("opens fewer connections at a time after the member had too many", func() {
		p := newPaced(pool.PaceConfig{}, 0)
		m.limit = 1
		burst(p, 6, 2)
		s, _ := p.Pace()
		Expect(s.Openings).To(BeNumerically("<", 8))
	})

	It("has fixed limits unless it is asked for", func() {
		p := newPool(m, 8, 60)
		_, ok := p.Pace()
		Expect(ok).To(BeFalse())
		Eventually(func() int {
			burst(p, 12, 2)
			return m.maxRunning
		}, 20*time.Second).Should(Equal(9))
	})
})
