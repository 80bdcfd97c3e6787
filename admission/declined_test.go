package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

// A replica with a long lag declines most reads within a millisecond. If these
// counted in the mean slot time, the queue would admit many more requests than the
// replica can serve.
var _ = It("doesn't count declined requests in the mean slot time", func() {
	q := admission.New(admission.Config{Slots: 1})
	now := time.Unix(1e9, 0)
	run := func(id uint64, d time.Duration, declined bool) {
		q.Handle(admission.Arrived{ID: id, Rank: bundle.Routine, Deadline: now.Add(time.Minute)}, now)
		now = now.Add(d)
		q.Handle(admission.Finished{ID: id, Declined: declined}, now)
	}
	for i := range uint64(40) {
		run(i, 30*time.Millisecond, false)
	}
	q.Handle(admission.Arrived{ID: 1000, Rank: bundle.Routine, Deadline: now.Add(time.Minute)}, now)
	before := q.EstimateWait(bundle.Routine, "", now)
	q.Handle(admission.Finished{ID: 1000, Declined: true}, now)
	for i := range uint64(40) {
		run(100+i, time.Millisecond, true)
	}
	q.Handle(admission.Arrived{ID: 1001, Rank: bundle.Routine, Deadline: now.Add(time.Minute)}, now)
	Expect(q.EstimateWait(bundle.Routine, "", now)).To(BeNumerically("~", before, time.Millisecond))
	Expect(q.Running()).To(Equal(1))
})
