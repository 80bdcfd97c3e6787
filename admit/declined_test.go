package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admit"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// A replica that lags far behind declines most reads within a millisecond. If
// these counted as slot time, the queue would admit far more requests than the
// replica can serve.
var _ = It("doesn't count declined requests in the mean slot time", func() {
	q := admit.New(admit.Config{Slots: 1})
	now := time.Unix(1e9, 0)
	run := func(id uint64, d time.Duration, declined bool) {
		q.Handle(admit.Arrived{ID: id, Rank: bundle.Routine, Deadline: now.Add(time.Minute)}, now)
		now = now.Add(d)
		q.Handle(admit.Finished{ID: id, Declined: declined}, now)
	}
	for i := range uint64(40) {
		run(i, 30*time.Millisecond, false)
	}
	q.Handle(admit.Arrived{ID: 1000, Rank: bundle.Routine, Deadline: now.Add(time.Minute)}, now)
	before := q.EstimateWait(bundle.Routine, "", now)
	q.Handle(admit.Finished{ID: 1000, Declined: true}, now)
	for i := range uint64(40) {
		run(100+i, time.Millisecond, true)
	}
	q.Handle(admit.Arrived{ID: 1001, Rank: bundle.Routine, Deadline: now.Add(time.Minute)}, now)
	Expect(q.EstimateWait(bundle.Routine, "", now)).To(BeNumerically("~", before, time.Millisecond))
	Expect(q.Running()).To(Equal(1))
})
