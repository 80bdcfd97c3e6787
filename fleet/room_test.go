package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/pressure"
	"github.com/dragonflypick/dragonflypick/query"
)

var _ = Describe("room", func() {
	It("is shared between teams by their rates", func() {
		f := &Daemon{}
		Expect(f.teamWeight("a")).To(BeEquivalentTo(1))
		f.catalog.Store(&catalog.Catalog{Teams: map[string]catalog.Team{"a": {Rate: 30}, "b": {Rate: 10}, "c": {}}})
		Expect(f.teamWeight("a")).To(BeEquivalentTo(1.5))
		Expect(f.teamWeight("b")).To(BeEquivalentTo(0.5))
		Expect(f.teamWeight("c")).To(BeEquivalentTo(1))
		f.catalog.Store(&catalog.Catalog{Teams: map[string]catalog.Team{"a": {Rate: 30}, "b": {Rate: 30}}})
		Expect(f.teamWeight("a")).To(BeEquivalentTo(1), "after a change of the configuration")
	})

	It("is refused at the entry to background work that a primary has told about, unless the feature is off", func() {
		r := &query.Request{Group: "g", Rank: bundle.Background, Primary: true}
		o := &query.Response{Member: "m", Pressure: &pressure.State{Levels: pressure.Levels{bundle.Background: 1}}}
		off := &Daemon{room: newRoom()}
		off.observePressure(r, o)
		Expect(off.checkPressure(r)).To(BeNil())
		f := &Daemon{room: newRoom(), config: Config{Features: Features{Pressure: true}}}
		f.observePressure(r, o)
		q := f.checkPressure(r)
		Expect(q).NotTo(BeNil())
		Expect(q.Reason.NotRun()).To(BeTrue())
		Expect(q.RetryAfter).To(BeNumerically(">", 0))
		Expect(f.checkPressure(&query.Request{Group: "g", Rank: bundle.Background})).To(BeNil(), "reads are placed")
		f.observePressure(r, &query.Response{Member: "m"})
		Expect(f.checkPressure(r)).To(BeNil(), "the level has fallen")
	})

	It("tells callers of a group without a primary when to return, and no others", func() {
		f := &Daemon{room: newRoom(), config: Config{Features: Features{Pressure: true}}}
		r := &query.Request{Group: "g", Primary: true}
		o := &query.Response{Reply: query.Refusal(query.Overloaded, "no holder"), Unavailable: true}
		f.observeGap(r, o, time.Now().Add(-2*time.Second))
		Expect(o.Failure.RetryAfter).To(BeNumerically("~", 2250*time.Millisecond, 300*time.Millisecond))
		o = &query.Response{Reply: query.Refusal(query.InDoubt, "lost"), Unavailable: true}
		f.observeGap(r, o, time.Now())
		Expect(o.Failure.RetryAfter).To(BeZero(), "the request may have run")
		o = &query.Response{Reply: query.Refusal(query.Overloaded, "queue"), Member: "m"}
		f.observeGap(r, o, time.Now())
		Expect(o.Failure.RetryAfter).To(BeZero())
	})

	It("shows the levels of the members that this host owns", func() {
		f := newTestDaemon()
		f.config.Features.Pressure = true
		f.mu.Lock()
		f.memberPool(catalog.Member{ID: "m", Group: "g", Slots: 4})
		f.mu.Unlock()
		collect := func() int {
			o := make(chan prometheus.Metric, 2*bundle.RankCount)
			pressureCollector{f}.Collect(o)
			return len(o)
		}
		Expect(collect()).To(BeEquivalentTo(bundle.RankCount))
		f.config.Features.Pressure = false
		Expect(collect()).To(BeZero())
	})
})
