package budget

import "github.com/dragonflypick/dragonflypick/bundle"

// DefaultFlight is the number of unanswered requests of one rank that an entry
// has at one backend server of another region.
const DefaultFlight = 256

// Flight bounds the unanswered requests to each backend server and rank, so
// that a flood can't fill the region link before its first refusal has come
// back. It is not safe for concurrent use.
type Flight struct {
	// Limit is the greatest number for each backend server and rank.
	Limit int
	// counts holds the numbers above zero.
	counts map[flightKey]int
}

// flightKey is the work of one rank for one backend server.
type flightKey struct {
	member string
	rank   bundle.Rank
}

// Begin counts a request in and reports whether it may be sent.
func (f *Flight) Begin(member string, r bundle.Rank) bool {
	k := flightKey{member: member, rank: r}
	if f.counts[k] >= f.Limit {
		return false
	}
	if f.counts == nil {
		f.counts = map[flightKey]int{}
	}
	f.counts[k]++
	return true
}

// End counts a request out that Begin counted in.
func (f *Flight) End(member string, r bundle.Rank) {
	k := flightKey{member: member, rank: r}
	if f.counts[k]--; f.counts[k] <= 0 {
		delete(f.counts, k)
	}
}
