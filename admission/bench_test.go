package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// BenchmarkHandle measures one arrival and one finish while 10,000 requests of
// 100 callers are waiting.
func BenchmarkHandle(b *testing.B) {
	c := config()
	c.MaxWaiting = 20000
	q := admission.New(c)
	now := start
	var running []uint64
	id := uint64(0)
	handle := func(e admission.Event) {
		for _, a := range q.Handle(e, now) {
			if s, ok := a.(admission.Start); ok {
				running = append(running, s.ID)
			}
		}
	}
	arrive := func() {
		id++
		handle(admission.Arrived{ID: id, Rank: bundle.Urgent, Caller: strconv.FormatUint(id%100, 10), Deadline: now.Add(time.Hour)})
	}
	for q.Depth(bundle.Urgent) < 10000 {
		arrive()
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		arrive()
		r := running[0]
		running = running[1:]
		handle(admission.Finished{ID: r})
	}
}
