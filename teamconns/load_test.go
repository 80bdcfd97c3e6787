package teamconns_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/teamconns"
)

// Loads of one member by 85 teams, a few of which send most of the requests.
var (
	steadyLoad = func(m *simulation) simResult {
		m.load(0, time.Minute, 150, m.team)
		return m.run(time.Minute)
	}
	heavyLoad = func(m *simulation) simResult {
		m.load(0, time.Minute, 300, m.team)
		return m.run(time.Minute)
	}
	// hotLoad has a small team that sends more than all others for a while.
	hotLoad = func(m *simulation) simResult {
		m.load(0, time.Minute, 150, m.team)
		m.load(20*time.Second, 30*time.Second, 180, func() int { return 30 })
		return m.run(time.Minute)
	}
	// coldLoad begins without connections, as after a member has changed its owner.
	coldLoad = func(m *simulation) simResult {
		m.load(0, 3*time.Second, 300, m.team)
		return m.run(3 * time.Second)
	}
)

var _ = DescribeTable("at a member with fewer connections than teams, callers wait less and fewer connections are opened than if each request opened one in place of the least recently used",
	func(load func(m *simulation) simResult, openings, smallWait float64) {
		c := teamconns.Config{Connections: memberConnections, Slots: memberSlots}
		var on, off simResult
		for seed := range uint64(5) {
			add := func(sum *simResult, s *teamconns.Set) {
				m := newSimulation(seed, s)
				o := load(m)
				Expect(m.problem).To(BeEmpty())
				sum.requests += o.requests
				sum.openings += o.openings
				sum.openingTime += o.openingTime
				sum.small, sum.all = append(sum.small, o.small...), append(sum.all, o.all...)
			}
			add(&on, teamconns.New(c))
			add(&off, teamconns.NewGreedy(c))
		}
		for _, o := range []struct {
			name string
			simResult
		}{{"by worth", on}, {"least recently used", off}} {
			GinkgoWriter.Printf("%s: %d requests, %.4f openings each, slots taken by them %s, small teams' wait mean %s, 95%% %s, all %s, 99%% %s\n", o.name, o.requests,
				float64(o.openings)/float64(o.requests), o.openingTime, mean(o.small), percentile(o.small, 0.95), mean(o.all), percentile(o.all, 0.99))
		}
		Expect(on.requests).To(Equal(off.requests))
		Expect(float64(on.openings)).To(BeNumerically("<", openings*float64(off.openings)))
		Expect(float64(mean(on.small))).To(BeNumerically("<", smallWait*float64(mean(off.small))))
		Expect(mean(on.all)).To(BeNumerically("<", mean(off.all)))
	},
	Entry("at a third of its capacity", steadyLoad, 0.9, 1.0),
	Entry("at three quarters of its capacity", heavyLoad, 0.9, 0.9),
	Entry("while a small team is hot", hotLoad, 0.9, 1.0),
	Entry("after all connections were lost", coldLoad, 1.0, 1.0),
)

var _ = DescribeTable("at a member of which others hold most connections for a while, most callers are served in time, and fewer are if no idle connections are exchanged",
	func(rate, least, most float64) {
		c := teamconns.Config{Connections: memberConnections, Slots: memberSlots}
		prompt := func(n func(teamconns.Config) *teamconns.Set) float64 {
			served, requests := 0, 0
			for seed := range uint64(5) {
				m := newSimulation(seed, n(c))
				m.others = memberConnections - 18
				m.after(3*time.Second, func() { m.others = 0 })
				m.load(0, 5*time.Second, rate, m.team)
				o := m.run(5 * time.Second)
				Expect(m.problem).To(BeEmpty())
				requests += o.requests
				for _, d := range o.all {
					if d < 800*time.Millisecond {
						served++
					}
				}
			}
			return float64(served) / float64(requests)
		}
		on, off := prompt(teamconns.New), prompt(teamconns.NewWithoutExchange)
		GinkgoWriter.Printf("%.0f requests/s: served within 800 ms %.3f, without the exchange %.3f\n", rate, on, off)
		Expect(on).To(BeNumerically(">", least))
		Expect(off).To(BeNumerically("<", most))
	},
	Entry("at a third of its capacity", 150.0, 0.95, 0.5),
	Entry("at three quarters of its capacity", 300.0, 0.8, 0.5),
)
