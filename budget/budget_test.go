package budget_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
)

const seed = "20261204"

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", seed)).To(Succeed())
	t.Log("rapid seed", seed)
	RunSpecs(t, "Budget")
}

var start = time.Unix(1000, 0)

var _ = Describe("a retry budget", func() {
	It("grants no more retries than the burst, the successes and the elapsed time allow", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := budget.RetryConfig{Ratio: 0.2, Burst: 10, Rate: 2}
			r := budget.NewRetry(c)
			now, granted, successes := start, 0, 0
			for range rapid.IntRange(0, 200).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					granted += map[bool]int{true: 1}[r.Take(now, "owner", fmt.Sprint(granted))]
				case 1:
					r.RecordSuccess("owner", now)
					successes++
				default:
					now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "time")) * time.Millisecond)
				}
				limit := c.Burst + c.Ratio*float64(successes) + c.Rate*now.Sub(start).Seconds()
				if float64(granted) > limit+1e-6 {
					t.Fatalf("%d retries granted, but at most %.2f allowed", granted, limit)
				}
			}
		})
	})

	It("takes from no key if the budget of one is empty, and refills with time", func() {
		r := budget.NewRetry(budget.RetryConfig{Burst: 2, Rate: 1})
		Expect(r.Take(start, "a")).To(BeTrue())
		Expect(r.Take(start, "a")).To(BeTrue())
		Expect(r.Take(start, "a", "b")).To(BeFalse())
		Expect(r.Take(start, "b")).To(BeTrue())
		Expect(r.Take(start, "b")).To(BeTrue())
		Expect(r.Take(start.Add(time.Second), "a")).To(BeTrue())
	})

	It("returns a backoff that grows with each retry up to a maximum, with jitter", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n, j := rapid.IntRange(0, 1000).Draw(t, "repeats"), rapid.Float64Range(0, 1).Draw(t, "jitter")
			d := budget.Backoff(n, j)
			if d < 15*time.Millisecond || d > 480*time.Millisecond || d > budget.Backoff(n+1, j) {
				t.Fatalf("backoff %v", d)
			}
		})
	})
})

var _ = Describe("a throttle", func() {
	f := budget.Flow{Member: "orders-1", Rank: bundle.Urgent, Caller: "shop"}

	It("allows all requests until refusals, then about as many as are accepted, and recovers", func() {
		h := budget.NewThrottle(budget.DefaultThrottle())
		now := start
		sent, accepted := 0, 0
		for i := range 10000 {
			now = now.Add(time.Millisecond)
			ok, _ := h.Allow(f, float64(i*7919%1000)/1000, now)
			if !ok {
				continue
			}
			sent++
			if i%20 == 0 {
				accepted++
				h.RecordAccepted(f, now)
			} else {
				h.RecordRefused(f, time.Second, now)
			}
		}
		Expect(sent).To(BeNumerically("<", 1000))
		Expect(accepted).To(BeNumerically(">", 0))
		other, _ := h.Allow(budget.Flow{Member: "orders-1", Rank: bundle.Urgent, Caller: "farm"}, 0, now)
		Expect(other).To(BeTrue())
		ok, _ := h.Allow(f, 0, now.Add(time.Minute))
		Expect(ok).To(BeTrue())
	})
})

var _ = Describe("a link budget", func() {
	It("limits the bytes of a lower rank to its fraction and never limits urgent requests", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := budget.DefaultLink(1e6, 1)
			l := budget.NewLink(c)
			now, moved, largest := start, 0, 0
			for range rapid.IntRange(0, 200).Draw(t, "answers") {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "time")) * time.Millisecond)
				if n, _, ok := l.Reserve(bundle.Background, now); ok {
					b := rapid.IntRange(0, 200000).Draw(t, "bytes")
					l.Reconcile(bundle.Background, n, b, now)
					moved, largest = moved+b, max(largest, b)
				}
				if _, _, ok := l.Reserve(bundle.Urgent, now); !ok {
					t.Fatalf("urgent request refused")
				}
				limit := 1e6*c.MaxFractions[bundle.Background]*(now.Sub(start).Seconds()+c.Burst.Seconds()) + float64(largest)
				if float64(moved) > limit+float64(201) {
					t.Fatalf("%d bytes transferred, but at most %.0f allowed", moved, limit)
				}
			}
		})
	})
})

var _ = Describe("a limit of unanswered requests", func() {
	It("applies to each backend server and rank separately", func() {
		f := &budget.InFlight{Limit: 2}
		Expect(f.Begin("a", bundle.Urgent)).To(BeTrue())
		Expect(f.Begin("a", bundle.Urgent)).To(BeTrue())
		Expect(f.Begin("a", bundle.Urgent)).To(BeFalse())
		Expect(f.Begin("a", bundle.Routine)).To(BeTrue())
		Expect(f.Begin("b", bundle.Urgent)).To(BeTrue())
		f.End("a", bundle.Urgent)
		Expect(f.Begin("a", bundle.Urgent)).To(BeTrue())
	})
})
