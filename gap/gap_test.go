package gap_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gap"
)

func TestGap(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gap")
}

var (
	start = time.Unix(1000, 0)
	key   = gap.Key{Group: "g", Primary: true}
	// limits are the time limits of a statement and patience those of an operation, by
	// rank.
	limits   = [bundle.RankCount]time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 800 * time.Millisecond}
	patience = [bundle.RankCount]time.Duration{8 * time.Second, 12 * time.Second, 8 * time.Second}
)

const (
	step = 20 * time.Millisecond
	// hasty is when callers return that weren't told when, or don't heed it.
	hasty = 150 * time.Millisecond
)

// operation is a caller's operation that is tried up to three times.
type operation struct {
	rank           bundle.Rank
	first, tried   time.Duration
	returnAt       time.Duration
	tries          int
	waiting, ended bool
}

// outcome is what callers get.
type outcome struct {
	served         [bundle.RankCount]int
	asked, retried int
}

// player plays operations at one entry, whose group serves nothing for the first part
// of the time.
type player struct {
	random    *rand.Rand
	jitter    *rand.Rand
	table     *gap.Table
	length    time.Duration
	on, heeds bool
	out       outcome
}

func (p *player) refuse(x *operation, at, after time.Duration) {
	if !p.heeds || after == 0 {
		after = hasty
	}
	x.waiting, x.returnAt = false, at+after
	if x.tries == 3 || x.returnAt > x.first+patience[x.rank] {
		x.ended = true
		return
	}
	p.out.retried++
}

func (p *player) advance(x *operation, at time.Duration) {
	if x.ended || at < x.returnAt {
		return
	}
	if !x.waiting {
		x.waiting, x.tried = true, at
		x.tries++
	}
	left := x.tried + limits[x.rank] - at
	switch {
	case at >= p.length:
		p.table.Served(key)
		x.ended = true
		p.out.served[x.rank]++
	case left <= step:
		var after time.Duration
		if p.on {
			p.table.Blocked(key, start.Add(x.tried), start.Add(at))
			after, _ = p.table.ReturnAfter(key, x.rank, p.jitter.Float64(), start.Add(at))
		}
		p.refuse(x, at, after)
	}
}

func play(length time.Duration, on, heeds bool, seed uint64) outcome {
	p := &player{random: rand.New(rand.NewPCG(seed, 2)), jitter: rand.New(rand.NewPCG(seed, 3)), table: gap.New(), length: length, on: on, heeds: heeds}
	var l []*operation
	for at := time.Duration(0); at < length+15*time.Second; at += step {
		for r := range bundle.Rank(bundle.RankCount) {
			if at < length+2*time.Second && p.random.Float64() < 0.5 {
				l = append(l, &operation{rank: r, first: at})
				p.out.asked++
			}
		}
		for _, x := range l {
			p.advance(x, at)
		}
	}
	return p.out
}

var _ = Describe("a gap", func() {
	It("leaves more callers served, and most of the urgent ones, if they return when they are told to", func() {
		for seed := range uint64(5) {
			with, without := play(6*time.Second, true, true, seed), play(6*time.Second, false, true, seed)
			AddReportEntry(fmt.Sprintf("seed %d: of %d served %v after %d returns; off %v after %d", seed, with.asked, with.served, with.retried, without.served, without.retried))
			for r := range with.served {
				Expect(with.served[r]).To(BeNumerically(">", without.served[r]), "rank %d", r)
			}
			Expect(with.retried).To(BeNumerically("<", without.retried))
		}
	})

	It("leaves as many callers served as before if they return at once", func() {
		for seed := range uint64(5) {
			Expect(play(6*time.Second, true, false, seed).served).To(Equal(play(6*time.Second, false, false, seed).served))
		}
	})

	It("ends with the first request that is served, and is forgotten if nobody tries", func() {
		t := gap.New()
		t.Blocked(key, start, start.Add(5*time.Second))
		_, known := t.ReturnAfter(gap.Key{Group: "g"}, bundle.Urgent, 0, start.Add(5*time.Second))
		Expect(known).To(BeFalse(), "replicas still serve")
		t.Served(key)
		Expect(t.Count(start)).To(BeZero())
		t.Blocked(key, start, start.Add(5*time.Second))
		t.Blocked(key, start.Add(9*time.Second), start.Add(9*time.Second))
		d, known := t.ReturnAfter(key, bundle.Urgent, 0, start.Add(9*time.Second))
		Expect(known).To(BeTrue())
		Expect(d).To(Equal(250 * time.Millisecond))
		d, known = t.Since(key, start.Add(10*time.Second))
		Expect(known).To(BeTrue())
		Expect(d).To(Equal(time.Second))
		_, known = t.Since(key, start.Add(13*time.Second))
		Expect(known).To(BeFalse())
		Expect(t.Count(start.Add(13 * time.Second))).To(BeZero())
	})

	It("isn't kept after its group has gone", func() {
		t := gap.New()
		for i := range 100 {
			at := start.Add(time.Duration(i) * time.Second)
			t.Blocked(gap.Key{Group: fmt.Sprint(i)}, at, at)
		}
		Expect(t.Count(start)).To(BeNumerically("<", 10), "counted as of the beginning, when none is old")
	})

	It("asks more urgent callers to return first, and none before as much time as it has lasted", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			t := gap.New()
			age := time.Duration(rapid.IntRange(0, 60000).Draw(r, "age")) * time.Millisecond
			t.Blocked(key, start, start.Add(age))
			last := min(age, 5*time.Second)
			for k := range bundle.Rank(bundle.RankCount) {
				d, known := t.ReturnAfter(key, k, rapid.Float64Range(0, 1).Draw(r, "jitter"), start.Add(age))
				if !known || d < last {
					r.Fatalf("rank %v returns after %v, a more urgent one after %v", k, d, last)
				}
				last = d
			}
		})
	})
})
