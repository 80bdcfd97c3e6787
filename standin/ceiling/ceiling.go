// Package ceiling computes which share of callers' worth no design could exceed while
// members have too few slots, or while nothing serves. It is a calculation from rates and
// times, for the account of a measured day; it plays nothing.
package ceiling

import (
	"cmp"
	"slices"
	"time"
)

// Kind is a kind of operation that callers send.
type Kind struct {
	// PerSecond is the rate of operations.
	PerSecond float64
	// SlotTime is what one operation needs of a member's slots.
	SlotTime time.Duration
	// Worth is that of an operation served within Aim, LateWorth of one served by
	// Deadline.
	Worth, LateWorth float64
	Aim, Deadline    time.Duration
}

// Shortage returns the largest share of the worth offered that fits into slots: all
// operations of the kinds with the most worth for their slot time, and a part of one.
func Shortage(kinds []Kind, slots float64) float64 {
	l := slices.Clone(kinds)
	slices.SortFunc(l, func(a, b Kind) int {
		return cmp.Compare(b.Worth*float64(a.SlotTime), a.Worth*float64(b.SlotTime))
	})
	offered, served := 0.0, 0.0
	for _, k := range l {
		need := k.PerSecond * k.SlotTime.Seconds()
		part := 1.0
		if need > slots {
			part = slots / need
		}
		slots -= part * need
		offered += k.PerSecond * k.Worth
		served += part * k.PerSecond * k.Worth
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}

// retransmissions are the times after which TCP sends an unanswered segment again, with
// the usual first timeout of 200 ms. A caller whose connection has lost its other end
// learns it from the answer to one of these.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond}

// outageSteps is the number of arrivals that are spread over an outage.
const outageSteps = 1000

// Outage returns the largest share of the worth of operations that arrive while no host
// has power for d, if each is served answer after its caller has learned that its
// connection is lost.
func Outage(kinds []Kind, d, answer time.Duration) float64 {
	offered, served := 0.0, 0.0
	for _, k := range kinds {
		for i := range outageSteps {
			left := d - d*time.Duration(i)/outageSteps
			offered += k.PerSecond * k.Worth
			n := slices.IndexFunc(retransmissions, func(r time.Duration) bool { return r >= left })
			if n < 0 {
				continue
			}
			switch w := retransmissions[n] + answer; {
			case w <= k.Aim:
				served += k.PerSecond * k.Worth
			case w <= k.Deadline:
				served += k.PerSecond * k.LateWorth
			}
		}
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}
