package process_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/load"
	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Process")
}

// Times of a spec, from the start of its load, and settings of the load.
const (
	loadTime  = 5 * time.Second
	faultTime = 1 * time.Second
	healTime  = 4 * time.Second
	deadline  = 4 * time.Second
	seed      = 7
)

var programs process.Programs

var _ = BeforeSuite(func() {
	d, err := os.MkdirTemp("", "programs-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, d)
	programs, err = process.Build(context.Background(), filepath.Join("..", ".."), d)
	Expect(err).NotTo(HaveOccurred())
})

// logDir returns a new folder for logs: below $PROCESS_LOGS if that is set, so
// that the logs are kept, otherwise a temporary one.
func logDir() string {
	d := os.Getenv("PROCESS_LOGS")
	if d == "" {
		return GinkgoT().TempDir()
	}
	d, err := os.MkdirTemp(d, "")
	Expect(err).NotTo(HaveOccurred())
	return d
}

// faultScenario describes what happens to a system under load.
type faultScenario struct {
	// fault injects a fault after faultTime; heal, which may be nil, ends it after
	// healTime.
	fault, heal func()
	// keyed sends orders with idempotency keys.
	keyed bool
}

var _ = Describe("separate processes under load", func() {
	var s *process.System
	x := context.Background()

	BeforeEach(func() {
		c := process.DefaultConfig()
		c.Programs, c.Dir, c.Relays, c.LogLevel = programs, logDir(), true, "debug"
		c.Deadline = deadline
		var err error
		s, err = process.Start(x, c)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Stop)
	})

	// run runs the load with the fault and checks that no guarantee was violated.
	run := func(t faultScenario) load.Report {
		l := load.Config{
			User: cluster.CallerName, Password: cluster.CallerPassword, Group: process.Group, Seed: seed, Sessions: 24,
			Duration: loadTime, MoveEvery: 10, Rates: [bundle.RankCount]float64{80, 80, 10}, Keyed: t.keyed, Repeats: 5,
		}
		for _, d := range s.Daemons {
			l.Addresses = append(l.Addresses, d.CallerAddress)
		}
		stop := time.AfterFunc(faultTime, t.fault)
		defer stop.Stop()
		if t.heal != nil {
			h := time.AfterFunc(healTime, t.heal)
			defer h.Stop()
		}
		r, err := load.Run(x, l)
		Expect(err).NotTo(HaveOccurred())
		r.Print(GinkgoWriter)
		if r.HasViolations() {
			s.WriteLogTails(GinkgoWriter)
		}
		Expect(r.Lost).To(BeZero(), "lost orders, seed %d", seed)
		Expect(r.Doubled).To(BeZero(), "orders stored twice, seed %d", seed)
		Expect(r.WronglyRefused).To(BeZero(), "orders that were reported as not run but were run, seed %d", seed)
		Expect(r.Stale).To(BeZero(), "stale reads, seed %d", seed)
		Expect(r.Ranks[bundle.Urgent].Done).To(BeNumerically(">", 0))
		return r
	}
	must := func(err error) {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
	}
	// expectReplaced checks that another member than m is primary, in a term above 1.
	expectReplaced := func(m *process.Member) {
		n, t, err := s.Primary()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Name).NotTo(Equal(m.Name))
		Expect(t).To(BeNumerically(">", 1))
	}
	primary := func() *process.Member {
		m, _, err := s.Primary()
		Expect(err).NotTo(HaveOccurred())
		return m
	}
	owner := func() *process.Daemon {
		d, err := s.Owner(primary())
		Expect(err).NotTo(HaveOccurred())
		return d
	}

	It("violates no guarantee when the primary is killed", func() {
		p := primary()
		run(faultScenario{fault: func() { must(p.Kill()) }})
		expectReplaced(p)
	})

	It("violates no guarantee for keyed orders when owner and primary are killed", func() {
		d, p := owner(), primary()
		run(faultScenario{keyed: true, fault: func() {
			must(d.Kill())
			must(p.Kill())
		}})
		expectReplaced(p)
	})

	It("violates no guarantee when the primary is frozen and thawed", func() {
		p := primary()
		run(faultScenario{fault: func() { must(p.Freeze()) }, heal: func() { must(p.Thaw()) }})
		expectReplaced(p)
	})

	It("violates no guarantee when the primary is unreachable for a while", func() {
		p := primary()
		run(faultScenario{fault: func() { must(p.Relay.SetMode(relay.Hold)) }, heal: func() { must(p.Relay.SetMode(relay.Pass)) }})
		expectReplaced(p)
	})

	It("violates no guarantee when the primary's connections are reset for a while", func() {
		p := primary()
		run(faultScenario{fault: func() { must(p.Relay.SetMode(relay.Reset)) }, heal: func() { must(p.Relay.SetMode(relay.Pass)) }})
		expectReplaced(p)
	})

	It("completes every urgent request when the primary is marked as draining", func() {
		p := primary()
		r := run(faultScenario{fault: func() { must(s.MarkDraining(x, p)) }})
		expectReplaced(p)
		u := r.Ranks[bundle.Urgent]
		Expect(u.Done).To(Equal(u.Offered))
	})

	It("violates no guarantee when the primary's owner is killed", func() {
		d := owner()
		run(faultScenario{fault: func() { must(d.Kill()) }})
	})

	It("violates no guarantee when the primary's owner is frozen and thawed", func() {
		d := owner()
		run(faultScenario{fault: func() { must(d.Freeze()) }, heal: func() { must(d.Thaw()) }})
	})

	It("violates no guarantee when the primary's owner is unreachable for a while", func() {
		d := owner()
		run(faultScenario{fault: func() { must(d.Relay.SetMode(relay.Hold)) }, heal: func() { must(d.Relay.SetMode(relay.Pass)) }})
	})

	It("fails over while the platform is unreachable", func() {
		p := primary()
		run(faultScenario{fault: func() {
			must(s.PlatformRelay.SetMode(relay.Hold))
			must(p.Kill())
		}, heal: func() { must(s.PlatformRelay.SetMode(relay.Pass)) }})
		expectReplaced(p)
	})

	It("violates no guarantee when owner and primary are killed at the same time", func() {
		p, d := primary(), owner()
		run(faultScenario{fault: func() {
			must(d.Kill())
			must(p.Kill())
		}})
		expectReplaced(p)
	})

	It("replaces no primary when the open connections to replicas, daemons and the platform go silent", func() {
		p := primary()
		run(faultScenario{fault: func() {
			for _, m := range s.Members {
				if m != p {
					m.Relay.Silence()
				}
			}
			for _, d := range s.Daemons {
				d.Relay.Silence()
			}
			s.PlatformRelay.Silence()
		}})
		n, t, err := s.Primary()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Name).To(Equal(p.Name))
		Expect(t).To(BeNumerically("==", 1))
	})

	It("violates no guarantee when all open connections to the primary go silent", func() {
		run(faultScenario{fault: primary().Relay.Silence})
	})
})
