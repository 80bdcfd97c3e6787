package pace

import (
	"math"
	"time"
)

// window collects the deviations of the answers since a change of the limit.
type window struct {
	started time.Time
	answers int
	// full counts the answers that were given while the limit was used up.
	full    int
	sum     float64
	squares float64
}

func (w *window) add(deviation float64, full bool) {
	w.answers++
	w.sum += deviation
	w.squares += deviation * deviation
	if full {
		w.full++
	}
}

func (w *window) mean() float64 {
	if w.answers == 0 {
		return 0
	}
	return w.sum / float64(w.answers)
}

// variance returns the square of the mean's standard error.
func (w *window) variance() float64 {
	n := float64(w.answers)
	if n == 0 {
		return math.Inf(1)
	}
	return max(w.squares/n-w.mean()*w.mean(), minSpread*minSpread) / n
}

// isFull reports whether the limit was used up.
func (w *window) isFull() bool { return float64(w.full) >= fullShare*float64(w.answers) }
