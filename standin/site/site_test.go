package site_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	daemonfleet "github.com/dragonflypick/dragonflypick/fleet"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/platform"
	"github.com/dragonflypick/dragonflypick/platformdaemon"
	"github.com/dragonflypick/dragonflypick/standin/site"
)

func TestSite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "site")
}

// daemon is a running daemon.
type daemon struct {
	settings platform.Settings
	stop     context.CancelFunc
	done     chan error
}

// fleet is a set of daemons that run against a site.
type fleet struct {
	site     *site.Site
	features daemonfleet.Features
	// drainTime is how long a draining member may get new work.
	drainTime time.Duration
	mu        sync.Mutex
	daemons   []*daemon
	// logs holds all lines of the daemons.
	logs logBuffer
}

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// nextPort is the next port to try. Ports below the kernel's ephemeral range stay
// free until their daemon listens on them.
var nextPort = 12000 + os.Getpid()%900*20

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort > 31000 {
			nextPort = 12000
		}
		l, err := net.Listen("tcp", a)
		if err == nil {
			_ = l.Close()
			return a
		}
	}
}

func newFleet(c site.Config, n int) *fleet { return newFleetWith(c, n, daemonfleet.Features{}) }

// newFleetWith starts daemons whose deployment asks for features.
func newFleetWith(c site.Config, n int, features daemonfleet.Features) *fleet {
	at, err := site.New(c)
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{site: at, features: features, drainTime: c.DrainTime}
	failureDomains := []string{"west-a", "west-b", "north-a"}
	for i := range n {
		f.start(fmt.Sprintf("n%d", i), failureDomains[i%3])
	}
	DeferCleanup(func() {
		for _, d := range f.daemons {
			d.stop()
		}
		for _, d := range f.daemons {
			Eventually(d.done, 10*time.Second).Should(BeClosed())
		}
		at.Close()
	})
	Eventually(func() int { return len(f.addresses()) }, 10*time.Second, 20*time.Millisecond).Should(Equal(n))
	return f
}

func (f *fleet) start(name, failureDomain string) *daemon {
	return f.startAt(name, failureDomain, f.site.StoreAddress)
}

// startAt starts a daemon that reaches the store at an address, with the given peers as
// seeds.
func (f *fleet) startAt(name, failureDomain, store string, seeds ...string) *daemon {
	d := &daemon{done: make(chan error, 1), settings: platform.Settings{
		Host: name, FailureDomain: failureDomain, Region: site.Regions[failureDomain], Regions: site.Regions,
		CallerListen: freeAddress(), ReadinessListen: freeAddress(), PeerListen: freeAddress(), MetricsListen: freeAddress(),
		StoreAddress: store, Seeds: seeds, PromotionAddress: f.site.PromotionAddress, GracePeriod: 3 * time.Second, DrainTime: f.drainTime, Features: f.features,
	}}
	f.run(d)
	return d
}

// run starts a daemon.
func (f *fleet) run(d *daemon) {
	x, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() {
		defer close(d.done)
		l := hclog.New(&hclog.LoggerOptions{Output: io.MultiWriter(GinkgoWriter, &f.logs), Level: hclog.Info, Name: d.settings.Host})
		d.done <- platformdaemon.Run(x, platformdaemon.Config{Settings: d.settings, Secret: "s", Log: l})
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
}

// addresses returns the caller addresses of the daemons that are ready.
func (f *fleet) addresses() []string {
	f.mu.Lock()
	l := slices.Clone(f.daemons)
	f.mu.Unlock()
	var o []string
	for _, d := range l {
		r, err := http.Get("http://" + d.settings.ReadinessListen + "/api/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			o = append(o, d.settings.CallerListen)
		}
	}
	return o
}

var defaultConfig = site.Config{Groups: 2, Lag: 15 * time.Millisecond, StatementTime: time.Millisecond, PromotionTime: 200 * time.Millisecond}

var _ = Describe("daemons on the stand-in platform", func() {
	It("serve a moderate load with few refusals and no operation in doubt", func() {
		f := newFleet(defaultConfig, 3)
		o := f.runLoad(1, 2*time.Second)
		Expect(o.Served).To(BeNumerically(">", 500))
		Expect(o.InDoubt + o.Disconnected).To(BeZero())
		Expect(o.Refused).To(BeNumerically("<", o.Served/50))
	})

	It("replace a crashed primary", func() {
		f := newFleet(defaultConfig, 3)
		time.AfterFunc(700*time.Millisecond, func() {
			r := f.site.CrashPrimary(0)
			time.AfterFunc(2500*time.Millisecond, r)
		})
		o := f.runLoad(2, 5*time.Second)
		Expect(o.LongestWriteGap).To(BeNumerically("<", 5*time.Second))
		Expect(o.Served).To(BeNumerically(">", 500))
	})

	It("move the primary off a draining member without an operation in doubt", func() {
		f := newFleet(defaultConfig, 3)
		time.AfterFunc(700*time.Millisecond, func() { f.site.DrainPrimary(0) })
		o := f.runLoad(3, 3*time.Second)
		Expect(o.InDoubt + o.Disconnected).To(BeZero())
	})

	It("never use a primary that restarted with an empty log", func() {
		f := newFleet(defaultConfig, 3)
		time.AfterFunc(time.Second, func() { f.site.RestartPrimaryEmpty(0) })
		f.runLoad(4, 4*time.Second)
	})

	It("disconnect no caller when daemons are stopped one after another", func() {
		f := newFleet(defaultConfig, 4)
		time.AfterFunc(500*time.Millisecond, func() {
			f.daemons[0].stop()
			time.AfterFunc(time.Second, f.daemons[1].stop)
		})
		o := f.runLoad(5, 5*time.Second)
		Expect(o.InDoubt).To(BeZero())
		Expect(o.Disconnected).To(BeZero())
	})

	It("keep serving while the store is down, loses answers and is compacted", func() {
		f := newFleet(defaultConfig, 3)
		time.AfterFunc(300*time.Millisecond, func() { f.site.SetStoreFault(true, false) })
		time.AfterFunc(1800*time.Millisecond, func() { f.site.SetStoreFault(false, true) })
		time.AfterFunc(2500*time.Millisecond, func() { f.site.SetStoreFault(false, false); f.site.CompactStore() })
		o := f.runLoad(6, 4*time.Second)
		Expect(o.Refused).To(BeNumerically("<", o.Served/20))
		Expect(o.LongestWriteGap).To(BeNumerically("<", time.Second))
	})

	It("serve no read beyond its staleness limit while replicas lag", func() {
		f := newFleet(defaultConfig, 3)
		f.site.SetLag(1500 * time.Millisecond)
		o := f.runLoad(7, 3*time.Second)
		Expect(o.Served).To(BeNumerically(">", 300))
	})

	It("serve no read beyond its staleness limit while replicas lag and reads wait for their logs", func() {
		f := newFleetWith(defaultConfig, 3, daemonfleet.Features{UnevenMembers: true})
		f.site.SetLag(150 * time.Millisecond)
		time.AfterFunc(1500*time.Millisecond, func() { f.site.SetLag(1500 * time.Millisecond) })
		o := f.runLoad(7, 4*time.Second)
		Expect(o.Served).To(BeNumerically(">", 400))
		Expect(o.Refused).To(BeNumerically("<", o.Served/20))
	})

	It("lose few reads to a replica that answers none while its connections are well", func() {
		play := func(features daemonfleet.Features) *site.LoadReport {
			f := newFleetWith(defaultConfig, 3, features)
			f.site.SetMute(0, true)
			f.site.SetMute(1, true)
			return f.runLoad(9, 5*time.Second)
		}
		off, on := play(daemonfleet.Features{}), play(daemonfleet.Features{UnevenMembers: true})
		Expect(on.Refused).To(BeNumerically("<", off.Refused))
		Expect(on.Served).To(BeNumerically(">", 3*off.Served/2))
	})

	It("keep transactions separate under overload", func() {
		c := defaultConfig
		c.StatementTime = 25 * time.Millisecond
		f := newFleet(c, 4)
		o := f.site.RunLoad(8, 90, 4*time.Second, f.addresses)
		f.site.VerifyWrites(o)
		Expect(f.site.Violations()).To(BeEmpty())
		Expect(o.Served).To(BeNumerically(">", 300))
	})

	It("serve a database soon after it was added to the configuration", func() {
		f := newFleet(defaultConfig, 3)
		f.site.Configure([]string{"added"})
		Eventually(func() string {
			return connect(f.daemons[0].settings.CallerListen, "added")
		}, 2*time.Second, 20*time.Millisecond).Should(HavePrefix("READY I"))
	})
})

var _ = Describe("a store that has answered nobody for a while", func() {
	It("doesn't delay a change that follows its return beyond the time that the calls since then take", func() {
		f := newFleet(defaultConfig, 4)
		// The watches that are pending now get no answer.
		time.Sleep(500 * time.Millisecond)
		f.site.SetStoreSilent(true)
		time.Sleep(3 * time.Second)
		f.site.SetStoreSilent(false)
		f.site.Configure([]string{"added"})
		Eventually(func() int {
			n := 0
			for _, d := range f.daemons {
				if strings.HasPrefix(connect(d.settings.CallerListen, "added"), "READY I") {
					n++
				}
			}
			return n
		}, 4*time.Second, 20*time.Millisecond).Should(Equal(4))
	})
})

var _ = Describe("a store that comes back from an older copy", func() {
	It("is hardly noticed by callers", func() {
		f := newFleet(defaultConfig, 3)
		time.AfterFunc(1500*time.Millisecond, func() { f.site.RestoreStore(time.Second) })
		o := f.runLoad(9, 5*time.Second)
		Expect(o.InDoubt + o.Disconnected).To(BeZero())
		Expect(o.Refused).To(BeNumerically("<", o.Served/50))
		Expect(o.LongestWriteGap).To(BeNumerically("<", time.Second))
	})

	It("doesn't bring back a primary whose replacement it has lost, nor the configuration before", func() {
		f := newFleet(defaultConfig, 3)
		f.site.Configure([]string{"added"})
		time.AfterFunc(700*time.Millisecond, func() {
			restart := f.site.CrashPrimary(0)
			time.AfterFunc(2500*time.Millisecond, restart)
		})
		time.AfterFunc(3*time.Second, func() { f.site.RestoreStore(2800 * time.Millisecond) })
		o := f.runLoad(10, 6*time.Second)
		Expect(o.LongestWriteGap).To(BeNumerically("<", 5*time.Second))
		for _, a := range f.addresses() {
			Expect(connect(a, "added")).To(HavePrefix("READY I"))
		}
	})

	It("breaks no promise when it comes back twice, while daemons end and start and its writes are late", func() {
		f := newFleet(defaultConfig, 4)
		time.AfterFunc(500*time.Millisecond, func() { f.site.SetLateWrites(1200 * time.Millisecond) })
		time.AfterFunc(900*time.Millisecond, func() { f.site.DrainPrimary(1) })
		time.AfterFunc(1200*time.Millisecond, func() { f.site.RestoreStore(time.Second) })
		time.AfterFunc(1500*time.Millisecond, f.daemons[0].stop)
		time.AfterFunc(2*time.Second, func() { f.site.SetLateWrites(0) })
		time.AfterFunc(2500*time.Millisecond, func() { f.start("late", "west-a") })
		time.AfterFunc(3*time.Second, func() { f.site.RestoreStore(2 * time.Second) })
		o := f.runLoad(11, 8*time.Second)
		Expect(o.Served).To(BeNumerically(">", 500))
	})

	It("costs a fleet of 18 hosts few calls, whether hosts' records are lost or not", func() {
		const hosts, groups = 18, 3
		c := defaultConfig
		c.Groups = groups
		f := newFleet(c, hosts)
		time.Sleep(2 * time.Second)
		calls := func(age time.Duration) site.StoreCalls {
			o := f.site.StoreCalls()
			if age > 0 {
				f.site.RestoreStore(age)
			}
			time.Sleep(lease.SettleTime + 2*time.Second)
			return f.site.StoreCalls().Since(o)
		}
		idle, empty, restored := calls(0), calls(time.Hour), calls(time.Second)
		AddReportEntry("calls in 16 s: idle, restored empty, restored", fmt.Sprintf("%+v\n%+v\n%+v", idle, empty, restored))
		// Each watcher reads everything once, or a second time if its first read was late.
		Expect(restored.Ranges - idle.Ranges).To(BeNumerically("<=", 8))
		// A record a group is written at once and when the era has settled; a try may fail.
		Expect(restored.Transactions - idle.Transactions).To(BeNumerically("<=", 4*groups))
		Expect(empty.Ranges - idle.Ranges).To(BeNumerically("<=", 8))
		Expect(empty.Transactions - idle.Transactions).To(BeNumerically("<=", 4*groups+2*hosts))
		Expect(empty.LeaseGrants - idle.LeaseGrants).To(BeNumerically("<=", 2*hosts))
	})

	It("makes each host register again, and groups are held and replaced as before once the era has settled", func() {
		f := newFleet(defaultConfig, 3)
		f.site.RestoreStore(time.Hour)
		Eventually(f.site.RegisteredHosts, 5*time.Second, 50*time.Millisecond).Should(Equal(3))
		time.Sleep(lease.SettleTime + time.Second)
		time.AfterFunc(700*time.Millisecond, func() {
			restart := f.site.CrashPrimary(0)
			time.AfterFunc(2500*time.Millisecond, restart)
		})
		o := f.runLoad(12, 4*time.Second)
		Expect(o.LongestWriteGap).To(BeNumerically("<", 3500*time.Millisecond))
	})
})

// connect returns the answer to a caller's first message.
func connect(address, database string) string {
	return connectWith(address, database, "who")
}

// connectWith returns the answer to the first message of a caller with a key.
func connectWith(address, database, key string) string {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = c.Write([]byte("START " + database + " " + key + "\r\n"))
	Expect(err).NotTo(HaveOccurred())
	b := make([]byte, 64)
	n, _ := c.Read(b)
	return string(b[:n])
}
