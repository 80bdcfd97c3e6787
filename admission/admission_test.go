package admission_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

const seed = "20261204"

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", seed)).To(Succeed())
	t.Log("rapid seed", seed)
	RunSpecs(t, "Admission")
}

var start = time.Unix(1000, 0)

func config() admission.Config {
	return admission.Config{Slots: 3, Shares: [bundle.RankCount]float64{0.88, 0.1, 0.02}, ReservedSlots: 1, MaxWaiting: 50}
}

// model tracks the state of each request from a queue's actions.
type model struct {
	t       *rapid.T
	q       *admission.Queue
	now     time.Time
	next    uint64
	waiting map[uint64]admission.Arrived
	running map[uint64]admission.Arrived
	ended   map[uint64]bool
	// startedAt and order tell when and as which each running request started, overtaken
	// how many that started later have ended.
	startedAt map[uint64]time.Time
	order     map[uint64]int
	overtaken map[uint64]int
	// lostAnswers is Config.LostAnswers.
	lostAnswers bool
}

// mayStart reports whether a request outside of transactions may start: a slot is free. If
// answers may be lost, requests that four later ones have overtaken don't count, and one
// more may start while all slots are held for longer than eight times the least slot time
// that is assumed.
func (m *model) mayStart() bool {
	if !m.lostAnswers {
		return len(m.running) < 3
	}
	taken, fresh := 0, 0
	for id := range m.running {
		if m.overtaken[id] >= 4 {
			continue
		}
		taken++
		if m.now.Sub(m.startedAt[id]) < 40*time.Millisecond {
			fresh++
		}
	}
	return taken < 3 || fresh == 0
}

// endRunning records the end of a running request.
func (m *model) endRunning(id uint64) {
	delete(m.running, id)
	m.ended[id] = true
	for o := range m.running {
		if m.order[o] < m.order[id] {
			m.overtaken[o]++
		}
	}
	m.handle(admission.Finished{ID: id})
}

func (m *model) handle(e admission.Event) {
	for _, a := range m.q.Handle(e, m.now) {
		switch x := a.(type) {
		case admission.Start:
			r, ok := m.waiting[x.ID]
			if !ok {
				m.t.Fatalf("request %d started, but it was not waiting", x.ID)
			}
			if !r.InTransaction && !m.mayStart() {
				m.t.Fatalf("request %d started while all slots were taken", x.ID)
			}
			if !r.InTransaction && m.now.After(r.Deadline) {
				m.t.Fatalf("request %d started after its deadline", x.ID)
			}
			delete(m.waiting, x.ID)
			m.running[x.ID] = r
			m.startedAt[x.ID], m.order[x.ID] = m.now, len(m.order)
		case admission.Refuse:
			r, ok := m.waiting[x.ID]
			if !ok || m.ended[x.ID] {
				m.t.Fatalf("request %d refused, but it was not waiting", x.ID)
			}
			if r.InTransaction {
				m.t.Fatalf("request %d of an open transaction refused", x.ID)
			}
			if x.RetryAfter <= 0 || x.RetryAfter > 30*time.Second {
				m.t.Fatalf("retry-after %v", x.RetryAfter)
			}
			delete(m.waiting, x.ID)
			m.ended[x.ID] = true
		}
	}
	m.check()
}

func (m *model) check() {
	outsideTx := 0
	for _, r := range m.running {
		if !r.InTransaction {
			outsideTx++
		}
	}
	if outsideTx > 3 && !m.lostAnswers || m.q.Running() != len(m.running) {
		m.t.Fatalf("%d requests outside of transactions running in 3 slots", outsideTx)
	}
	var n [bundle.RankCount]int
	inTx := 0
	for _, r := range m.waiting {
		if r.InTransaction {
			inTx++
		} else {
			n[r.Rank]++
		}
	}
	for i := range n {
		if d := m.q.Depth(bundle.Rank(i)); d != n[i] || d > 50 {
			m.t.Fatalf("depth %d of rank %d, but %d requests waiting", d, i, n[i])
		}
	}
	if inTx > 0 {
		m.t.Fatalf("%d requests of open transactions waiting", inTx)
	}
	if len(m.running) < 3 && (n[bundle.Urgent] > 0 || n[bundle.Routine] > 0) {
		m.t.Fatalf("requests waiting while a slot is free")
	}
}

func (m *model) arrive(*rapid.T) {
	m.next++
	a := admission.Arrived{
		ID: m.next, Rank: bundle.Rank(rapid.IntRange(0, 2).Draw(m.t, "rank")), Caller: fmt.Sprint(rapid.IntRange(0, 5).Draw(m.t, "caller")),
		Deadline:      m.now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(m.t, "limit")) * time.Millisecond),
		InTransaction: rapid.IntRange(0, 9).Draw(m.t, "held") == 0, Jitter: rapid.Float64Range(0, 1).Draw(m.t, "jitter"),
	}
	m.waiting[a.ID] = a
	m.handle(a)
}

func (m *model) pickRequest(of map[uint64]admission.Arrived) (uint64, bool) {
	for id := uint64(1); id <= m.next; id++ {
		if _, ok := of[id]; ok && rapid.Bool().Draw(m.t, "this") {
			return id, true
		}
	}
	return 0, false
}

func (m *model) finish(*rapid.T) {
	if id, ok := m.pickRequest(m.running); ok {
		m.endRunning(id)
	}
}

func (m *model) withdraw(*rapid.T) {
	if id, ok := m.pickRequest(m.waiting); ok {
		delete(m.waiting, id)
		m.ended[id] = true
		m.handle(admission.Withdrawn{ID: id})
	}
}

func (m *model) advance(*rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "time")) * time.Millisecond)
	m.handle(admission.Ticked{})
}

var _ = Describe("a queue", func() {
	DescribeTable("never exceeds its slots, leaves no slot free while urgent or routine requests wait, and ends each request exactly once", func(lostAnswers bool) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := config()
			c.LostAnswers = lostAnswers
			m := &model{t: t, lostAnswers: lostAnswers, q: admission.New(c), now: start, waiting: map[uint64]admission.Arrived{}, running: map[uint64]admission.Arrived{}, ended: map[uint64]bool{}, startedAt: map[uint64]time.Time{}, order: map[uint64]int{}, overtaken: map[uint64]int{}}
			t.Repeat(map[string]func(*rapid.T){"arrive": m.arrive, "arrive-more": m.arrive, "finish": m.finish, "withdraw": m.withdraw, "pass": m.advance})
			for len(m.running) > 0 {
				for id := uint64(1); id <= m.next; id++ {
					if _, ok := m.running[id]; ok {
						m.endRunning(id)
					}
				}
			}
			m.now = m.now.Add(time.Hour)
			m.handle(admission.Ticked{})
			if len(m.waiting) != 0 {
				t.Fatalf("%d requests left waiting after their deadlines", len(m.waiting))
			}
		})
	},
		Entry("counting requests", false),
		Entry("leaving out those whose answers may be lost", true),
	)

	It("starts urgent requests first, reserves a slot from background requests, and gives each rank its share", func() {
		q := admission.New(config())
		id := uint64(0)
		ranks := map[uint64]bundle.Rank{}
		running := []uint64{}
		now := start
		var used [bundle.RankCount]time.Duration
		handle := func(e admission.Event) {
			for _, a := range q.Handle(e, now) {
				if s, ok := a.(admission.Start); ok {
					running = append(running, s.ID)
				}
			}
		}
		arrive := func(r bundle.Rank) {
			id++
			ranks[id] = r
			handle(admission.Arrived{ID: id, Rank: r, Caller: fmt.Sprint(id % 3), Deadline: now.Add(time.Hour)})
		}
		for range 5 {
			arrive(bundle.Background)
		}
		Expect(running).To(HaveLen(2))
		for range 3000 {
			for r := range bundle.Rank(bundle.RankCount) {
				for q.Depth(r) < 20 {
					arrive(r)
				}
			}
			now = now.Add(10 * time.Millisecond)
			l := running
			running = nil
			for _, x := range l {
				used[ranks[x]] += 10 * time.Millisecond
				handle(admission.Finished{ID: x})
			}
		}
		all := used[0] + used[1] + used[2]
		Expect(float64(used[bundle.Routine]) / float64(all)).To(BeNumerically(">=", 0.099))
		Expect(float64(used[bundle.Background]) / float64(all)).To(BeNumerically(">=", 0.019))
		Expect(float64(used[bundle.Urgent]) / float64(all)).To(BeNumerically(">=", 0.85))
	})

	It("doesn't refuse or delay a caller's request while another caller of its rank overloads the queue", func() {
		q := admission.New(config())
		refused := map[uint64]bool{}
		var running []uint64
		now := start
		handle := func(e admission.Event) {
			for _, a := range q.Handle(e, now) {
				switch x := a.(type) {
				case admission.Start:
					running = append(running, x.ID)
				case admission.Refuse:
					refused[x.ID] = true
				}
			}
		}
		for id := range uint64(500) {
			handle(admission.Arrived{ID: id + 1, Rank: bundle.Routine, Caller: "overloading", Deadline: now.Add(time.Minute)})
		}
		Expect(q.Depth(bundle.Routine)).To(Equal(50))
		handle(admission.Arrived{ID: 1000, Rank: bundle.Routine, Caller: "shop", Deadline: now.Add(60 * time.Millisecond)})
		Expect(refused).NotTo(HaveKey(uint64(1000)))
		Expect(q.Depth(bundle.Routine)).To(Equal(50))
		now = now.Add(5 * time.Millisecond)
		handle(admission.Finished{ID: running[0]})
		handle(admission.Finished{ID: running[1]})
		Expect(running).To(ContainElement(uint64(1000)))
	})

	It("doesn't refuse all requests of a rank after statements slower than its deadline", func() {
		q := admission.New(config())
		now := start
		for id := range uint64(100) {
			Expect(q.Handle(admission.Arrived{ID: id + 1, Rank: bundle.Urgent, Caller: "a", Deadline: now.Add(time.Second)}, now)).To(ConsistOf(admission.Start{ID: id + 1}))
			now = now.Add(20 * time.Second)
			q.Handle(admission.Finished{ID: id + 1}, now)
		}
	})
})
