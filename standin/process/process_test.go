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

// Course of a spec's load.
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

// logs returns a folder for logs: below $PROCESS_LOGS if that is set, where they
// are kept.
func logs() string {
	d := os.Getenv("PROCESS_LOGS")
	if d == "" {
		return GinkgoT().TempDir()
	}
	d, err := os.MkdirTemp(d, "")
	Expect(err).NotTo(HaveOccurred())
	return d
}

// steps are what happens to a system under load.
type steps struct {
	// fault is raised and later ended by heal, which may be nil.
	fault, heal func()
	// keyed gives orders idempotency keys.
	keyed bool
}

var _ = Describe("separate processes under load", func() {
	var s *process.System
	x := context.Background()

	BeforeEach(func() {
		c := process.Default()
		c.Programs, c.Dir, c.Relays, c.LogLevel = programs, logs(), true, "debug"
		c.Deadline = deadline
		var err error
		s, err = process.Start(x, c)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Stop)
	})

	// run puts the load and checks that no promise was broken.
	run := func(t steps) load.Report {
		l := load.Config{
			User: cluster.CallerName, Password: cluster.CallerPassword, Group: process.Group, Seed: seed, Sessions: 24,
			Duration: loadTime, MoveEvery: 10, Rates: [bundle.RankCount]float64{80, 80, 10}, Keyed: t.keyed, Repeats: 5,
		}
		for _, d := range s.Daemons {
			l.Addresses = append(l.Addresses, d.Address)
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
			s.Keep(GinkgoWriter)
		}
		Expect(r.Lost).To(BeZero(), "lost orders, seed %d", seed)
		Expect(r.Doubled).To(BeZero(), "doubled orders, seed %d", seed)
		Expect(r.WronglyRefused).To(BeZero(), "orders run although not run was told, seed %d", seed)
		Expect(r.Stale).To(BeZero(), "stale reads, seed %d", seed)
		Expect(r.Ranks[bundle.Urgent].Done).To(BeNumerically(">", 0))
		return r
	}
	must := func(err error) {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
	}
	// replaced checks that another member is primary of a higher term.
	replaced := func(m *process.Member) {
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

	It("keeps its promises when the primary is killed", func() {
		p := primary()
		run(steps{fault: func() { must(p.Kill()) }})
		replaced(p)
	})

	It("keeps its promises to keyed orders when owner and primary are killed", func() {
		d, p := owner(), primary()
		run(steps{keyed: true, fault: func() {
			must(d.Kill())
			must(p.Kill())
		}})
		replaced(p)
	})

	It("keeps its promises when the primary is frozen and thawed", func() {
		p := primary()
		run(steps{fault: func() { must(p.Freeze()) }, heal: func() { must(p.Thaw()) }})
		replaced(p)
	})

	It("keeps its promises when the primary is cut off and comes back", func() {
		p := primary()
		run(steps{fault: func() { must(p.Relay.Set(relay.Drop)) }, heal: func() { must(p.Relay.Set(relay.Pass)) }})
		replaced(p)
	})

	It("keeps its promises when the primary's connections are reset for a while", func() {
		p := primary()
		run(steps{fault: func() { must(p.Relay.Set(relay.Reset)) }, heal: func() { must(p.Relay.Set(relay.Pass)) }})
		replaced(p)
	})

	It("cuts no request when the primary leaves", func() {
		p := primary()
		r := run(steps{fault: func() { must(s.Leave(x, p)) }})
		replaced(p)
		u := r.Ranks[bundle.Urgent]
		Expect(u.Done).To(Equal(u.Offered))
	})

	It("keeps its promises when the primary's owner is killed", func() {
		d := owner()
		run(steps{fault: func() { must(d.Kill()) }})
	})

	It("keeps its promises when the primary's owner is frozen and thawed", func() {
		d := owner()
		run(steps{fault: func() { must(d.Freeze()) }, heal: func() { must(d.Thaw()) }})
	})

	It("keeps its promises when the primary's owner can't be reached for a while", func() {
		d := owner()
		run(steps{fault: func() { must(d.Relay.Set(relay.Drop)) }, heal: func() { must(d.Relay.Set(relay.Pass)) }})
	})

	It("fails over while the platform is down", func() {
		p := primary()
		run(steps{fault: func() {
			must(s.PlatformRelay.Set(relay.Drop))
			must(p.Kill())
		}, heal: func() { must(s.PlatformRelay.Set(relay.Pass)) }})
		replaced(p)
	})

	It("keeps its promises when owner and primary are killed at once", func() {
		p, d := primary(), owner()
		run(steps{fault: func() {
			must(d.Kill())
			must(p.Kill())
		}})
		replaced(p)
	})

	It("replaces no primary when connections to replicas, daemons and the platform go silent", func() {
		p := primary()
		run(steps{fault: func() {
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

	It("keeps its promises when all connections to the primary go silent", func() {
		run(steps{fault: primary().Relay.Silence})
	})
})
