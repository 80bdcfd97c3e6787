package failover_test

import (
	"flag"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// simulatedMember is a member of the simulated group.
type simulatedMember struct {
	name    string
	role    failover.Role
	term    uint64
	holder  string
	primary string
	log     []logpos.Position
}

func (m *simulatedMember) status() failover.Status {
	s := failover.Status{Role: m.role, Term: m.term, Primary: m.primary}
	if n := len(m.log); n > 0 {
		s.Position = m.log[n-1]
	}
	return s
}

func (m *simulatedMember) fence(t uint64, holder string) bool {
	if t < m.term || t == m.term && m.holder != holder {
		return false
	}
	if t > m.term {
		m.term, m.holder, m.role, m.primary = t, holder, failover.Replica, ""
	}
	return true
}

func (m *simulatedMember) promote(t uint64, holder string) bool {
	if t != m.term || holder != m.holder {
		return false
	}
	if m.role != failover.Primary {
		m.role, m.primary = failover.Primary, ""
		m.write()
	}
	return true
}

func (m *simulatedMember) follow(t uint64, primary string) bool {
	if t < m.term || t == m.term && m.role == failover.Primary {
		return false
	}
	if t > m.term {
		m.holder = ""
	}
	m.term, m.role, m.primary = t, failover.Replica, primary
	return true
}

func (m *simulatedMember) write() {
	m.log = append(m.log, logpos.Position{Term: m.term, Offset: uint64(len(m.log) + 1)})
}

// simulation is a group and several daemons that replace its primary
// concurrently.
type simulation struct {
	t       *rapid.T
	now     time.Time
	members []*simulatedMember
	daemons []*failover.Group
	// pending are messages in transit, which are delivered in any order.
	pending []func()
	// acknowledged holds the positions that any daemon has found durable.
	acknowledged map[logpos.Position]bool
	// promoted maps a term to the member that was promoted in it.
	promoted map[uint64]string
}

func newSimulation(t *rapid.T, members, daemons int) *simulation {
	r := &simulation{t: t, now: time.Unix(1000, 0), acknowledged: map[logpos.Position]bool{}, promoted: map[uint64]string{}}
	var l []failover.Member
	for i := range members {
		n := string(rune('a' + i))
		m := &simulatedMember{name: n, role: failover.Replica, term: 1, primary: "a"}
		r.members = append(r.members, m)
		l = append(l, failover.Member{Name: n, Address: n, Preference: i, Draining: rapid.IntRange(0, 3).Draw(t, "leaving") == 0})
	}
	r.members[0].role, r.members[0].primary = failover.Primary, ""
	for i := range daemons {
		g := failover.New()
		g.Handle(failover.Configured{Members: l, WatcherIndex: i}, r.now)
		r.daemons = append(r.daemons, g)
	}
	return r
}

func (r *simulation) member(n string) *simulatedMember {
	i := slices.IndexFunc(r.members, func(m *simulatedMember) bool { return m.name == n })
	return r.members[i]
}

func (r *simulation) handle(d int, e failover.Event) {
	for _, a := range r.daemons[d].Handle(e, r.now) {
		r.perform(d, a)
	}
	r.recordAcknowledged(d)
}

func (r *simulation) enqueue(f func()) { r.pending = append(r.pending, f) }

func (r *simulation) perform(d int, a failover.Action) {
	holder := string(rune('0' + d))
	switch x := a.(type) {
	case failover.Fence:
		m := r.member(x.Member)
		r.enqueue(func() {
			ok := m.fence(x.Term, holder)
			s := m.status()
			r.enqueue(func() { r.handle(d, failover.FenceResult{Member: x.Member, Term: x.Term, OK: ok, Status: s}) })
		})
	case failover.Promote:
		m := r.member(x.Member)
		r.enqueue(func() {
			ok := m.promote(x.Term, holder)
			if ok {
				r.checkPromotion(m)
			}
			s := m.status()
			r.enqueue(func() { r.handle(d, failover.PromoteResult{Member: x.Member, Term: x.Term, OK: ok, Status: s}) })
		})
	case failover.Follow:
		m := r.member(x.Member)
		r.enqueue(func() { m.follow(x.Term, x.Primary) })
	}
}

// recordAcknowledged records the positions that a daemon finds durable.
func (r *simulation) recordAcknowledged(d int) {
	for _, m := range r.members {
		for _, p := range m.log {
			if r.daemons[d].Durable(p) {
				r.acknowledged[p] = true
			}
		}
	}
}

// checkPromotion checks that no other member was promoted in the same term, and that
// the promoted member holds every acknowledged write of earlier terms.
func (r *simulation) checkPromotion(m *simulatedMember) {
	if o, ok := r.promoted[m.term]; ok && o != m.name {
		r.t.Fatalf("%s and %s were both promoted in term %d", o, m.name, m.term)
	}
	r.promoted[m.term] = m.name
	for p := range r.acknowledged {
		if p.Term < m.term && !slices.Contains(m.log, p) {
			r.t.Fatalf("%s was promoted in term %d without the acknowledged %s", m.name, m.term, p)
		}
	}
}

// replicateLog copies the log of a member's primary to the member.
func (r *simulation) replicateLog(m *simulatedMember) {
	if m.primary == "" {
		return
	}
	p := r.member(m.primary)
	if p.role != failover.Primary || p.term != m.term {
		return
	}
	n := 0
	for n < len(m.log) && n < len(p.log) && m.log[n] == p.log[n] {
		n++
	}
	m.log = append(m.log[:n:n], p.log[n:]...)
}

// step performs one random step: a delivery, a tick, a report, a failure, a
// write or a replication.
func (r *simulation) step() {
	d := rapid.IntRange(0, len(r.daemons)-1).Draw(r.t, "daemon")
	m := r.members[rapid.IntRange(0, len(r.members)-1).Draw(r.t, "member")]
	switch rapid.IntRange(0, 9).Draw(r.t, "kind") {
	case 0, 1, 2, 3:
		r.deliver()
	case 4:
		r.now = r.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(r.t, "time")) * time.Millisecond)
		r.handle(d, failover.Ticked{Jitter: 0.5, InFlight: rapid.IntRange(0, 1).Draw(r.t, "in flight")})
	case 5, 6:
		s, t := m.status(), r.now
		r.enqueue(func() { r.handle(d, failover.StatusReported{Member: m.name, Status: s, RequestedAt: t}) })
	case 7:
		r.handle(d, failover.PollFailed{Member: m.name})
	case 8:
		if m.role == failover.Primary {
			m.write()
		}
	case 9:
		r.replicateLog(m)
	}
}

// deliver delivers a random message in transit, and sometimes keeps it so that it is
// delivered again.
func (r *simulation) deliver() {
	if len(r.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.pending)-1).Draw(r.t, "message")
	f := r.pending[i]
	if rapid.IntRange(0, 9).Draw(r.t, "again") > 0 {
		r.pending = slices.Delete(r.pending, i, i+1)
	}
	f()
}

var _ = DescribeTable("daemons that replace a primary concurrently",
	func(members, daemons int) {
		const seed = "20260101"
		Expect(flag.Set("rapid.seed", seed)).To(Succeed())
		Expect(flag.Set("rapid.checks", "300")).To(Succeed())
		Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
		GinkgoWriter.Println("rapid seed", seed)
		terms, acknowledged := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := newSimulation(t, members, daemons)
			for range 400 {
				r.step()
			}
			terms += len(r.promoted)
			acknowledged += len(r.acknowledged)
		})
		GinkgoWriter.Println("promotions", terms, "acknowledged", acknowledged)
		Expect(terms).To(BeNumerically(">", 100))
		Expect(acknowledged).To(BeNumerically(">", 100))
	},
	Entry("promote at most one member per term, which holds every acknowledged write (3 members)", 3, 2),
	Entry("promote at most one member per term, which holds every acknowledged write (5 members)", 5, 3),
)
