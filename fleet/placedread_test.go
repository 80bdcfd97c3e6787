package fleet

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/outlier"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/staleness"
)

// fakeMember is a member whose log reaches position 9 at a given time.
type fakeMember struct {
	mu      sync.Mutex
	reaches time.Time
	// at is the end of the log instead, unless it is zero.
	at logpos.Position
	// hangs is how long a statement takes.
	hangs time.Duration
	// refuses is the failure of the first statement, if it isn't empty; refused is then
	// called, if it isn't nil.
	refuses query.Reason
	refused func()
	// floors are the floors of the statements that it has received.
	floors []logpos.Position
	// signed counts the signatures, each of which is new.
	signed int
}

type fakeConn struct{ m *fakeMember }

func (c fakeConn) Close() {}

func (c fakeConn) RunStep(s query.Step, deadline time.Time) (query.Reply, error) {
	c.m.mu.Lock()
	hangs := c.m.hangs
	o := query.Reply{State: query.Idle, Position: c.m.position()}
	if r, ok := s.(query.RunStatement); ok {
		c.m.floors = append(c.m.floors, r.Floor)
		c.m.signed++
		o.Signature = "s" + strconv.Itoa(c.m.signed)
		switch {
		case c.m.refuses != "":
			o.Failure, c.m.refuses = &query.Failure{Reason: c.m.refuses}, ""
			if c.m.refused != nil {
				c.m.refused()
			}
		case o.Position.Less(r.Floor):
			o.Failure = &query.Failure{Reason: query.Lagging}
		}
	} else {
		hangs, o.Signature = 0, "-"
	}
	c.m.mu.Unlock()
	if left := time.Until(deadline); hangs > left {
		time.Sleep(left)
		return query.Reply{}, &query.Failure{Reason: query.Unreachable, Text: "timeout"}
	}
	time.Sleep(hangs)
	return o, nil
}

// received returns the floors of the statements that the member has received.
func (m *fakeMember) received() []logpos.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.floors)
}

// position returns the end of the member's log; m.mu is held.
func (m *fakeMember) position() logpos.Position {
	if !m.at.IsZero() {
		return m.at
	}
	if time.Now().Before(m.reaches) {
		return logpos.Position{Term: 1, Offset: 5}
	}
	return logpos.Position{Term: 1, Offset: 9}
}

// fakeMembers are the members by ID.
type fakeMembers map[string]*fakeMember

func (l fakeMembers) Dial(_ context.Context, m catalog.Member, _ string) (pool.Conn, logpos.Position, error) {
	k := l[m.ID]
	k.mu.Lock()
	defer k.mu.Unlock()
	return fakeConn{k}, k.position(), nil
}

// newPlacingDaemon returns a daemon that owns the replicas m and n of a group whose
// primary p has no holder.
func newPlacingDaemon(l fakeMembers) *Daemon {
	f, err := New(Config{
		Self: membership.Host{ID: "a", FailureDomain: "west-a", Region: "west"}, PeerListen: "127.0.0.1:0", Secret: "s", Store: &eraStore{}, Log: hclog.NewNullLogger(),
		Dialer: l, Features: Features{UnevenMembers: true},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range l {
		f.table.SetMember(catalog.Member{ID: id, Group: "g", FailureDomain: "west-a", Region: "west", Slots: 4})
	}
	f.table.SetMember(catalog.Member{ID: "p", Group: "g", FailureDomain: "west-b", Region: "west", Slots: 4, Primary: true, Draining: true})
	// The end of the log is known for a while.
	g, t := f.group("g"), now()
	g.history.Add(staleness.Sample{Position: logpos.Position{Term: 1, Offset: 5}, At: t.Add(-200 * time.Millisecond)})
	g.history.Add(staleness.Sample{Position: logpos.Position{Term: 1, Offset: 9}, At: t.Add(10 * time.Second)})
	return f
}

func ownRead(left time.Duration) *query.Request {
	return &query.Request{ID: "i", Group: "g", Session: "s", Remaining: left, MaxAge: 10100 * time.Millisecond, Floor: logpos.Position{Term: 1, Offset: 9}, Text: "READ x"}
}

var _ = Describe("a placed read", func() {
	It("waits at the owner until the replica has the session's write, and isn't sent before", func() {
		m := &fakeMember{reaches: time.Now().Add(200 * time.Millisecond)}
		f := newPlacingDaemon(fakeMembers{"m": m})
		t := time.Now()
		o := f.executePlacedRead(context.Background(), ownRead(2*time.Second), t)
		Expect(o.Failure).To(BeNil())
		Expect(time.Since(t)).To(BeNumerically("~", 230*time.Millisecond, 120*time.Millisecond))
		Expect(m.received()).To(HaveLen(1))
	})

	It("is refused by the owner before its patience ends if the replica is expected to take longer", func() {
		m := &fakeMember{reaches: time.Now().Add(time.Hour)}
		f := newPlacingDaemon(fakeMembers{"m": m})
		f.mu.Lock()
		l := f.loads.member("m")
		l.position, l.positionAt = logpos.Position{Term: 1, Offset: 5}, now()
		l.delay.Observe(20*time.Second, 20*time.Second)
		f.mu.Unlock()
		r := ownRead(2 * time.Second)
		r.Member, r.Patience = "m", 300*time.Millisecond
		t := time.Now()
		o := f.serveRead(context.Background(), r)
		Expect(o.Failure.Reason).To(Equal(query.Lagging))
		Expect(o.Failure.RetryAfter).To(BeNumerically(">", 5*time.Second))
		Expect(time.Since(t)).To(BeNumerically("<", 200*time.Millisecond))
		Expect(m.received()).To(BeEmpty())
	})

	It("isn't served by a replica of a new term that lacks the session's write although it waited for a position of the earlier term", func() {
		m := &fakeMember{at: logpos.Position{Term: 1, Offset: 5}}
		f := newPlacingDaemon(fakeMembers{"m": m})
		time.AfterFunc(100*time.Millisecond, func() {
			f.mu.Lock()
			f.group("g").history.Add(staleness.Sample{Position: logpos.Position{Term: 2, Offset: 10}, At: now().Add(10 * time.Second)})
			f.mu.Unlock()
			m.mu.Lock()
			m.at = logpos.Position{Term: 2, Offset: 6}
			m.mu.Unlock()
		})
		r := ownRead(2 * time.Second)
		r.Member, r.Patience = "m", 2*time.Second
		o := f.serveRead(context.Background(), r)
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(query.Lagging))
	})

	It("isn't sent to a member that began to drain while the read waited for its log", func() {
		m := &fakeMember{reaches: time.Now().Add(200 * time.Millisecond)}
		f := newPlacingDaemon(fakeMembers{"m": m})
		time.AfterFunc(50*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			k, _ := f.table.Member("m")
			k.Draining = true
			f.table.SetMember(k)
		})
		r := ownRead(2 * time.Second)
		r.Member, r.Patience = "m", 2*time.Second
		o := f.serveRead(context.Background(), r)
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason).To(Equal(query.Moved))
		Expect(m.received()).To(BeEmpty())
	})

	It("isn't held beyond its deadline for the log if the end of the log was known late", func() {
		f := newPlacingDaemon(fakeMembers{"m": {reaches: time.Now().Add(time.Hour)}})
		w := make(chan struct{})
		f.mu.Lock()
		g := f.group("g")
		g.history, g.positionRequest = staleness.History{}, w
		f.mu.Unlock()
		time.AfterFunc(400*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			g.history.Add(staleness.Sample{Position: logpos.Position{Term: 1, Offset: 9}, At: now().Add(10 * time.Second)})
			g.positionRequest = nil
			close(w)
		})
		r := ownRead(600 * time.Millisecond)
		r.Member, r.Patience = "m", time.Minute
		t := time.Now()
		o := f.serveRead(context.Background(), r)
		Expect(o.Failure.Reason).To(Equal(query.Lagging))
		Expect(time.Since(t)).To(BeNumerically("<", 850*time.Millisecond))
	})

	It("is answered by another member if the first one hangs, as long as the budget lasts", func() {
		hanging, well := &fakeMember{hangs: time.Hour}, &fakeMember{}
		f := newPlacingDaemon(fakeMembers{"m": hanging, "n": well})
		f.observeReports([]query.MemberReport{{Member: "n", Position: logpos.Position{Term: 1, Offset: 9}, SlotMS: 90}})
		f.observeReports([]query.MemberReport{{Member: "m", Position: logpos.Position{Term: 1, Offset: 9}, SlotMS: 1}})
		t := time.Now()
		o := f.executePlacedRead(context.Background(), ownRead(1500*time.Millisecond), t)
		Expect(o.Failure).To(BeNil())
		Expect(o.Member).To(Equal("n"))
		Expect(time.Since(t)).To(BeNumerically("<", 900*time.Millisecond))
		Expect(hanging.received()).To(HaveLen(1))
	})

	It("goes to a second member again that has refused it while the first one hung", func() {
		hanging, refuses := &fakeMember{hangs: time.Hour}, &fakeMember{refuses: query.Overloaded}
		f := newPlacingDaemon(fakeMembers{"m": hanging, "n": refuses})
		f.observeReports([]query.MemberReport{{Member: "n", Position: logpos.Position{Term: 1, Offset: 9}, SlotMS: 90}})
		f.observeReports([]query.MemberReport{{Member: "m", Position: logpos.Position{Term: 1, Offset: 9}, SlotMS: 1}})
		tried, r, t := triedMembers{}, ownRead(time.Second), time.Now()
		c, _ := f.choosePlace(r, tried, r.Remaining, false)
		Expect(c.member.ID).To(Equal("m"))
		Expect(f.runPlaced(context.Background(), c, r, t, tried).Failure).NotTo(BeNil())
		Expect(refuses.received()).To(HaveLen(1))
		Expect(tried["n"]).To(BeTemporally("<", t.Add(800*time.Millisecond)), "not excluded until the deadline")
	})

	It("isn't sent twice without budget", func() {
		f := newPlacingDaemon(fakeMembers{"m": {}, "n": {}})
		for range 20 {
			f.hedges.Take(now(), "g")
		}
		_, ok := f.chooseHedge(ownRead(time.Second), triedMembers{"m": time.Now().Add(time.Second)}, time.Second, false)
		Expect(ok).To(BeFalse())
	})

	It("isn't held by the ejected member that it probes although the budget is used up", func() {
		hanging := &fakeMember{hangs: time.Hour}
		f := newPlacingDaemon(fakeMembers{"m": hanging, "n": {}})
		f.observeReports([]query.MemberReport{{Member: "m", Position: logpos.Position{Term: 1, Offset: 9}}, {Member: "n", Position: logpos.Position{Term: 1, Offset: 9}}})
		past := now().Add(-1100 * time.Millisecond)
		f.mu.Lock()
		for range 9 {
			f.outliers.Handle(outlier.Failed{Member: "m"}, past)
		}
		for range 20 {
			f.hedges.Take(now(), "g")
		}
		f.mu.Unlock()
		o := f.executePlacedRead(context.Background(), ownRead(2*time.Second), time.Now())
		Expect(o.Failure).To(BeNil())
		Expect(o.Member).To(Equal("n"))
		Expect(hanging.received()).To(HaveLen(1), "the probe")
	})

	It("goes to an ejected member as a probe only if it can be repeated and has time to go elsewhere", func() {
		f := newPlacingDaemon(fakeMembers{"m": {}, "n": {}})
		f.observeReports([]query.MemberReport{{Member: "m", Position: logpos.Position{Term: 1, Offset: 9}}, {Member: "n", Position: logpos.Position{Term: 1, Offset: 9}}})
		past := now().Add(-1100 * time.Millisecond)
		f.mu.Lock()
		for range 9 {
			f.outliers.Handle(outlier.Failed{Member: "m"}, past)
		}
		f.mu.Unlock()
		r := ownRead(2 * time.Second)
		r.Stage = query.First
		c, _ := f.choosePlace(r, triedMembers{}, r.Remaining, true)
		Expect(c.member.ID).To(Equal("n"))
		r.Stage = query.Single
		c, _ = f.choosePlace(r, triedMembers{}, 300*time.Millisecond, true)
		Expect(c.member.ID).To(Equal("n"))
		c, _ = f.choosePlace(r, triedMembers{}, r.Remaining, true)
		Expect(c.member.ID).To(Equal("m"))
		Expect(c.Reason).To(Equal(probedRead))
		c, _ = f.choosePlace(r, triedMembers{}, r.Remaining, true)
		Expect(c.member.ID).To(Equal("n"), "one probe at a time")
	})

	It("is refused at once, with a time to come back, if no member can serve it", func() {
		m := &fakeMember{}
		f := newPlacingDaemon(fakeMembers{"m": m})
		f.observeReports([]query.MemberReport{{Member: "m", Position: logpos.Position{Term: 1, Offset: 9}, WaitMS: 3000}})
		t := time.Now()
		o := f.executePlacedRead(context.Background(), ownRead(time.Second), t)
		Expect(o.Failure.Reason).To(Equal(query.Overloaded))
		Expect(o.Failure.RetryAfter).To(BeNumerically(">=", minHopelessRetry))
		Expect(time.Since(t)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(m.received()).To(BeEmpty())
	})

	It("isn't refused at once if a member that has just refused it may serve it in time and the others are full", func() {
		f := newPlacingDaemon(fakeMembers{"m": {refuses: query.Overloaded}, "n": {}})
		f.observeReports([]query.MemberReport{
			{Member: "n", Position: logpos.Position{Term: 1, Offset: 9}, WaitMS: 60000, SlotMS: 20}, {Member: "m", Position: logpos.Position{Term: 1, Offset: 9}, SlotMS: 20},
		})
		o := f.executePlacedRead(context.Background(), ownRead(2*time.Second), time.Now())
		Expect(o.Failure).To(BeNil())
		Expect(o.Member).To(Equal("m"))
	})

	It("isn't said not to have run if a member failed it and the others refuse it", func() {
		fails := &fakeMember{refuses: query.RunFailed}
		f := newPlacingDaemon(fakeMembers{"m": fails, "n": {at: logpos.Position{Term: 1, Offset: 5}}})
		f.observeReports([]query.MemberReport{{Member: "m", Position: logpos.Position{Term: 1, Offset: 9}, SlotMS: 1}})
		fails.refused = func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			k, _ := f.table.Member("m")
			k.Draining = true
			f.table.SetMember(k)
		}
		o := f.executePlacedRead(context.Background(), ownRead(500*time.Millisecond), time.Now())
		Expect(fails.received()).To(HaveLen(1))
		Expect(o.Failure).NotTo(BeNil())
		Expect(o.Failure.Reason.NotRun()).To(BeFalse())
	})

	It("isn't retried after an outcome that may have an effect, nor inside a transaction", func() {
		fails := func(q query.Reason) query.Response {
			return query.Response{Reply: query.Refusal(q, "")}
		}
		single, first := &query.Request{}, &query.Request{Stage: query.First}
		Expect(retryPlaced(single, fails(query.RunFailed))).To(BeTrue())
		Expect(retryPlaced(first, fails(query.RunFailed))).To(BeFalse())
		Expect(retryPlaced(single, fails(query.Aborted))).To(BeFalse())
		o := fails(query.Unreachable)
		o.State = query.Failed
		Expect(retryPlaced(single, o)).To(BeFalse())
	})
})
