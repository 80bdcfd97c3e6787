package assignment

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/membership"
)

const (
	// balanceChoices is the number of hosts among which the owner of a member is
	// chosen. With two choices the most loaded host already has little more than its
	// share; with more, a few strong hosts are found among many weak ones.
	balanceChoices = 8
	// primaryLoad is the load of a primary, as a multiple of that of a replica: it
	// serves the writes, and the reads of what the replicas don't have yet.
	primaryLoad = 2
)

// Balance makes the owners of a failure domain's members follow what its hosts can
// carry: each member goes to the one of its first hosts by rendezvous hashing that has
// the least load for its weight. Hosts with the same members and hosts in view agree.
//
// Load: deployments with few hosts in a failure domain, where two primaries meet on
// one host by chance, and those whose hosts differ in strength.
func (t *Table) Balance() { t.balanced = true }

// Owner returns the host that owns a member, or false if no host is live.
func (t *Table) Owner(m catalog.Member, now time.Time) (membership.Host, bool) {
	if !t.balanced {
		return t.view.Owner(ViewMember(m), now)
	}
	i := inputs{version: t.version, viewGeneration: t.view.Generation(now)}
	if i != t.ownersFor || t.owners == nil {
		t.owners, t.ownersFor = t.balance(now), i
	}
	if h, ok := t.owners[m.ID]; ok {
		return h, true
	}
	return t.view.Owner(ViewMember(m), now)
}

// balance assigns all members, the primaries first, since they weigh most.
func (t *Table) balance(now time.Time) map[string]membership.Host {
	primary := map[string]bool{}
	l := make([]catalog.Member, 0, len(t.members))
	for name, g := range t.groupMembers {
		if p, ok := t.AssumedPrimary(name); ok {
			primary[p.ID] = true
		}
		l = append(l, g...)
	}
	slices.SortFunc(l, func(a, b catalog.Member) int {
		if primary[a.ID] != primary[b.ID] {
			return map[bool]int{true: -1, false: 1}[primary[a.ID]]
		}
		return cmp.Compare(a.ID, b.ID)
	})
	o, load := map[string]membership.Host{}, map[string]float64{}
	for _, m := range l {
		cost := 1.0
		if primary[m.ID] {
			cost = primaryLoad
		}
		var best membership.Host
		least := 0.0
		for _, h := range t.view.Successors(ViewMember(m), balanceChoices, now) {
			if r := (load[h.ID] + cost) / weight(h); best.ID == "" || r < least {
				best, least = h, r
			}
		}
		if best.ID != "" {
			load[best.ID] += cost
			o[m.ID] = best
		}
	}
	return o
}

// weight returns a host's weight, which is 1 if it tells none.
func weight(h membership.Host) float64 {
	if h.Weight <= 0 {
		return 1
	}
	return h.Weight
}

// ownerFirst returns up to n hosts of l with the owner before the others.
func ownerFirst(owner membership.Host, l []membership.Host, n int) []membership.Host {
	o := append(make([]membership.Host, 0, n+1), owner)
	for _, h := range l {
		if h.ID != owner.ID && len(o) < n {
			o = append(o, h)
		}
	}
	return o
}
