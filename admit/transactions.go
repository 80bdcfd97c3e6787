package admit

import "github.com/dragonflypick/dragonflypick/bundle"

// Parts of the connections beyond the slots that open transactions may hold,
// counted over all ranks.
const (
	routineFraction    = 0.8
	backgroundFraction = 0.5
)

// Transactions counts the open transactions of one backend server, which hold
// connections also while idle, and bounds them by rank. Work outside of
// transactions always finds a connection for each slot. It is not safe for
// concurrent use.
type Transactions struct {
	// Connections and Slots are those of the backend server's pool.
	Connections int
	Slots       int
	// open is the number of open transactions of each rank; with Connections
	// and Slots unchanged, their sum never exceeds Limit(bundle.Urgent).
	open [bundle.RankCount]int
}

// Limit returns how many transactions may be open in total for one more of
// rank r to begin below it. It is at least one.
func (t *Transactions) Limit(r bundle.Rank) int {
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

// Begin counts a transaction in and reports whether it may hold a connection.
func (t *Transactions) Begin(r bundle.Rank) bool {
	if t.Open() >= t.Limit(r) {
		return false
	}
	t.open[r]++
	return true
}

// End counts a transaction out that Begin counted in.
func (t *Transactions) End(r bundle.Rank) { t.open[r]-- }

// Open returns the number of open transactions.
func (t *Transactions) Open() int {
	n := 0
	for _, o := range t.open {
		n += o
	}
	return n
}
