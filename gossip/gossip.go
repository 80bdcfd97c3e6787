// Package gossip decides which daemons watch the platform, and with which
// neighbors each daemon exchanges updates, so that bundles and the host list
// reach all daemons. It does no I/O and reads no clock.
//
// Package membership decides which hosts on the list are live.
package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Numbers of daemons that take part in the dissemination.
const (
	// WatchersPerDomain is the number of daemons in a failure domain that watch
	// the platform.
	WatchersPerDomain = 2
	// domainNeighbors, regionNeighbors and remoteNeighbors are the numbers
	// of a daemon's neighbors in its failure domain, in the other failure
	// domains of its region, and in other regions.
	domainNeighbors = 3
	regionNeighbors = 1
	remoteNeighbors = 1
)

// Timing of calls to the platform.
const (
	// baseRenewInterval is the interval at which a host renews its registration
	// with the platform in a fleet of baseFleetSize hosts. The interval grows
	// with the square root of the fleet size, so that the rate of all renewals
	// together grows only with the square root as well.
	baseRenewInterval = 20 * time.Second
	baseFleetSize     = 9
	// renewalsPerTTL is how many renewal intervals a registration lasts without a
	// renewal, so that some renewals may fail.
	renewalsPerTTL = 3
	// WatcherTimeout is how long no watcher may be observed before more daemons
	// watch. Their number then doubles every watcherDoublingTime.
	WatcherTimeout      = 15 * time.Second
	watcherDoublingTime = 5 * time.Second
	// PlatformTimeout is how long the platform may answer no daemon before more
	// daemons watch, in the same way up to MaxPlatformWatchers a failure domain: the
	// watchers may be the ones that are cut off from it. It is longer than a query
	// and the exchanges that spread its time.
	PlatformTimeout     = 12 * time.Second
	MaxPlatformWatchers = 8 * WatchersPerDomain
)

// Silence tells how long a daemon hasn't heard of the platform.
type Silence struct {
	// Watcher is the time since any watcher was last observed.
	Watcher time.Duration
	// Platform is the time since the platform last answered a query of any daemon,
	// counted from when the query was sent. A query that is pending shows nothing.
	Platform time.Duration
}

// ShouldWatch reports whether a daemon should watch the platform. The watchers
// are the live hosts of a failure domain with the highest rendezvous scores.
// With a long silence more daemons watch, since all hosts with the highest scores
// may have failed unnoticed or lost the platform.
func ShouldWatch(self membership.Host, live []membership.Host, silence Silence) bool {
	n := WatchersPerDomain
	if silence.Platform > PlatformTimeout {
		n = min(n<<min(1+(silence.Platform-PlatformTimeout)/watcherDoublingTime, 16), MaxPlatformWatchers)
	}
	if silence.Watcher > WatcherTimeout {
		n = max(n, WatchersPerDomain<<min(1+(silence.Watcher-WatcherTimeout)/watcherDoublingTime, 16))
	}
	s := rendezvousScore("watch", self.ID)
	for _, h := range live {
		if h.ID != self.ID && domainKey(h) == domainKey(self) && rendezvousScore("watch", h.ID) > s {
			n--
		}
	}
	return n > 0
}

// Neighbors returns the hosts to which a daemon keeps links to exchange
// updates: some in its failure domain, in its region and in other regions. The
// result depends only on the live hosts, and adding or removing one host
// changes few neighbors.
func Neighbors(self membership.Host, live []membership.Host) []membership.Host {
	l := sortedByScore(self.ID, live, self.ID)
	var o []membership.Host
	taken := map[string]bool{}
	take := func(n int, in func(membership.Host) bool) {
		for _, h := range l {
			if n > 0 && !taken[h.ID] && in(h) {
				taken[h.ID] = true
				o = append(o, h)
				n--
			}
		}
	}
	take(domainNeighbors, func(h membership.Host) bool { return domainKey(h) == domainKey(self) })
	take(regionNeighbors, func(h membership.Host) bool { return domainKey(h) != domainKey(self) && h.Region == self.Region })
	take(remoteNeighbors, func(h membership.Host) bool { return h.Region != self.Region })
	take(domainNeighbors+regionNeighbors+remoteNeighbors-len(o), func(membership.Host) bool { return true })
	return o
}

// RenewInterval returns the interval at which a host renews its registration in a
// fleet of n hosts.
func RenewInterval(n int) time.Duration {
	return time.Duration(float64(baseRenewInterval) * math.Sqrt(float64(max(n, baseFleetSize))/baseFleetSize))
}

// SessionTTL returns how long a host's registration lasts after its last
// renewal in a fleet of n hosts.
func SessionTTL(n int) time.Duration { return renewalsPerTTL * RenewInterval(n) }

// sortedByScore returns the hosts except the given one, the highest rendezvous
// score first.
func sortedByScore(key string, hosts []membership.Host, except string) []membership.Host {
	type scored struct {
		score uint64
		host  membership.Host
	}
	l := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		if h.ID != except {
			l = append(l, scored{rendezvousScore(key, h.ID), h})
		}
	}
	slices.SortFunc(l, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	o := make([]membership.Host, len(l))
	for i, s := range l {
		o[i] = s.host
	}
	return o
}

func domainKey(h membership.Host) string { return h.Region + "/" + h.FailureDomain }

func rendezvousScore(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
