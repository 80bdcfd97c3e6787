package allowance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/allowance"
)

func TestAllowance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "allowance")
}

var tightBounds = allowance.Bounds{Window: 5 * time.Second, Overage: 0.02}

var kinds = []string{"kill", "freeze", "cut-store", "cut-off", "store-down", "usurp", "transfer", "restore"}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		seed: rapid.Uint64().Draw(t, "seed"), bounds: rapid.SampledFrom([]allowance.Bounds{usualBounds, tightBounds}).Draw(t, "bounds"), hosts: rapid.IntRange(2, 5).Draw(t, "hosts"), length: 30 * time.Second,
		limit: drawLimit(t, "limit"), hoard: rapid.Bool().Draw(t, "hoard"),
		delay: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "delay"), loss: rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss"), maxDelay: 1500 * time.Millisecond,
		waves: rapid.Bool().Draw(t, "waves"),
	}
	s.demand = s.limit.Rate * rapid.SampledFrom([]float64{1, 3, 6}).Draw(t, "demand")
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		s.faults = append(s.faults, fault{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(-1, 4).Draw(t, "host"),
			at:   time.Duration(rapid.IntRange(0, 250).Draw(t, "at")) * 100 * time.Millisecond,
			last: time.Duration(rapid.IntRange(1, 120).Draw(t, "last")) * 100 * time.Millisecond,
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "changes") {
		s.limits = append(s.limits, change{at: time.Duration(8*(i+1))*time.Second + time.Duration(rapid.IntRange(0, 70).Draw(t, "change"))*100*time.Millisecond, limit: drawLimit(t, "limit")})
	}
	return s
}

func drawLimit(t *rapid.T, name string) allowance.Limit {
	r := rapid.SampledFrom([]float64{1, 8, 30, 100}).Draw(t, name)
	return allowance.Limit{
		Rate: r, Burst: r * rapid.SampledFrom([]float64{0.2, 1, 2}).Draw(t, "burst"), Slack: rapid.SampledFrom([]float64{2, 7, 20}).Draw(t, "slack"),
	}
}

func TestRuleHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(drawScenario(t))
		w.run()
		if e, at := w.worstExcess(); e > 0 {
			t.Fatalf("%.0f operations too many from %v; modes %v, counts %v", e, at, w.modes, w.counts)
		}
	})
}

// hardScenario returns a scenario with little reserve and faults of the accountant, and
// without changes of the limit.
func hardScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 2))
	s := scenario{
		seed: seed, bounds: tightBounds, hosts: 3, limit: allowance.Limit{Rate: 100, Burst: 100, Slack: 2},
		demand: 400, hoard: seed%2 == 0, waves: seed%4 < 2, length: 25 * time.Second, delay: 0.5, maxDelay: 500 * time.Millisecond,
	}
	kind := []string{"kill", "freeze", "cut-off"}[r.IntN(3)]
	for i := range r.IntN(3) {
		s.faults = append(s.faults, fault{kind: kind, host: -1, at: time.Duration(10*i+2+r.IntN(5)) * time.Second, last: time.Duration(10+r.IntN(80)) * 100 * time.Millisecond})
	}
	return s
}

// cutOffs returns a scenario in which the accountant is cut off from all others for
// almost as long as its lease lasts, and its own callers ask for all that it lends.
func cutOffs(seed uint64) scenario {
	s := hardScenario(seed)
	s.demand, s.hoard, s.waves = 600, false, false
	s.faults = []fault{{kind: "cut-off", host: -1, at: 3*time.Second + time.Duration(seed)*50*time.Millisecond, last: 9500 * time.Millisecond}}
	return s
}

// kills returns a scenario in which one accountant after the other is killed and
// restarted, of a team with a large burst.
func kills(seed uint64) scenario {
	s := hardScenario(seed)
	s.limit.Burst, s.delay, s.faults = 300, 0, nil
	for i := range 6 {
		s.faults = append(s.faults, fault{kind: "kill", host: -1, at: time.Duration(5+2*i) * time.Second, last: 300 * time.Millisecond})
	}
	return s
}

// firstBroken returns the first seed whose run breaks the rule, and whether there is
// one.
func firstBroken(o off, seeds uint64, draw func(uint64) scenario) (uint64, float64, bool) {
	for i := range seeds {
		s := draw(i)
		s.off = o
		w := newWorld(s)
		w.run()
		if e, _ := w.worstExcess(); e > 0 {
			return i, e, true
		}
	}
	return 0, 0, false
}

var _ = Describe("The rule", func() {
	const seeds = 24
	DescribeTable("is broken without a mechanism, and holds with it", func(o off, draw func(uint64) scenario) {
		i, e, broken := firstBroken(o, seeds, draw)
		Expect(broken).To(BeTrue())
		GinkgoWriter.Printf("seed %d: %.0f operations too many\n", i, e)
		_, _, broken = firstBroken(off{}, seeds, draw)
		Expect(broken).To(BeFalse())
	},
		Entry("outstanding tokens are counted", off{outstanding: true}, hardScenario),
		Entry("the previous accountant is waited for", off{wait: true}, hardScenario),
		Entry("a new accountant starts empty", off{start: true}, kills),
		Entry("less is lent while the lease isn't confirmed", off{fresh: true}, cutOffs),
	)
})

// loanOutlives reports whether a borrower can use a token that its accountant doesn't
// count as outstanding, if the reply takes the given time. fromReceipt makes the loan
// expire by when the reply was received.
func loanOutlives(there, back time.Duration, fromReceipt bool) bool {
	l, b := allowance.NewLedger("a", usualBounds), allowance.NewBorrower("g", "b")
	start := time.Unix(100, 0)
	observe := func(t time.Time) {
		l.Observe(allowance.Standing{Holder: "a", Epoch: 1, Holds: true, ConfirmedAt: t, First: true}, t)
	}
	lend := func(c allowance.Call, t time.Time) allowance.Reply {
		observe(t)
		return l.Lend(c, func(string) (allowance.Limit, bool) { return allowance.Limit{Rate: 10, Burst: 10, Slack: 20}, true }, time.Time{}, t)
	}
	observe(start)
	b.Take(team, start)
	b.Wait(&allowance.Ticket{Team: team})
	sent, received := start, start.Add(there+back)
	if fromReceipt {
		sent = received
	}
	c, _ := b.Call(sent)
	o := lend(c, start.Add(there))
	r := b.Answer(c, o, received)
	for t := received; len(r) == 1 && t.Before(received.Add(2*time.Second)); t = t.Add(5 * time.Millisecond) {
		g := lend(allowance.Call{Host: "c", Items: []allowance.Item{{Team: team}}}, t).Grants[0]
		if r[0].Granted && r[0].Token.Usable(t) && g.Outstanding == 0 {
			return true
		}
	}
	return false
}

var _ = Describe("Ledger", func() {
	It("drops idle accounts, also those that began after a change of the groups", func() {
		l, start := allowance.NewLedger("a", usualBounds), time.Unix(100, 0)
		observe := func(t time.Time) {
			l.Observe(allowance.Standing{Holder: "a", Epoch: 1, Holds: true, ConfirmedAt: t, First: true}, t)
		}
		observe(start)
		teams := func(string) (allowance.Limit, bool) { return allowance.Limit{Rate: 10, Burst: 10, Slack: 20}, true }
		for n, moved := range map[string]time.Time{team: {}, "moved": start.Add(allowance.MovedTime)} {
			l.Lend(allowance.Call{Host: "b", Number: 1, Items: []allowance.Item{{Team: n, Waiting: 1}}}, teams, moved, start)
		}
		t := start
		for t.Before(start.Add(2 * time.Minute)) {
			t = t.Add(time.Second)
			observe(t)
		}
		h := l.Close(2, t)
		Expect(h.Complete).To(BeTrue())
		Expect(h.Accounts).To(BeEmpty())
	})
})

var _ = Describe("Borrower", func() {
	It("takes a ticket whose team was forgotten since its operation arrived, because the host was suspended", func() {
		b, t := allowance.NewBorrower("g", "b"), time.Unix(100, 0)
		b.Take(team, t)
		t = t.Add(time.Minute)
		b.Take("other", t)
		b.Wait(&allowance.Ticket{Team: "other"})
		c, _ := b.Call(t)
		b.Fail(c)
		b.Wait(&allowance.Ticket{Team: team})
		c, _ = b.Call(t)
		Expect(c.Items).To(ContainElement(HaveField("Team", team)))
	})
})

func TestLoanExpiresAtBorrowerFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		there := time.Duration(rapid.IntRange(0, 900).Draw(t, "there")) * time.Millisecond
		back := time.Duration(rapid.IntRange(0, 900).Draw(t, "back")) * time.Millisecond
		if loanOutlives(there, back, false) {
			t.Fatal("a token can be used that isn't outstanding")
		}
	})
	if !loanOutlives(0, 50*time.Millisecond, true) {
		t.Fatal("loans that expire by their receipt are not detected")
	}
}

// calm plays 86 hosts without faults and returns the counts.
func calm(l allowance.Limit, share float64, faults ...fault) *world {
	w := newWorld(scenario{
		seed: 1, bounds: usualBounds, hosts: 86, limit: l, demand: l.Rate * share, length: 20 * time.Second, maxDelay: time.Millisecond, faults: faults,
	})
	w.run()
	return w
}

var _ = Describe("A team that asks 0.6 of its rate on 86 hosts", func() {
	limits := []allowance.Limit{{Rate: 1, Burst: 1, Slack: 20}, {Rate: 8, Burst: 8, Slack: 20}, {Rate: 93, Burst: 93, Slack: 20}}
	It("is refused nothing while nothing fails", func() {
		for _, l := range limits {
			w := calm(l, 0.6)
			GinkgoWriter.Println(l, w.counts, "calls", w.calls)
			Expect(w.counts["refused"]+w.counts["unreachable"]).To(BeZero(), "%v %v", l, w.counts)
			Expect(w.calls).To(BeNumerically("<=", w.counts["arrived"]))
		}
	})
	DescribeTable("loses no more than it asks of the accountant while that fails and for a second after", func(f fault) {
		for _, l := range limits {
			w := calm(l, 0.6, f)
			n := w.counts["refused"] + w.counts["unreachable"]
			GinkgoWriter.Println(l, f.kind, w.counts, w.modes, "lost", n)
			most := 0.0
			if f.fails {
				most = float64(w.counts["arrived"]) * (f.last + time.Second).Seconds() / w.length.Seconds()
			}
			Expect(float64(n)).To(BeNumerically("<=", most), "%v %v", l, w.counts)
		}
	},
		Entry("store down", fault{kind: "store-down", at: 6 * time.Second, last: 5 * time.Second}),
		Entry("a host that is cut off from the store", fault{kind: "cut-store", host: 5, at: 6 * time.Second, last: 6 * time.Second}),
		Entry("transfer", fault{kind: "transfer", host: 3, at: 6 * time.Second, fails: true}),
		Entry("kill, restarted after 2 s", fault{kind: "kill", host: -1, at: 6 * time.Second, last: 2 * time.Second, fails: true}),
		Entry("freeze", fault{kind: "freeze", host: -1, at: 6 * time.Second, last: 6 * time.Second, fails: true}),
		Entry("cut off", fault{kind: "cut-off", host: -1, at: 6 * time.Second, last: 6 * time.Second, fails: true}),
	)
})

var _ = Describe("A borrower's stock", func() {
	It("is the number of tokens that Take returns, and looking at it takes none", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			start := time.Unix(100, 0)
			b := allowance.NewBorrower("g", "b")
			b.Take(team, start)
			b.Wait(&allowance.Ticket{Team: team})
			c, _ := b.Call(start)
			b.Answer(c, allowance.Reply{Mode: allowance.Full, Grants: []allowance.Grant{{
				Team: team, Count: rapid.IntRange(0, 4).Draw(r, "count"), Promised: rapid.IntRange(0, 4).Draw(r, "promised"),
				Delay: 30 * time.Millisecond, Spacing: 20 * time.Millisecond,
			}}}, start)
			t := start.Add(time.Duration(rapid.IntRange(0, 700).Draw(r, "ms")) * time.Millisecond)
			n := b.Stock(team, t)
			Expect(b.Stock(team, t)).To(Equal(n))
			taken := 0
			for {
				if _, ok := b.Take(team, t); !ok {
					break
				}
				taken++
			}
			Expect(taken).To(Equal(n))
			Expect(b.Stock("other", t)).To(BeZero())
		})
	})
})
