package budget

import "github.com/dragonflypick/dragonflypick/bundle"

// DefaultInFlight is the maximum number of unanswered requests of one rank from an
// entry to one backend server in another region.
const DefaultInFlight = 256

// InFlight bounds the unanswered requests of each rank to each backend server, so
// that an overload can't saturate the link between regions before the first
// refusal has arrived. It is not safe for concurrent use.
type InFlight struct {
	// Limit is the maximum number for each backend server and rank.
	Limit int
	// counts holds the numbers of unanswered requests that are above zero.
	counts map[counterKey]int
}

// counterKey identifies one counter of unanswered requests.
type counterKey struct {
	member string
	rank   bundle.Rank
}

// Begin reports whether a request may be sent, and if so, counts it.
func (f *InFlight) Begin(member string, r bundle.Rank) bool {
	k := counterKey{member: member, rank: r}
	if f.counts[k] >= f.Limit {
		return false
	}
	if f.counts == nil {
		f.counts = map[counterKey]int{}
	}
	f.counts[k]++
	return true
}

// End removes a request that Begin counted.
func (f *InFlight) End(member string, r bundle.Rank) {
	k := counterKey{member: member, rank: r}
	if f.counts[k]--; f.counts[k] <= 0 {
		delete(f.counts, k)
	}
}
