package ceiling_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/standin/ceiling"
)

const ms = time.Millisecond

// shop are the operations of a deployment with single statements and transactions of
// five: urgent short ones, long reads, and reads of own writes.
func shop(scale float64) []ceiling.Kind {
	k := func(rate float64, slot time.Duration, worth, late float64, aim time.Duration) ceiling.Kind {
		return ceiling.Kind{PerSecond: scale * rate, SlotTime: slot, Worth: worth, LateWorth: late, Aim: aim, Deadline: 5 * time.Second}
	}
	return []ceiling.Kind{
		k(9, 4300*time.Microsecond, 2, 0.6, 800*ms), k(6, 21*ms, 2, 0.6, 800*ms),
		k(13.5, 21*ms, 1, 0.3, 1200*ms), k(1.5, 105*ms, 1, 0.3, 1200*ms),
		k(61.6, 13500*time.Microsecond, 2, 0.3, 1500*ms), k(8.4, 68*ms, 2, 0.3, 1500*ms),
	}
}

func TestShortageServesWhatNeedsLeastForItsWorth(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(ceiling.Shortage(shop(1), 2)).To(gomega.BeNumerically("~", 1, 0.001))
	cheap := ceiling.Kind{PerSecond: 10, SlotTime: 100 * ms, Worth: 1}
	costly := ceiling.Kind{PerSecond: 10, SlotTime: 200 * ms, Worth: 1}
	g.Expect(ceiling.Shortage([]ceiling.Kind{costly, cheap}, 2)).To(gomega.BeNumerically("~", 0.75, 0.001))
	g.Expect(ceiling.Shortage(nil, 2)).To(gomega.BeEquivalentTo(1))
	for _, n := range []float64{1.2, 1.5, 1.9} {
		t.Logf("%.0f operations a second of two slots: %.3f", 100*n, ceiling.Shortage(shop(n), 2))
	}
}

func TestOutageLosesWhatItsCallersLearnTooLate(t *testing.T) {
	g := gomega.NewWithT(t)
	k := []ceiling.Kind{{PerSecond: 1, Worth: 2, LateWorth: 1, Aim: time.Second, Deadline: 2 * time.Second}}
	g.Expect(ceiling.Outage(k, 600*ms, 0)).To(gomega.BeNumerically("~", 1, 0.001))
	// Of 1.4 s the first 0.8 s are served late, after 1.4 s.
	g.Expect(ceiling.Outage(k, 1400*ms, 0)).To(gomega.BeNumerically("~", 1-0.5*0.8/1.4, 0.01))
	g.Expect(ceiling.Outage(k, 10*time.Second, 0)).To(gomega.BeNumerically("<", 0.2))
	for _, d := range []time.Duration{950 * ms, 1200 * ms, 1600 * ms, 1900 * ms, 2300 * ms} {
		t.Logf("without service for %v: %.3f", d, ceiling.Outage(shop(1), d, 100*ms))
	}
}
