package route_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/route"
)

const seed = "20261204"

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", seed)).To(Succeed())
	t.Log("rapid seed", seed)
	RunSpecs(t, "Route")
}

var start = time.Unix(1000, 0)

func group() *bundle.Group {
	return &bundle.Group{Name: "orders", Members: []bundle.Member{
		{Name: "w1", Region: "west", FailureDomain: "west-1"},
		{Name: "w2", Region: "west", FailureDomain: "west-2"},
		{Name: "w3", Region: "west", FailureDomain: "west-2"},
		{Name: "n1", Region: "north", FailureDomain: "north-1"},
	}}
}

func viewUpdate(term uint64, primary string) route.ViewUpdated {
	return route.ViewUpdated{Group: "orders", View: failover.View{Term: term, Primary: primary}}
}

var _ = DescribeTable("the choice of a member for a read",
	func(self route.Location, primary string, tried []string, member string, why route.Reason) {
		t := route.New(self)
		t.Handle(viewUpdate(1, primary), start)
		m := map[string]bool{}
		for _, x := range tried {
			m[x] = true
		}
		c, ok := t.ChooseForRead(group(), route.Requirement{}, m, start)
		Expect(ok).To(Equal(member != ""))
		Expect(c).To(Equal(route.Choice{Member: member, Reason: why}))
	},
	Entry("own failure domain", route.Location{Region: "west", FailureDomain: "west-1"}, "w2", nil, "w1", route.SameDomain),
	Entry("own region", route.Location{Region: "west", FailureDomain: "west-1"}, "w1", nil, "w2", route.SameRegion),
	Entry("primary in this region before replica in another region", route.Location{Region: "north", FailureDomain: "north-1"}, "n1", nil, "n1", route.PrimaryForRead),
	Entry("replica before primary in another region", route.Location{Region: "north", FailureDomain: "north-1"}, "w1", []string{"n1"}, "w2", route.OtherRegion),
	Entry("primary in this region after replicas in this region", route.Location{Region: "west", FailureDomain: "west-1"}, "w1", []string{"w2", "w3"}, "w1", route.PrimaryForRead),
	Entry("none left", route.Location{Region: "west", FailureDomain: "west-1"}, "w1", []string{"w1", "w2", "w3", "n1"}, "", route.Reason("")),
)

var _ = Describe("a table", func() {
	It("deprioritizes a replica that declined a read, but only for reads at least as strict", func() {
		t := route.New(route.Location{Region: "west", FailureDomain: "west-1"})
		t.Handle(viewUpdate(1, "w2"), start)
		floor := logpos.Position{Term: 1, Offset: 10}
		t.Handle(route.ReadDeclined{Member: "w1", Requirement: route.Requirement{Floor: floor}}, start)
		choose := func(d route.Requirement, at time.Time) string {
			c, _ := t.ChooseForRead(group(), d, nil, at)
			return c.Member
		}
		Expect(choose(route.Requirement{Floor: floor}, start)).To(Equal("w3"))
		Expect(choose(route.Requirement{Floor: logpos.Position{Term: 1, Offset: 9}}, start)).To(Equal("w1"))
		Expect(choose(route.Requirement{Tolerance: time.Second, AgeOnly: true}, start)).To(Equal("w1"))
		Expect(choose(route.Requirement{Floor: floor}, start.Add(route.DeclineTTL))).To(Equal("w1"))
	})

	It("never returns to a lower term and never chooses a tried member or a leaving replica", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			t := route.New(route.Location{Region: "west", FailureDomain: "west-1"})
			g := group()
			names := []string{"w1", "w2", "w3", "n1"}
			highest, now := uint64(0), start
			want := ""
			for range rapid.IntRange(1, 60).Draw(r, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "time")) * time.Millisecond)
				n := rapid.SampledFrom(names).Draw(r, "member")
				switch rapid.IntRange(0, 4).Draw(r, "step") {
				case 0:
					k := rapid.Uint64Range(1, 9).Draw(r, "term")
					t.Handle(viewUpdate(k, n), now)
					if k >= highest {
						highest, want = k, n
					}
				case 1:
					t.Handle(route.RequestSent{Member: n}, now)
				case 2:
					t.Handle(route.RequestEnded{Member: n}, now)
				case 3:
					t.Handle(route.ReadDeclined{Member: n}, now)
				default:
					g.Members[0].Draining = rapid.Bool().Draw(r, "leaving")
				}
				if p, _ := t.Primary("orders"); p != want {
					r.Fatalf("primary %q, want %q", p, want)
				}
				tried := map[string]bool{rapid.SampledFrom(names).Draw(r, "tried"): true}
				c, ok := t.ChooseForRead(g, route.Requirement{}, tried, now)
				if !ok || tried[c.Member] || c.Member == "w1" && g.Members[0].Draining && want != "w1" {
					r.Fatalf("choice %+v, %v after trying %v", c, ok, tried)
				}
			}
		})
	})
})
