// Package rollout decides which daemons call the platform and how bundles and
// the host list spread from them to the rest. It does no I/O and reads no
// clock.
package rollout

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Numbers of daemons with a part in spreading news.
const (
	// DomainWatchers is the number of daemons in a failure domain that watch the
	// platform.
	DomainWatchers = 2
	// domainNeighbours, regionNeighbours and anywhere are the numbers of a daemon's
	// neighbours in its failure domain, in the rest of its region, and in the
	// rest of the fleet.
	domainNeighbours = 3
	regionNeighbours = 1
	remoteNeighbours = 1
)

// Timing of calls to the platform.
const (
	// baseRenewInterval is the pause between two renewals in a fleet of baseFleetSize
	// hosts; it grows with the square root of the fleet, and so do all
	// renewals of the fleet together.
	baseRenewInterval = 20 * time.Second
	baseFleetSize     = 9
	// renewalsPerTTL is the number of renewals that a host may miss.
	renewalsPerTTL = 3
	// WatcherTimeout is how long no sign of a watcher may come before more
	// daemons watch; watcherDoublingTime is the time in which their number doubles.
	WatcherTimeout      = 15 * time.Second
	watcherDoublingTime = 5 * time.Second
)

// Watches reports whether a daemon is to watch the platform. The silence is
// the time since the last sign of any watcher: the hosts at the top of a
// failure domain's rendezvous order may all be gone without a notice.
func Watches(self membership.Host, live []membership.Host, silence time.Duration) bool {
	n := DomainWatchers
	if silence > WatcherTimeout {
		n <<= min(1+(silence-WatcherTimeout)/watcherDoublingTime, 16)
	}
	s := rendezvousScore("watch", self.ID)
	for _, h := range live {
		if h.ID != self.ID && domainKey(h) == domainKey(self) && rendezvousScore("watch", h.ID) > s {
			n--
		}
	}
	return n > 0
}

// Neighbours returns the hosts with which a daemon keeps links to exchange
// news, most of them near. The same live hosts give the same neighbours, and a
// host that comes or goes changes few of them.
func Neighbours(self membership.Host, live []membership.Host) []membership.Host {
	l := make([]membership.Host, 0, len(live))
	for _, h := range live {
		if h.ID != self.ID {
			l = append(l, h)
		}
	}
	sort.Slice(l, func(i, j int) bool { return rendezvousScore(self.ID, l[i].ID) > rendezvousScore(self.ID, l[j].ID) })
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
	take(domainNeighbours, func(h membership.Host) bool { return domainKey(h) == domainKey(self) })
	take(regionNeighbours, func(h membership.Host) bool { return domainKey(h) != domainKey(self) && h.Region == self.Region })
	take(remoteNeighbours, func(h membership.Host) bool { return h.Region != self.Region })
	take(domainNeighbours+regionNeighbours+remoteNeighbours-len(o), func(membership.Host) bool { return true })
	return o
}

// RenewInterval is the pause between two renewals of a host's entry in a fleet
// of n hosts.
func RenewInterval(n int) time.Duration {
	return time.Duration(float64(baseRenewInterval) * math.Sqrt(float64(max(n, baseFleetSize))/baseFleetSize))
}

// SessionTTL is how long a host's entry outlives its last renewal in a fleet of
// n hosts.
func SessionTTL(n int) time.Duration { return renewalsPerTTL * RenewInterval(n) }

func domainKey(h membership.Host) string { return h.Region + "/" + h.FailureDomain }

func rendezvousScore(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
