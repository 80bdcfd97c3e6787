package failover_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
)

// BenchmarkReport measures handling a member's report and checking whether a write
// is durable.
func BenchmarkReport(b *testing.B) {
	g := failover.New()
	now := time.Now()
	var l []failover.Member
	for i := range 3 {
		l = append(l, failover.Member{Name: "m" + strconv.Itoa(i), Address: "a" + strconv.Itoa(i)})
	}
	g.Handle(failover.Configured{Members: l}, now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		s := failover.Status{Role: failover.Replica, Term: 1, Position: logpos.Position{Term: 1, Offset: uint64(i)}, Primary: "a0"}
		if i%3 == 0 {
			s.Role, s.Primary = failover.Primary, ""
		}
		g.Handle(failover.StatusReported{Member: l[i%3].Name, Status: s, RequestedAt: now}, now)
		g.Durable(s.Position)
	}
}
