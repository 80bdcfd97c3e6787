package assignment_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/assignment"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/membership"
)

// uneven returns a table of a fleet with strong and weak hosts in each of three
// failure domains, and groups with a member in each.
func uneven(balanced bool, strong, weak, groups int) (*assignment.Table, *membership.View) {
	var l []membership.Host
	for i := range 3 * (strong + weak) {
		h := host(i)
		if h.Weight = 0.134; i < 3*strong {
			h.Weight = 0.8
		}
		l = append(l, h)
	}
	v := membership.New(l[0])
	t := assignment.New("h0", v)
	if balanced {
		t.Balance()
	}
	v.Handle(membership.ListReceived{Hosts: l}, start)
	for g := range groups {
		for j := range 3 {
			h := host(j)
			t.SetMember(catalog.Member{ID: "m" + strconv.Itoa(g) + "-" + strconv.Itoa(j), Group: "g" + strconv.Itoa(g), FailureDomain: h.FailureDomain, Region: h.Region, Primary: j == g%3})
		}
	}
	return t, v
}

// loads returns the load of each host as a multiple of its weight, a primary counting
// twice, and the owners.
func loads(t *assignment.Table, groups int) (map[string]float64, map[string]string) {
	o, owners := map[string]float64{}, map[string]string{}
	for g := range groups {
		p, _ := t.AssumedPrimary("g" + strconv.Itoa(g))
		for _, m := range t.GroupMembers("g" + strconv.Itoa(g)) {
			h, ok := t.Owner(m, start)
			Expect(ok).To(BeTrue())
			c := 1.0
			if m.ID == p.ID {
				c = 2
			}
			owners[m.ID] = h.ID
			o[h.ID] += c / h.Weight
		}
	}
	return o, owners
}

func highest(l map[string]float64) float64 {
	o := 0.0
	for _, x := range l {
		o = max(o, x)
	}
	return o
}

var _ = Describe("Balance", func() {
	It("doesn't let two primaries meet on one host by chance", func() {
		on, _ := uneven(true, 0, 3, 7)
		off, _ := uneven(false, 0, 3, 7)
		a, _ := loads(on, 7)
		b, _ := loads(off, 7)
		Expect(highest(a)).To(BeNumerically("<", highest(b)))
		Expect(highest(a)*0.134).To(BeNumerically("~", 4, 0.01), "28 units of load on 9 hosts")
	})

	It("gives members to the strong hosts among many weak ones", func() {
		on, _ := uneven(true, 2, 14, 8)
		off, _ := uneven(false, 2, 14, 8)
		a, _ := loads(on, 8)
		b, _ := loads(off, 8)
		Expect(highest(a)).To(BeNumerically("<", highest(b)*0.7))
	})

	It("moves few members of other hosts when a host leaves", func() {
		moved, owned := 0, 0
		for i := 3; i < 48; i++ {
			t, v := uneven(true, 2, 14, 8)
			_, was := loads(t, 8)
			v.Handle(membership.LinkFailed{ID: "h" + strconv.Itoa(i), Ended: true}, start)
			_, is := loads(t, 8)
			for m, h := range was {
				switch {
				case h == "h"+strconv.Itoa(i):
					owned++
					Expect(is[m]).NotTo(Equal(h))
				case is[m] != h:
					moved++
				}
			}
		}
		AddReportEntry("moved", map[string]int{"of-others": moved, "of-the-lost": owned})
		Expect(owned).To(BeNumerically(">", 0))
		Expect(moved).To(BeNumerically("<=", owned))
	})

	It("gives each member one owner, whom the successors name first, whatever happened before", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			a, av := uneven(true, 1, 3, 4)
			b, bv := uneven(true, 1, 3, 4)
			gone := rapid.SliceOfDistinct(rapid.IntRange(1, 11), rapid.ID[int]).Draw(r, "gone")
			for _, i := range gone {
				av.Handle(membership.LinkFailed{ID: "h" + strconv.Itoa(i), Ended: true}, start)
				_, _ = loads(a, 4)
			}
			for i := len(gone) - 1; i >= 0; i-- {
				bv.Handle(membership.LinkFailed{ID: "h" + strconv.Itoa(gone[i]), Ended: true}, start)
			}
			_, x := loads(a, 4)
			_, y := loads(b, 4)
			for m := range x {
				if x[m] != y[m] {
					r.Fatalf("%s is owned by %s and by %s", m, x[m], y[m])
				}
			}
			for g := range 4 {
				p, _ := a.AssumedPrimary("g" + strconv.Itoa(g))
				l := a.Successors("g"+strconv.Itoa(g), start)
				if len(l) == 0 || l[0].ID != x[p.ID] || len(l) > assignment.Candidates {
					r.Fatalf("successors %v of %s", l, x[p.ID])
				}
			}
		})
	})
})
