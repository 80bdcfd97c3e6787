package budget

import "github.com/dragonflypick/dragonflypick/bundle"

// DefaultInFlight is the number of unanswered requests of one rank that an entry
// has at one backend server of another region.
const DefaultInFlight = 256

// InFlight bounds the unanswered requests to each backend server and rank, so
// that a flood can't fill the region link before its first refusal has come
// back. It is not safe for concurrent use.
type InFlight struct {
	// Limit is the greatest number for each backend server and rank.
	Limit int
	// open holds the numbers above zero.
	open map[leg]int
}

// leg is the work of one rank for one backend server.
type leg struct {
	member string
	rank   bundle.Rank
}

// Begin counts a request in and reports whether it may be sent.
func (f *InFlight) Begin(member string, r bundle.Rank) bool {
	k := leg{member: member, rank: r}
	if f.open[k] >= f.Limit {
		return false
	}
	if f.open == nil {
		f.open = map[leg]int{}
	}
	f.open[k]++
	return true
}

// End counts a request out that Begin counted in.
func (f *InFlight) End(member string, r bundle.Rank) {
	k := leg{member: member, rank: r}
	if f.open[k]--; f.open[k] <= 0 {
		delete(f.open, k)
	}
}
