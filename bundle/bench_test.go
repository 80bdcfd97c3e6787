package bundle_test

import (
	"context"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// largeBundle returns a bundle with n groups of 3 members and one caller per
// group.
func largeBundle(n int) *bundle.Bundle {
	v, err := bundle.NewVerifier("shop", "amber", []byte("0123456789abcdef"))
	if err != nil {
		panic(err)
	}
	k := bundle.RankLimits{Deadline: bundle.Duration(time.Second), Share: 0.1, IdleInTransaction: bundle.Duration(time.Second)}
	b := &bundle.Bundle{
		Version: 1, Ranks: bundle.Ranks{Urgent: k, Routine: k, Background: k},
		Limits: bundle.Limits{Callers: 10000, StatementBytes: 1 << 20, ReplicaAge: bundle.Duration(time.Second)},
	}
	for i := range n {
		g := bundle.Group{Name: "group-" + strconv.Itoa(i)}
		for j := range 3 {
			g.Members = append(g.Members, bundle.Member{
				Name: g.Name + "-" + strconv.Itoa(j), Address: "10." + strconv.Itoa(i/256) + "." + strconv.Itoa(i%256) + "." + strconv.Itoa(j+1) + ":5432",
				Region: "region-1", FailureDomain: "domain-1", Slots: 3, Connections: 20,
			})
		}
		b.Groups = append(b.Groups, g)
		b.Callers = append(b.Callers, bundle.Caller{Name: "caller-" + strconv.Itoa(i), Scram: v, Rank: "routine", Groups: []string{g.Name}})
	}
	return b
}

// signedBundle returns a signed bundle with n groups, and the keys to trust.
func signedBundle(b *testing.B, n int) ([]byte, bundle.Trust) {
	a, err := bundle.NewKey("author")
	if err != nil {
		b.Fatal(err)
	}
	p, err := bundle.NewKey("approver")
	if err != nil {
		b.Fatal(err)
	}
	e, err := bundle.Sign(context.Background(), largeBundle(n), a, p)
	if err != nil {
		b.Fatal(err)
	}
	return e, bundle.Trust{Authors: []*bundle.Key{a}, Approvers: []*bundle.Key{p}}
}

// BenchmarkOpen measures verifying and decoding a signed bundle.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(n)+" groups", func(b *testing.B) {
			x := context.Background()
			e, t := signedBundle(b, n)
			b.ReportMetric(float64(len(e)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := bundle.Open(x, e, t); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(e)), "bytes")
		})
	}
}

// heapBytes returns the live heap in bytes.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkHeld measures the heap memory of an open bundle with its envelope.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(n)+" groups", func(b *testing.B) {
			x := context.Background()
			e, t := signedBundle(b, n)
			for b.Loop() {
				before := heapBytes()
				s, err := bundle.Open(x, append([]byte(nil), e...), t)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heapBytes()-before), "held-bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}
