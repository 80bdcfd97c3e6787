package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/bundle"
)

var _ = Describe("the mean slot time", func() {
	It("isn't dominated by a few requests that ran while a process or host was suspended", func() {
		now := time.Unix(1000, 0)
		q := admission.New(admission.Config{Slots: 3})
		run := func(id uint64, d time.Duration) []admission.Action {
			a := q.Handle(admission.Arrived{ID: id, Rank: bundle.Urgent, Caller: "shop", Deadline: now.Add(time.Minute)}, now)
			now = now.Add(d)
			q.Handle(admission.Finished{ID: id}, now)
			return a
		}
		for i := range uint64(50) {
			run(i, 5*time.Millisecond)
		}
		for i := range uint64(3) {
			run(100+i, 20*time.Second)
		}
		for i := range uint64(20) {
			a := q.Handle(admission.Arrived{ID: 200 + i, Rank: bundle.Urgent, Caller: "shop", Deadline: now.Add(time.Second)}, now)
			for _, x := range a {
				Expect(x).NotTo(BeAssignableToTypeOf(admission.Refuse{}))
			}
		}
	})
})
