package gossip

import (
	"sort"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

const (
	// watchersPerRegion is the number of hosts in a region that watch the
	// platform's store, if possible in different failure domains.
	watchersPerRegion = 2
	// upstreamCount is the number of hosts from which a host fetches changes.
	upstreamCount = 2
	// levelFanout is the factor by which a level of a failure domain's tree is
	// larger than the one above it. A host serves about this many others, and a
	// change crosses a failure domain of 5,000 hosts in four exchanges.
	levelFanout = 8
)

// Overlay is the part of the fleet that a daemon exchanges changes of the store
// with. Its size doesn't depend on the size of the fleet.
//
// The watchers of a region watch the store. The first hosts of each failure domain
// fetch the changes from them, and the other hosts of the domain form a tree below
// these, so that a change crosses a region's boundary only through its watchers.
type Overlay struct {
	// Watches is set if the daemon watches the store for its region.
	Watches bool
	// Level is the number of hosts that a change passes before it reaches the
	// daemon, if the upstreams work; zero if Watches is set.
	Level int
	// Upstreams are the hosts from which the daemon fetches changes; empty if
	// Watches is set, or if the daemon is alone.
	Upstreams []membership.Host
	// Neighbors are the hosts with which the daemon exchanges in addition, so that
	// changes also arrive while the upstreams have none.
	Neighbors []membership.Host
}

// NewOverlay returns the overlay of a daemon. It depends only on the live hosts;
// adding or removing one host changes few links.
func NewOverlay(self membership.Host, live []membership.Host) Overlay {
	o := Overlay{Neighbors: Neighbors(self, live)}
	domain, region := rankedHosts(self, live)
	watchers := region[:min(len(region), watchersPerRegion)]
	for _, h := range watchers {
		if h.ID == self.ID {
			o.Watches = true
			return o
		}
	}
	rank := 0
	for domain[rank].ID != self.ID {
		rank++
	}
	above := watchers
	o.Level = 1
	for start, size := 0, upstreamCount; rank >= start+size; start, size = start+size, size*levelFanout {
		above = domain[start : start+size]
		o.Level++
	}
	for i := range min(len(above), upstreamCount) {
		o.Upstreams = append(o.Upstreams, above[(rank+i)%len(above)])
	}
	return o
}

// OverlayCache keeps a daemon's overlay until its view of the hosts changes. It is not
// safe for concurrent use.
type OverlayCache struct {
	overlay Overlay
	// generation is the generation of the view for which overlay was computed; zero
	// before that.
	generation uint64
}

// Overlay returns the overlay of the daemon on the host self.
func (c *OverlayCache) Overlay(self membership.Host, v *membership.View, now time.Time) Overlay {
	if n := v.Generation(now); n != c.generation {
		c.overlay, c.generation = NewOverlay(self, v.Live(now)), n
	}
	return c.overlay
}

// rankedHosts returns the hosts of the daemon's failure domain by score, and those
// of its region by their rank in their failure domain, then by score. Both contain
// the daemon itself, also if it isn't live.
func rankedHosts(self membership.Host, live []membership.Host) (domain, region []membership.Host) {
	l := []membership.Host{self}
	for _, h := range live {
		if h.ID != self.ID && h.Region == self.Region {
			l = append(l, h)
		}
	}
	region = sortedByScore("watch", l, "")
	ranks, sizes := map[string]int{}, map[string]int{}
	for _, h := range region {
		ranks[h.ID] = sizes[h.FailureDomain]
		sizes[h.FailureDomain]++
		if h.FailureDomain == self.FailureDomain {
			domain = append(domain, h)
		}
	}
	sort.SliceStable(region, func(i, j int) bool { return ranks[region[i].ID] < ranks[region[j].ID] })
	return domain, region
}
