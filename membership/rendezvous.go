package membership

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// hostSet is a set of live hosts over which backend servers are distributed by
// weighted rendezvous hashing: a host owns a share of the servers in proportion to
// its weight, and a server moves only if its owner leaves or a host with a higher
// score for it comes.
type hostSet struct {
	hosts []Host
	// hashes holds the hash of each host's ID.
	hashes []uint64
}

func (s *hostSet) add(h Host) {
	s.hosts = append(s.hosts, h)
	s.hashes = append(s.hashes, xxhash.Sum64String(h.ID))
}

// first returns the host with the highest score for a server.
func (s *hostSet) first(server string) Host {
	k := xxhash.Sum64String(server)
	best, at := math.Inf(-1), 0
	for i := range s.hosts {
		if c := s.score(i, k); c > best {
			best, at = c, i
		}
	}
	return s.hosts[at]
}

// firstN returns up to n hosts with the highest scores for a server, the highest
// first.
func (s *hostSet) firstN(server string, n int) []Host {
	k := xxhash.Sum64String(server)
	type scored struct {
		score float64
		host  Host
	}
	// best is sorted and has at most n elements.
	var best []scored
	for i, h := range s.hosts {
		c := s.score(i, k)
		if len(best) == n && c <= best[n-1].score {
			continue
		}
		if len(best) < n {
			best = append(best, scored{})
		}
		at := sort.Search(len(best)-1, func(j int) bool { return best[j].score < c })
		copy(best[at+1:], best[at:])
		best[at] = scored{c, h}
	}
	o := make([]Host, len(best))
	for i, b := range best {
		o[i] = b.host
	}
	return o
}

// score returns the score of a host for a server with the given hash.
func (s *hostSet) score(host int, server uint64) float64 {
	w := s.hosts[host].Weight
	if w <= 0 {
		w = 1
	}
	// A uniform value in (0, 1) from the upper 53 bits.
	u := (float64(mix(s.hashes[host]^server)>>11) + 0.5) / (1 << 53)
	return -w / math.Log(u)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
