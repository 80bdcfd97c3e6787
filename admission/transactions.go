package admission

import "github.com/dragonflypick/dragonflypick/bundle"

// Fractions of the connections beyond the slots. A transaction of the rank may
// begin only while fewer are open, counted over all ranks.
const (
	routineFraction    = 0.8
	backgroundFraction = 0.5
)

// TransactionLimiter counts and bounds the open transactions of one backend server.
// An open transaction holds a connection also while it is idle; the bound leaves
// a connection for each slot to requests outside of transactions. It is not safe
// for concurrent use.
type TransactionLimiter struct {
	// Connections and Slots are the sizes of the backend server's pool.
	Connections int
	Slots       int
	// open is the number of open transactions of each rank; with Connections
	// and Slots unchanged, their sum never exceeds Limit(bundle.Urgent).
	open [bundle.RankCount]int
}

// Limit returns the number of open transactions of all ranks at which a new one
// of rank r is refused. It is at least one.
func (t *TransactionLimiter) Limit(r bundle.Rank) int {
	n := max(t.Connections-t.Slots, 1)
	switch r {
	case bundle.Urgent:
		return n
	case bundle.Routine:
		return max(int(routineFraction*float64(n)), 1)
	default:
		return max(int(backgroundFraction*float64(n)), 1)
	}
}

// Begin reports whether a transaction may begin, and if so, counts it.
func (t *TransactionLimiter) Begin(r bundle.Rank) bool {
	if t.Open() >= t.Limit(r) {
		return false
	}
	t.open[r]++
	return true
}

// End removes a transaction that Begin counted.
func (t *TransactionLimiter) End(r bundle.Rank) { t.open[r]-- }

// Open returns the number of open transactions.
func (t *TransactionLimiter) Open() int {
	n := 0
	for _, o := range t.open {
		n += o
	}
	return n
}
