package assignment_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/assignment"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
)

// With fewer checks the faults that this test has found would not have shown.
const (
	seed   = "7"
	checks = "3000"
)

func TestAssignment(t *testing.T) {
	RegisterFailHandler(Fail)
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	t.Log("rapid seed", seed)
	RunSpecs(t, "assignment")
}

var start = time.Unix(1000, 0)

func host(i int) membership.Host {
	return membership.Host{ID: "h" + strconv.Itoa(i), PeerAddress: "10.0.0." + strconv.Itoa(i) + ":1", FailureDomain: "d" + strconv.Itoa(i%3), Region: "r" + strconv.Itoa(i%3/2)}
}

// state is what a host knows, with everything that it computes from it.
type state struct {
	now     time.Time
	view    *membership.View
	table   *assignment.Table
	overlay gossip.OverlayCache
}

func newState() *state {
	v := membership.New(host(0))
	return &state{now: start, view: v, table: assignment.New("h0", v)}
}

// answers are all results that are kept until their inputs change.
type answers struct {
	Duties     []string
	Successors map[string][]membership.Host
	Owners     map[string]membership.Host
	Members    map[string][]catalog.Member
	Overlay    gossip.Overlay
}

func (s *state) ask() answers {
	o := answers{Successors: map[string][]membership.Host{}, Owners: map[string]membership.Host{}, Members: map[string][]catalog.Member{}}
	for _, g := range []string{"g0", "g1", "g2"} {
		o.Successors[g] = s.table.Successors(g, s.now)
		o.Members[g] = s.table.GroupMembers(g)
		for _, m := range s.table.GroupMembers(g) {
			o.Owners[m.ID], _ = s.view.Owner(assignment.ViewMember(m), s.now)
		}
	}
	o.Duties = s.table.Duties(s.now)
	o.Overlay = s.overlay.Overlay(host(0), s.view, s.now)
	return o
}

// drawChange draws a change of any input.
func drawChange(t *rapid.T) func(s *state) {
	h := host(rapid.IntRange(0, 8).Draw(t, "host"))
	member := "m" + strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "member"))
	group := "g" + strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "group"))
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0, 1:
		d := rapid.IntRange(0, 2).Draw(t, "domain")
		m := catalog.Member{ID: member, Group: group, FailureDomain: "d" + strconv.Itoa(d), Region: "r" + strconv.Itoa(d/2), Primary: rapid.Bool().Draw(t, "primary")}
		return func(s *state) { s.table.SetMember(m) }
	case 2:
		return func(s *state) { s.table.RemoveMember(member) }
	case 3:
		g := assignment.GroupState{Holder: h.ID, PreviousHolder: rapid.Bool().Draw(t, "previous"), Primary: member}
		return func(s *state) { s.table.SetGroup(group, g) }
	case 4:
		var l []membership.Host
		for i := range 9 {
			if k := host(i); rapid.Bool().Draw(t, "listed") {
				k.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
				l = append(l, k)
			}
		}
		return func(s *state) { s.view.Handle(membership.ListReceived{Hosts: l}, s.now) }
	case 5:
		return func(s *state) { s.view.Handle(membership.LinkFailed{ID: h.ID}, s.now) }
	case 6:
		return func(s *state) { s.view.Handle(membership.HostAnswered{ID: h.ID}, s.now) }
	case 7:
		direct := rapid.Bool().Draw(t, "direct")
		return func(s *state) { s.view.Handle(membership.HostDiscovered{Host: h, Direct: direct}, s.now) }
	case 8:
		return func(s *state) { s.view.Handle(membership.DrainAnnounced{ID: h.ID}, s.now) }
	default:
		d := time.Duration(rapid.IntRange(0, 400000).Draw(t, "ms")) * time.Millisecond
		return func(s *state) { s.now = s.now.Add(d) }
	}
}

var _ = Describe("what a host derives from members, groups and hosts", func() {
	It("equals what it computes anew, whatever changed in which order and whenever it was asked", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			kept := newState()
			var changes []func(s *state)
			for range rapid.IntRange(1, 25).Draw(t, "changes") {
				c := drawChange(t)
				changes = append(changes, c)
				c(kept)
				if rapid.IntRange(0, 3).Draw(t, "ask") == 0 {
					continue
				}
				fresh := newState()
				for _, c := range changes {
					c(fresh)
				}
				if got, want := kept.ask(), fresh.ask(); !equal(got, want) {
					t.Fatalf("kept %+v\nanew %+v", got, want)
				}
			}
		})
	})
})

func equal(a, b answers) bool {
	ok, err := BeEquivalentTo(a).Match(b)
	return err == nil && ok
}

var _ = Describe("a group without a holder", func() {
	It("is found once it has had a primary for a second, and the duties are computed again", func() {
		s := newState()
		s.view.Handle(membership.ListReceived{Hosts: []membership.Host{host(0), host(1)}}, start)
		s.table.SetMember(catalog.Member{ID: "m0", Group: "g0", FailureDomain: "d0", Region: "r0"})
		Expect(s.table.FindUnheld(start)).To(BeEmpty())
		Expect(s.table.FindUnheld(start.Add(time.Hour))).To(BeEmpty(), "no primary")
		t := start.Add(time.Hour)
		s.table.SetMember(catalog.Member{ID: "m0", Group: "g0", FailureDomain: "d0", Region: "r0", Primary: true})
		Expect(s.table.FindUnheld(t)).To(BeEmpty())
		l := s.table.FindUnheld(t.Add(assignment.UnheldTime))
		Expect(l).To(HaveLen(1))
		Expect(l[0].Candidates).To(Equal([]string{"h0"}))
		Expect(l[0].Candidate).To(BeTrue())
		s.table.SetGroup("g0", assignment.GroupState{Holder: "h1"})
		Expect(s.table.FindUnheld(t.Add(time.Minute))).To(BeEmpty())
		s.table.SetGroup("g0", assignment.GroupState{Holder: "gone"})
		Expect(s.table.FindUnheld(t.Add(time.Minute))).To(BeEmpty())
		Expect(s.table.FindUnheld(t.Add(2 * time.Minute))).To(HaveLen(1))
	})
})
