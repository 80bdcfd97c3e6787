package soak_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// shape is a system that knows all faults.
var shape = soak.Shape{
	Daemons: 4, Groups: 2, Members: 6,
	Links:        []soak.Link{soak.StoreLink, soak.PromotionLink, soak.PeerLink, soak.CallerLink, soak.MemberLink},
	StoreActions: []soak.StoreAction{soak.StoreDown, soak.LateWrites, soak.StoreRestore},
	GroupActions: []soak.GroupAction{soak.CrashPrimary, soak.DrainPrimary, soak.LagReplicas, soak.LatePromotion},
	Stutter:      true,
}

var _ = Describe("a plan", func() {
	It("is determined by its seed, and names only places that exist", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.Uint64().Draw(t, "seed")
			l := soak.Draw(n, shape, 30*time.Second)
			Expect(soak.Draw(n, shape, 30*time.Second)).To(Equal(l))
			for _, s := range l {
				Expect(s.At).To(BeNumerically("<", 30*time.Second))
				switch f := s.Fault.(type) {
				case soak.ProcessFault:
					Expect(f.Daemon).To(BeNumerically("<", shape.Daemons))
				case soak.LinkFault:
					Expect(f.Target).To(BeNumerically("<", shape.Members))
					if f.Link != soak.MemberLink {
						Expect(f.Target).To(BeNumerically("<", shape.Daemons))
					}
				case soak.GroupFault:
					Expect(f.Group).To(BeNumerically("<", shape.Groups))
				}
			}
		})
	})

	It("of planned work stops one process at a time, and its end leaves time for the next", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.Uint64().Filter(soak.Planned).Draw(t, "seed")
			var end time.Duration
			for _, s := range soak.Draw(n, shape, time.Minute) {
				Expect(s.At).To(BeNumerically(">=", end))
				end = s.At + s.For
				switch f := s.Fault.(type) {
				case soak.ProcessFault:
					Expect(f.Action).To(Equal(soak.Stop))
				case soak.GroupFault:
					Expect(f.Action).To(Equal(soak.DrainPrimary))
				default:
					Expect(s.Fault).To(Equal(soak.Reconfigure{}))
				}
			}
		})
	})

	It("of a third of the other seeds lets members repeat answers", func() {
		for n := range uint64(40) {
			l := soak.Draw(n, shape, 30*time.Second)
			if soak.Stutters(n) {
				Expect(l[0].Fault).To(Equal(soak.Stutter{}))
				Expect(soak.Planned(n)).To(BeFalse())
			} else {
				Expect(l).NotTo(ContainElement(HaveField("Fault", soak.Stutter{})))
			}
		}
	})

	It("of other seeds has faults that overlap", func() {
		overlapping := 0
		k := shape
		k.Stutter = false
		for n := range uint64(40) {
			l := soak.Draw(n, k, 30*time.Second)
			for i, s := range l[:max(len(l)-1, 0)] {
				if l[i+1].At < s.At+s.For {
					overlapping++
				}
			}
		}
		Expect(overlapping).To(BeNumerically(">", 40))
	})
})

var _ = Describe("invalid settings of a run", func() {
	valid := soak.Config{Edge: soak.PlatformEdge, Duration: time.Second, Daemons: 3, Groups: 1}
	DescribeTable("are a ConfigError", func(change func(c *soak.Config)) {
		c := valid
		change(&c)
		_, err := soak.Run(context.Background(), c)
		var e *soak.ConfigError
		Expect(errors.As(err, &e)).To(BeTrue())
	},
		Entry("edge", func(c *soak.Config) { c.Edge = "x" }),
		Entry("too few daemons", func(c *soak.Config) { c.Daemons = 1 }),
		Entry("too many daemons", func(c *soak.Config) { c.Daemons = 61 }),
		Entry("groups", func(c *soak.Config) { c.Groups = 0 }),
		Entry("duration zero", func(c *soak.Config) { c.Duration = 0 }),
		Entry("duration too long", func(c *soak.Config) { c.Duration = time.Hour }),
	)
})

// shortRun is a run short enough for every test run; fifty seeds of the default
// duration are run by hand.
const shortRun = 8 * time.Second

var _ = Describe("processes under load", Ordered, func() {
	var programs process.Programs
	BeforeAll(func() {
		d, err := os.MkdirTemp("", "programs-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, d)
		programs, err = process.Build(context.Background(), filepath.Join("..", ".."), d)
		Expect(err).NotTo(HaveOccurred())
	})
	DescribeTable("keep every promise under the faults of a seed", func(e soak.Edge, seed uint64, d time.Duration) {
		r, err := soak.Run(context.Background(), soak.Config{
			Edge: e, Programs: programs, Dir: GinkgoT().TempDir(), Seed: seed,
			Duration: d, Daemons: 4, Groups: 2, Log: hclog.NewNullLogger(),
		})
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("report", r)
		Expect(r.Served).To(BeNumerically(">", 0))
		Expect(r.Violations).To(BeEmpty(), "%v", r.Steps)
	},
		Entry("on the platform", soak.PlatformEdge, uint64(1), shortRun),
		Entry("on the platform, while members repeat answers", soak.PlatformEdge, uint64(3), shortRun),
		Entry("on PostgreSQL", soak.PostgresEdge, uint64(2), shortRun),
	)
})
