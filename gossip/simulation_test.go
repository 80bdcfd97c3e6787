package gossip_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
)

// node is a daemon of the simulated fleet.
type node struct {
	host              membership.Host
	view              *membership.View
	hostList          *gossip.HostList
	version           uint64
	watcherObservedAt time.Time
	killed            bool
}

// simulation is a fleet and its platform in simulated time, with faults.
type simulation struct {
	random       *rand.Rand
	now          time.Time
	nodes        []*node
	version      uint64
	index        uint64
	list         []membership.Host
	platformDown bool
	// isolatedDomain is a failure domain that reaches neither the platform nor
	// other failure domains; empty if there is none.
	isolatedDomain string
}

func (w *simulation) reaches(a, b *node) bool {
	return !b.killed && (a.host.FailureDomain == b.host.FailureDomain || w.isolatedDomain != a.host.FailureDomain && w.isolatedDomain != b.host.FailureDomain)
}

// step advances the time by one second, in which every daemon acts once.
func (w *simulation) step() {
	w.now = w.now.Add(time.Second)
	for _, n := range w.nodes {
		if n.killed {
			continue
		}
		l := n.view.Live(w.now)
		if gossip.ShouldWatch(n.host, l, gossip.Silence{Watcher: w.now.Sub(n.watcherObservedAt)}) {
			n.watcherObservedAt = w.now
			if !w.platformDown && w.isolatedDomain != n.host.FailureDomain {
				n.version = max(n.version, w.version)
				if n.hostList.UpdateFromPlatform(w.index, w.list) {
					n.view.Handle(membership.ListReceived{Hosts: n.hostList.Hosts()}, w.now)
				}
			}
		}
		for _, c := range [][]membership.Host{gossip.Neighbors(n.host, l), n.view.Suspects(w.now)} {
			if len(c) > 0 {
				w.exchange(n, c[w.random.IntN(len(c))].ID)
			}
		}
	}
}

func (w *simulation) exchange(n *node, id string) {
	for _, p := range w.nodes {
		if p.host.ID != id || !w.reaches(n, p) {
			continue
		}
		n.view.Handle(membership.HostAnswered{ID: id}, w.now)
		p.view.Handle(membership.HostDiscovered{Host: n.host, Direct: true}, w.now)
		for _, h := range p.view.UnlistedHosts(w.now) {
			n.view.Handle(membership.HostDiscovered{Host: h}, w.now)
		}
		if p.watcherObservedAt.After(n.watcherObservedAt) {
			n.watcherObservedAt = p.watcherObservedAt
		}
		n.version, p.version = max(n.version, p.version), max(n.version, p.version)
		if n.hostList.Apply(p.hostList.UpdateSince(n.hostList.Version())) {
			n.view.Handle(membership.ListReceived{Hosts: n.hostList.Hosts()}, w.now)
		}
		return
	}
	n.view.Handle(membership.LinkFailed{ID: id}, w.now)
}

// publishList sets the platform's list to the live hosts.
func (w *simulation) publishList() {
	w.index++
	w.list = nil
	for _, n := range w.nodes {
		if !n.killed {
			w.list = append(w.list, n.host)
		}
	}
}

func newSimulation(seed uint64, n int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), version: 1, index: 1000, list: fleet(n, 3)}
	for _, h := range w.list {
		k := &node{host: h, view: membership.New(h), hostList: gossip.NewHostList(), watcherObservedAt: w.now}
		k.view.Handle(membership.ListReceived{Hosts: w.list}, w.now)
		w.nodes = append(w.nodes, k)
	}
	return w
}

// injectFault starts or ends a random fault.
func (w *simulation) injectFault(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		w.platformDown = !w.platformDown
	case 1:
		w.isolatedDomain = rapid.SampledFrom([]string{"", "d0", "d1", "d2"}).Draw(t, "cut")
	case 2:
		n := w.nodes[rapid.IntRange(1, len(w.nodes)-1).Draw(t, "killed")]
		n.killed = true
	case 3:
		w.index++
		w.list = w.list[:rapid.IntRange(0, len(w.list)).Draw(t, "wrong list")]
	case 4:
		w.index = 1
	default:
		w.version++
	}
}

var _ = Describe("a fleet", func() {
	It("never decreases its versions during faults, and converges afterwards without an operator", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 12).Draw(t, "hosts"))
			for range rapid.IntRange(1, 8).Draw(t, "faults") {
				w.injectFault(t)
				for range rapid.IntRange(1, 30).Draw(t, "seconds") {
					before := make([]uint64, len(w.nodes))
					for i, n := range w.nodes {
						before[i] = n.version
					}
					w.step()
					for i, n := range w.nodes {
						if n.version < before[i] {
							t.Fatalf("version of %s decreased", n.host.ID)
						}
					}
				}
			}
			w.platformDown, w.isolatedDomain = false, ""
			w.version++
			for range 3 {
				w.publishList()
				for range 50 {
					w.step()
				}
			}
			w.expectAgreement(t)
		})
	})
})

var _ = Describe("a fleet whose watchers are all killed at once", func() {
	It("gets new watchers, which disseminate the next version", func() {
		w := newSimulation(6, 150)
		w.step()
		for _, n := range w.nodes {
			n.killed = gossip.ShouldWatch(n.host, w.list, gossip.Silence{})
		}
		w.version++
		for range 40 {
			w.step()
		}
		for _, n := range w.nodes {
			if !n.killed {
				Expect(n.version).To(Equal(w.version), n.host.ID)
			}
		}
	})
})

// expectAgreement checks that all live daemons have the same version, host list
// and owner.
func (w *simulation) expectAgreement(t *rapid.T) {
	m := bundle.Member{Name: "m", Region: "r0", FailureDomain: "d0"}
	owner := ""
	alive := slices.Clone(w.list)
	slices.SortFunc(alive, func(a, b membership.Host) int { return strings.Compare(a.ID, b.ID) })
	for _, n := range w.nodes {
		if n.killed {
			continue
		}
		h, ok := n.view.Owner(&m, w.now)
		if owner == "" {
			owner = h.ID
		}
		if !slices.Equal(n.hostList.Hosts(), alive) {
			t.Fatalf("%s lists hosts %v, want %v", n.host.ID, n.hostList.Hosts(), alive)
		}
		if n.version != w.version || !ok || h.ID != owner {
			t.Fatalf("%s has version %d, want %d; owner %s, want %s", n.host.ID, n.version, w.version, h.ID, owner)
		}
	}
}
