package failover_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "failover")
}

var _ = Describe("the age of a replica's data", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	pos := func(n uint64) logpos.Position { return logpos.Position{Term: 1, Offset: n} }
	var g *failover.Group

	report := func(name string, ms int, n uint64) {
		s := failover.Status{Role: failover.Replica, Term: 1, Position: pos(n), Primary: "a:1"}
		if name == "a" {
			s.Role, s.Primary = failover.Primary, ""
		}
		g.Handle(failover.StatusReported{Member: name, Status: s, RequestedAt: at(ms)}, at(ms))
	}

	BeforeEach(func() {
		g = failover.New()
		var l []failover.Member
		for _, n := range []string{"a", "b", "c", "d", "e"} {
			l = append(l, failover.Member{Name: n, Address: n + ":1"})
		}
		g.Handle(failover.Configured{Members: l}, start)
	})

	It("is the time since the last status request to which the primary reported no more data than the replica has", func() {
		for _, n := range []string{"b", "c", "d"} {
			report(n, 0, 5)
		}
		report("a", 100, 5)
		report("a", 300, 9)
		age, ok := g.DataAge("b", at(500))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(400 * time.Millisecond))
		report("b", 600, 9)
		age, _ = g.DataAge("b", at(700))
		Expect(age).To(Equal(400 * time.Millisecond))
	})

	It("is unknown if only a minority has confirmed the primary", func() {
		report("b", 0, 5)
		report("a", 100, 5)
		_, ok := g.DataAge("b", at(200))
		Expect(ok).To(BeFalse())
		Expect(g.MayServe(failover.ReplicaRead{Member: "b", Tolerance: time.Hour, AgeOnly: true}, at(200))).To(BeFalse())
	})

	It("grows while the primary is no longer confirmed", func() {
		for _, n := range []string{"b", "c", "d"} {
			report(n, 0, 5)
		}
		report("a", 100, 5)
		report("a", 3000, 5)
		age, ok := g.DataAge("b", at(3100))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(3 * time.Second))
	})
})
