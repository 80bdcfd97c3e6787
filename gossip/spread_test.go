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

// node is a daemon in virtual time.
type node struct {
	host    membership.Host
	view    *membership.View
	roster  *gossip.HostList
	version uint64
	watcher time.Time
	dead    bool
}

// world is a fleet, its platform, and what is broken.
type world struct {
	r       *rand.Rand
	now     time.Time
	nodes   []*node
	version uint64
	index   uint64
	list    []membership.Host
	down    bool
	// cut is a failure domain that reaches neither the platform nor others.
	cut string
}

func (w *world) reaches(a, b *node) bool {
	return !b.dead && (a.host.FailureDomain == b.host.FailureDomain || w.cut != a.host.FailureDomain && w.cut != b.host.FailureDomain)
}

// second lets every daemon act once.
func (w *world) second() {
	w.now = w.now.Add(time.Second)
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		l := n.view.Live(w.now)
		if gossip.ShouldWatch(n.host, l, w.now.Sub(n.watcher)) {
			n.watcher = w.now
			if !w.down && w.cut != n.host.FailureDomain {
				n.version = max(n.version, w.version)
				if n.roster.UpdateFromPlatform(w.index, w.list) {
					n.view.Handle(membership.ListReceived{Hosts: n.roster.Hosts()}, w.now)
				}
			}
		}
		for _, c := range [][]membership.Host{gossip.Neighbours(n.host, l), n.view.Suspects(w.now)} {
			if len(c) > 0 {
				w.exchange(n, c[w.r.IntN(len(c))].ID)
			}
		}
	}
}

func (w *world) exchange(n *node, id string) {
	for _, p := range w.nodes {
		if p.host.ID != id || !w.reaches(n, p) {
			continue
		}
		n.view.Handle(membership.HostAnswered{ID: id}, w.now)
		p.view.Handle(membership.HostDiscovered{Host: n.host, Direct: true}, w.now)
		for _, h := range p.view.UnlistedHosts(w.now) {
			n.view.Handle(membership.HostDiscovered{Host: h}, w.now)
		}
		if p.watcher.After(n.watcher) {
			n.watcher = p.watcher
		}
		n.version, p.version = max(n.version, p.version), max(n.version, p.version)
		if n.roster.Apply(p.roster.Since(n.roster.Version())) {
			n.view.Handle(membership.ListReceived{Hosts: n.roster.Hosts()}, w.now)
		}
		return
	}
	n.view.Handle(membership.LinkFailed{ID: id}, w.now)
}

// relist gives the platform's list its true content.
func (w *world) relist() {
	w.index++
	w.list = nil
	for _, n := range w.nodes {
		if !n.dead {
			w.list = append(w.list, n.host)
		}
	}
}

func newWorld(seed uint64, n int) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), version: 1, index: 1000, list: fleet(n, 3)}
	for _, h := range w.list {
		k := &node{host: h, view: membership.New(h), roster: gossip.NewHostList(), watcher: w.now}
		k.view.Handle(membership.ListReceived{Hosts: w.list}, w.now)
		w.nodes = append(w.nodes, k)
	}
	return w
}

// fault breaks or mends something.
func (w *world) fault(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		w.down = !w.down
	case 1:
		w.cut = rapid.SampledFrom([]string{"", "d0", "d1", "d2"}).Draw(t, "cut")
	case 2:
		n := w.nodes[rapid.IntRange(1, len(w.nodes)-1).Draw(t, "killed")]
		n.dead = true
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
	It("keeps its versions through faults, and heals without an operator", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 12).Draw(t, "hosts"))
			for range rapid.IntRange(1, 8).Draw(t, "faults") {
				w.fault(t)
				for range rapid.IntRange(1, 30).Draw(t, "seconds") {
					before := make([]uint64, len(w.nodes))
					for i, n := range w.nodes {
						before[i] = n.version
					}
					w.second()
					for i, n := range w.nodes {
						if n.version < before[i] {
							t.Fatalf("version of %s fell", n.host.ID)
						}
					}
				}
			}
			w.down, w.cut = false, ""
			w.version++
			for range 3 {
				w.relist()
				for range 50 {
					w.second()
				}
			}
			w.healed(t)
		})
	})
})

var _ = Describe("a fleet whose watchers are all killed at once", func() {
	It("finds new watchers, and learns of it", func() {
		w := newWorld(6, 150)
		w.second()
		for _, n := range w.nodes {
			n.dead = gossip.ShouldWatch(n.host, w.list, 0)
		}
		w.version++
		for range 40 {
			w.second()
		}
		for _, n := range w.nodes {
			if !n.dead {
				Expect(n.version).To(Equal(w.version), n.host.ID)
			}
		}
	})
})

// healed checks that all live daemons agree.
func (w *world) healed(t *rapid.T) {
	m := bundle.Member{Name: "m", Region: "r0", FailureDomain: "d0"}
	owner := ""
	alive := slices.Clone(w.list)
	slices.SortFunc(alive, func(a, b membership.Host) int { return strings.Compare(a.ID, b.ID) })
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		h, ok := n.view.Owner(&m, w.now)
		if owner == "" {
			owner = h.ID
		}
		if !slices.Equal(n.roster.Hosts(), alive) {
			t.Fatalf("%s lists %v", n.host.ID, n.roster.Hosts())
		}
		if n.version != w.version || !ok || h.ID != owner {
			t.Fatalf("%s has version %d of %d, owner %s instead of %s", n.host.ID, n.version, w.version, h.ID, owner)
		}
	}
}
