package membership_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
)

// BenchmarkOwners measures computing the owners of 18,600 backend servers after a
// host is suspected.
func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{9, 500, 5000} {
		b.Run(strconv.Itoa(n)+" hosts", func(b *testing.B) {
			var l []membership.Host
			for i := range n {
				d := i % 7
				l = append(l, membership.Host{ID: "host-" + strconv.Itoa(i), Region: "r" + strconv.Itoa(d%3), FailureDomain: "d" + strconv.Itoa(d)})
			}
			v := membership.New(l[0])
			now := time.Now()
			v.Handle(membership.ListReceived{Hosts: l}, now)
			m := make([]bundle.Member, 18600)
			for i := range m {
				d := i % 7
				m[i] = bundle.Member{Name: "m-" + strconv.Itoa(i), Region: "r" + strconv.Itoa(d%3), FailureDomain: "d" + strconv.Itoa(d)}
			}
			b.ResetTimer()
			for i := range b.N {
				v.Handle(membership.LinkFailed{ID: l[1+i%(n-1)].ID}, now.Add(time.Duration(i)*time.Minute))
				for j := range m {
					v.Owner(&m[j], now.Add(time.Duration(i)*time.Minute))
				}
			}
		})
	}
}

// BenchmarkHeld measures the heap memory of a view with a cache of 18,600
// owners.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{9, 500, 5000} {
		b.Run(strconv.Itoa(n)+" hosts", func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				v := membership.New(benchHost(0))
				var l []membership.Host
				for i := range n {
					l = append(l, benchHost(i))
				}
				now := time.Now()
				v.Handle(membership.ListReceived{Hosts: l}, now)
				for i := range 18600 {
					d := i % 7
					v.Owner(&bundle.Member{Name: "m-" + strconv.Itoa(i), Region: "r" + strconv.Itoa(d%3), FailureDomain: "d" + strconv.Itoa(d)}, now)
				}
				b.ReportMetric(float64(heapBytes()-before), "held-bytes")
				runtime.KeepAlive(v)
			}
		})
	}
}

func benchHost(i int) membership.Host {
	d := i % 7
	return membership.Host{ID: "host-" + strconv.Itoa(i), PeerAddress: "10.0.0.1:" + strconv.Itoa(i), Region: "r" + strconv.Itoa(d%3), FailureDomain: "d" + strconv.Itoa(d)}
}

// heapBytes returns the live heap in bytes.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
