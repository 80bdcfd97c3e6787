package staleness_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/staleness"
)

func TestStaleness(t *testing.T) {
	for n, v := range map[string]string{"rapid.seed": "6", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(n, v); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "staleness")
}

var start = time.Unix(1e9, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func pos(term, offset uint64) logpos.Position { return logpos.Position{Term: term, Offset: offset} }

var _ = Describe("History", func() {
	It("has no floor without a sample, nor for a time after the last sample", func() {
		var h staleness.History
		_, ok := h.Floor(start, logpos.Position{})
		Expect(ok).To(BeFalse())
		h.Add(staleness.Sample{Position: pos(1, 5), At: at(time.Second)})
		_, ok = h.Floor(at(2*time.Second), logpos.Position{})
		Expect(ok).To(BeFalse())
	})

	It("uses the oldest sample that is recent enough as the floor, or a later position of the session", func() {
		var h staleness.History
		for i := range 10 {
			h.Add(staleness.Sample{Position: pos(1, uint64(i)), At: at(time.Duration(i) * 100 * time.Millisecond)})
		}
		p, ok := h.Floor(at(350*time.Millisecond), logpos.Position{})
		Expect(ok).To(BeTrue())
		Expect(p).To(Equal(pos(1, 4)))
		p, _ = h.Floor(at(350*time.Millisecond), pos(1, 7))
		Expect(p).To(Equal(pos(1, 7)))
		Expect(h.CoveredUntil(pos(1, 4))).To(Equal(at(400 * time.Millisecond)))
		Expect(h.CoveredUntil(pos(0, 4))).To(BeZero())
	})

	It("doesn't use positions of an older term, which may have been rolled back", func() {
		var h staleness.History
		h.Add(staleness.Sample{Position: pos(1, 900), At: at(0)})
		h.Add(staleness.Sample{Position: pos(2, 850), At: at(time.Second)})
		h.Add(staleness.Sample{Position: pos(1, 901), At: at(1100 * time.Millisecond)})
		p, ok := h.Floor(at(0), pos(1, 900))
		Expect(ok).To(BeTrue())
		Expect(p).To(Equal(pos(2, 850)))
	})
})

var _ = It("never returns a floor below an acknowledged commit", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		var h staleness.History
		type commit struct {
			at time.Time
			p  logpos.Position
		}
		var log []commit
		now := start
		n := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				n++
				log = append(log, commit{at: now, p: pos(1, n)})
			case 1:
				// The request is sent now. The reply is received later, with the
				// primary's position at that time.
				sent := now
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "delay")) * time.Millisecond)
				if n > 0 {
					h.Add(staleness.Sample{Position: pos(1, n), At: sent})
				}
			case 2:
				since := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)
				p, ok := h.Floor(since, logpos.Position{})
				for _, c := range log {
					if ok && c.at.Before(since) && p.Less(c.p) {
						t.Fatalf("floor %v for time %v is below position %v, committed at %v", p, since, c.p, c.at)
					}
				}
			}
		}
	})
})
