package cluster_test

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/consul"
	"github.com/dragonflypick/dragonflypick/standin/cluster"
	"github.com/dragonflypick/dragonflypick/standin/kv"
	"github.com/dragonflypick/dragonflypick/standin/load"
)

// convergenceTimeout limits the wait for changes that take seconds; it isn't a
// target for them.
const convergenceTimeout = "20s"

var _ = Describe("bundles and membership", func() {
	var c *cluster.Cluster
	x := context.Background()

	start := func(n int, lag time.Duration) {
		f := cluster.DefaultConfig()
		f.Lag = lag
		f.Daemons = n
		var err error
		c, err = cluster.Start(x, f)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
	}
	// pushNextVersion pushes the next version of the bundle with a change.
	pushNextVersion := func(change func(b *bundle.Bundle)) {
		p, err := bundle.CanonicalJSON(c.Bundle)
		Expect(err).NotTo(HaveOccurred())
		b := &bundle.Bundle{}
		Expect(json.Unmarshal(p, b)).To(Succeed())
		b.Version++
		if change != nil {
			change(b)
		}
		Expect(c.Push(b)).To(Succeed())
		c.Bundle = b
	}
	versions := func() []uint64 {
		var o []uint64
		for _, d := range c.Daemons {
			o = append(o, d.Version())
		}
		return o
	}
	awaitVersion := func() { Eventually(versions, convergenceTimeout).Should(HaveEach(c.Bundle.Version)) }
	runLoad := func(d time.Duration, entries []*cluster.Daemon, during func()) load.Report {
		l := load.Config{
			User: cluster.CallerName, Password: cluster.CallerPassword, Group: "orders", Seed: 6, Sessions: 20,
			Duration: d, MoveEvery: 10, Rates: [bundle.RankCount]float64{60, 60, 10},
		}
		for _, d := range entries {
			l.Addresses = append(l.Addresses, d.CallerAddress())
		}
		t := time.AfterFunc(500*time.Millisecond, func() {
			defer GinkgoRecover()
			during()
		})
		defer t.Stop()
		r, err := load.Run(x, l)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	// expectUninterrupted expects that no request was lost, doubled, refused,
	// failed or left in doubt.
	expectUninterrupted := func(r load.Report) {
		GinkgoWriter.Printf("load seed 6: %d orders, ranks %+v\n", r.Orders, r.Ranks)
		Expect(r.Orders).NotTo(BeZero())
		Expect(r.Lost).To(BeZero())
		Expect(r.Doubled).To(BeZero())
		Expect(r.WronglyRefused).To(BeZero())
		Expect(r.Stale).To(BeZero())
		for _, k := range r.Ranks {
			Expect(k.InDoubt).To(BeZero(), "%+v", k)
			Expect(k.Refused).To(BeZero(), "%+v %v", k, r.Codes)
			Expect(k.Failed).To(BeZero(), "%+v %v", k, r.Codes)
		}
	}

	It("keeps the highest approved version despite a rollback, a forgery and a platform outage, and accepts the next version", func() {
		start(6, 0)
		k := consul.New(consul.Config{Address: c.Platform.Address()})
		old, err := k.Get(x, consul.BundleKey, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		pushNextVersion(nil)
		awaitVersion()

		now, err := k.Get(x, consul.BundleKey, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(k.CompareAndSwap(x, consul.BundleKey, old.Pairs[0].Value, now.Pairs[0].ModifyIndex)).To(BeTrue())
		a, err := bundle.NewKey("author")
		Expect(err).NotTo(HaveOccurred())
		b, err := bundle.NewKey("approver")
		Expect(err).NotTo(HaveOccurred())
		f := *c.Bundle
		f.Version = 99
		e, err := bundle.Sign(x, &f, a, b)
		Expect(err).NotTo(HaveOccurred())
		now, err = k.Get(x, consul.BundleKey, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(k.CompareAndSwap(x, consul.BundleKey, e, now.Pairs[0].ModifyIndex)).To(BeTrue())
		Consistently(versions, "1s").Should(HaveEach(uint64(2)))

		c.Platform.SetFault(kv.Fault{Down: true})
		d, err := c.StartDaemon(1)
		Expect(err).NotTo(HaveOccurred())
		awaitVersion()
		Eventually(func() int { return len(d.Status().HostIDs) }, convergenceTimeout).Should(Equal(7))
		Eventually(func() int { return len(c.Daemons[3].Status().HostIDs) }, convergenceTimeout).Should(Equal(7))
		n, err := pgx.Connect(x, d.ConnectionURL("orders"))
		Expect(err).NotTo(HaveOccurred())
		_, err = n.Exec(x, "CREATE TABLE outage (id INTEGER)")
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Close(x)).To(Succeed())

		c.Platform.SetFault(kv.Fault{})
		pushNextVersion(nil)
		awaitVersion()
	})

	It("puts a bundle in force within 11 s although the connections with pending watches have gone silent", func() {
		f := cluster.DefaultConfig()
		f.Daemons, f.RelayPlatform = 4, true
		var err error
		c, err = cluster.Start(x, f)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
		// The watches of daemons that have a bundle start after 2 s.
		time.Sleep(4 * time.Second)
		c.PlatformRelay.Silence()
		pushNextVersion(nil)
		Eventually(versions, "11s").Should(HaveEach(c.Bundle.Version))
	})

	It("interrupts no request, takes back no bundle and loses no host when the platform comes back from an older copy", func() {
		start(3, 0)
		changed := time.Now()
		d, err := c.StartDaemon(1)
		Expect(err).NotTo(HaveOccurred())
		pushNextVersion(nil)
		awaitVersion()
		hosts := func() []int {
			var o []int
			for _, d := range c.Daemons {
				o = append(o, len(d.Status().HostIDs))
			}
			return o
		}
		Eventually(hosts, convergenceTimeout).Should(HaveEach(4))
		k := consul.New(consul.Config{Address: c.Platform.Address()})
		registered := func() int {
			r, err := k.Get(x, consul.HostPrefix+d.ID, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			return len(r.Pairs)
		}
		Eventually(registered, convergenceTimeout).Should(Equal(1))

		// restore brings back a copy of before the newest daemon and bundle, twice.
		restore := func() {
			for range 2 {
				c.Platform.Restore(time.Since(changed))
				Expect(registered()).To(BeZero())
				time.Sleep(time.Second)
			}
		}
		expectUninterrupted(runLoad(5*time.Second, c.Daemons, restore))
		Expect(versions()).To(HaveEach(uint64(2)))
		Expect(hosts()).To(HaveEach(4))
		Eventually(registered, "10s").Should(Equal(1))

		_, err = c.StartDaemon(0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(hosts, convergenceTimeout).Should(HaveEach(5))
		awaitVersion()
		pushNextVersion(nil)
		awaitVersion()
	})

	It("keeps a daemon registered when answers to its registration are lost", func() {
		start(1, 0)
		for lost := 1; lost <= 2; lost++ {
			c.Platform.SetFault(kv.Fault{LoseAnswers: lost})
			d, err := c.StartDaemon(1)
			Expect(err).NotTo(HaveOccurred())
			k := consul.New(consul.Config{Address: c.Platform.Address()})
			Eventually(func() int {
				r, err := k.Get(x, consul.HostPrefix+d.ID, 0, 0)
				Expect(err).NotTo(HaveOccurred())
				return len(r.Pairs)
			}, convergenceTimeout).Should(Equal(1))
		}
	})

	It("interrupts no request when owners are drained one after another under load", func() {
		start(4, 0)
		expectUninterrupted(runLoad(5*time.Second, []*cluster.Daemon{c.Daemons[1], c.Daemons[3]}, func() {
			c.Daemons[0].Drain()
			c.Daemons[2].Drain()
		}))
		Eventually(func() []string { return c.Daemons[1].Status().HostIDs }, convergenceTimeout).Should(ConsistOf("daemon-2", "daemon-4"))
	})

	It("ends sessions of drained daemons only between requests", func() {
		start(4, 0)
		r := runLoad(5*time.Second, c.Daemons, func() {
			c.Daemons[0].Drain()
			c.Daemons[2].Drain()
		})
		GinkgoWriter.Printf("load seed 6: %d orders, codes %v, ranks %+v\n", r.Orders, r.Codes, r.Ranks)
		Expect(r.Lost + r.Doubled + r.WronglyRefused + r.Stale).To(BeZero())
		for _, k := range r.Ranks {
			Expect(k.InDoubt+k.Failed).To(BeZero(), "%+v %v", k, r.Codes)
		}
		// The load has no balancer and keeps connecting to the stopped daemons.
		for s := range r.Codes {
			Expect(s).To(Or(Equal("connect"), HavePrefix("57P01")))
		}
	})

	It("interrupts no request when limits, deadlines and members change under load", func() {
		// The replication lag makes every write wait for a majority.
		start(3, 80*time.Millisecond)
		var replica bundle.Member
		expectUninterrupted(runLoad(5*time.Second, c.Daemons, func() {
			pushNextVersion(func(b *bundle.Bundle) {
				b.Groups[0].Members[0].Slots, b.Groups[0].Members[0].Connections = 2, 10
				b.Ranks.Urgent.Deadline = bundle.Duration(4 * time.Second)
			})
			awaitVersion()
			pushNextVersion(func(b *bundle.Bundle) {
				g := &b.Groups[0]
				i := len(g.Members) - 1
				if c.Primary("orders").Name == g.Members[i].Name {
					i--
				}
				replica = g.Members[i]
				g.Members = append(g.Members[:i], g.Members[i+1:]...)
			})
			awaitVersion()
			pushNextVersion(func(b *bundle.Bundle) { b.Groups[0].Members = append(b.Groups[0].Members, replica) })
			awaitVersion()
		}))
	})

	It("ends the sessions of a removed caller after their transactions", func() {
		start(2, 0)
		pushNextVersion(func(b *bundle.Bundle) {
			k := b.Callers[0]
			k.Name = "visitor"
			b.Callers = append(b.Callers, k)
		})
		awaitVersion()
		u := "postgres://visitor:" + cluster.CallerPassword + "@" + c.Daemons[0].CallerAddress() + "/orders?sslmode=disable"
		busy, err := pgx.Connect(x, u)
		Expect(err).NotTo(HaveOccurred())
		idle, err := pgx.Connect(x, u)
		Expect(err).NotTo(HaveOccurred())
		t, err := busy.Begin(x)
		Expect(err).NotTo(HaveOccurred())
		pushNextVersion(func(b *bundle.Bundle) { b.Callers = b.Callers[:1] })
		awaitVersion()
		var k int
		Expect(t.QueryRow(x, "SELECT 1").Scan(&k)).To(Succeed())
		Expect(t.Commit(x)).To(Succeed())
		for _, n := range []*pgx.Conn{busy, idle} {
			_, err = n.Exec(x, "SELECT 1")
			Expect(err).To(HaveOccurred())
		}
		_, err = pgx.Connect(x, u)
		Expect(err).To(MatchError(ContainSubstring("28P01")))
	})
})
