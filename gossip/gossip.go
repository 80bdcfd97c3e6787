// Package gossip decides which daemons call the platform and how bundles and
// the host list spread from them to the rest. It does no I/O and reads no
// clock.
package gossip

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
	// sameDomain, sameRegion and anywhere are the numbers of a daemon's
	// neighbours in its failure domain, in the rest of its region, and in the
	// rest of the fleet.
	sameDomain = 3
	sameRegion = 1
	anywhere   = 1
)

// Timing of calls to the platform.
const (
	// renewBase is the pause between two renewals in a fleet of renewFleet
	// hosts; it grows with the square root of the fleet, and so do all
	// renewals of the fleet together.
	renewBase  = 20 * time.Second
	renewFleet = 9
	// renewals is the number of renewals that a host may miss.
	renewals = 3
	// WatcherSilence is how long no sign of a watcher may come before more
	// daemons watch; watcherStep is the time in which their number doubles.
	WatcherSilence = 15 * time.Second
	watcherStep    = 5 * time.Second
)

// ShouldWatch reports whether a daemon is to watch the platform. The silence is
// the time since the last sign of any watcher: the hosts at the top of a
// failure domain's rendezvous order may all be gone without a notice.
func ShouldWatch(self membership.Host, live []membership.Host, silence time.Duration) bool {
	n := DomainWatchers
	if silence > WatcherSilence {
		n <<= min(1+(silence-WatcherSilence)/watcherStep, 16)
	}
	s := score("watch", self.ID)
	for _, h := range live {
		if h.ID != self.ID && domain(h) == domain(self) && score("watch", h.ID) > s {
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
	sort.Slice(l, func(i, j int) bool { return score(self.ID, l[i].ID) > score(self.ID, l[j].ID) })
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
	take(sameDomain, func(h membership.Host) bool { return domain(h) == domain(self) })
	take(sameRegion, func(h membership.Host) bool { return domain(h) != domain(self) && h.Region == self.Region })
	take(anywhere, func(h membership.Host) bool { return h.Region != self.Region })
	take(sameDomain+sameRegion+anywhere-len(o), func(membership.Host) bool { return true })
	return o
}

// RenewInterval is the pause between two renewals of a host's entry in a fleet
// of n hosts.
func RenewInterval(n int) time.Duration {
	return time.Duration(float64(renewBase) * math.Sqrt(float64(max(n, renewFleet))/renewFleet))
}

// SessionTTL is how long a host's entry outlives its last renewal in a fleet of
// n hosts.
func SessionTTL(n int) time.Duration { return renewals * RenewInterval(n) }

func domain(h membership.Host) string { return h.Region + "/" + h.FailureDomain }

func score(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }
