package fleet

import (
	"bytes"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/pace"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/store"
)

var _ = Describe("pace of members", func() {
	var f *Daemon
	m := catalog.Member{ID: "m", Group: "g", Slots: 4, StartMillis: 7}
	BeforeEach(func() {
		f = newTestDaemon()
		f.config.Features.UnevenMembers = true
		f.mu.Lock()
		defer f.mu.Unlock()
		f.table.SetMember(m)
		f.table.SetMember(catalog.Member{ID: "n", Group: "g", Slots: 4, StartMillis: 8})
	})
	told := pace.State{Limit: 2, Openings: 3, Level: 500, Usual: [pace.KindCount]int{20_000}}
	learn := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.learnPace(&query.Response{Member: "m", Pace: &told})
	}
	known := func(m catalog.Member, after time.Duration) *pace.State {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.knownPaceOf(m, now().Add(after))
	}

	It("of a member that is owned anew begins with what its earlier owner has told", func() {
		Expect(known(m, 0)).To(BeNil())
		learn()
		Expect(*known(m, time.Second)).To(Equal(told))
	})

	It("keeps the usual times but not the limits if they are old, the member has restarted or it is another one", func() {
		learn()
		usual := pace.State{Usual: told.Usual}
		Expect(*known(m, time.Minute)).To(Equal(usual))
		r := m
		r.StartMillis++
		Expect(*known(r, 0)).To(Equal(usual))
		Expect(*known(catalog.Member{ID: "n", Group: "g", StartMillis: 7}, 0)).To(Equal(usual))
		Expect(known(catalog.Member{ID: "o", Group: "h"}, 0)).To(BeNil())
	})

	It("is told with some of the responses, and with none where it isn't asked for", func() {
		responses := func() int {
			f.mu.Lock()
			f.memberPool(m)
			f.mu.Unlock()
			n := 0
			for range paceEvery {
				o := query.Response{Member: "m"}
				f.tellPace(&o)
				if o.Pace != nil {
					n++
					Expect(o.Pace.Limit).To(Equal(4))
				}
			}
			return n
		}
		Expect(responses()).To(Equal(1))
		f.mu.Lock()
		f.retirePool("m", f.pools["m"], "test")
		f.config.Features.UnevenMembers = false
		f.mu.Unlock()
		Expect(responses()).To(BeZero())
		learn()
		Expect(f.paces["m"].state.Limit).To(Equal(4), "kept when the pool was closed, and not learned since")
	})

	It("of a cold member makes no log line of each report, and is kept only where it is asked for", func() {
		var b bytes.Buffer
		cold := func(on bool) time.Duration {
			b.Reset()
			f := newTestDaemon()
			f.config.Log, f.config.Features.UnevenMembers = hclog.New(&hclog.LoggerOptions{Output: &b}), on
			f.config.Decoder = Decoder{MemberPrefix: "members/", Member: func(_ string, v []byte) (catalog.Member, uint64, error) {
				return catalog.Member{ID: "m", Group: "g", ColdRemaining: time.Duration(v[0]) * time.Second}, 0, nil
			}}
			for i := range byte(9) {
				f.applyMember(store.Item{Key: "members/m", Value: []byte{9 - i}})
			}
			m, _ := f.table.Member("m")
			Expect(strings.Count(b.String(), "member updated")).To(Equal(1))
			return m.ColdRemaining
		}
		Expect(cold(false)).To(BeZero())
		Expect(cold(true)).To(Equal(time.Second))
	})

	It("of a new pool isn't that of a member that has just started if the clock was set back", func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		started := func(ago time.Duration) bool {
			return f.paceConfig(catalog.Member{ID: "n", Group: "g", StartMillis: time.Now().Add(-ago).UnixMilli()}).Fresh
		}
		Expect(started(2 * time.Second)).To(BeTrue())
		Expect(started(-time.Second)).To(BeTrue())
		Expect(started(time.Minute)).To(BeFalse())
		Expect(started(-time.Hour)).To(BeFalse())
	})

	It("is known of a bounded number of members", func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := range 3 * maxKnownPaces {
			f.recordPace(catalog.Member{ID: string(rune(i))}, told)
		}
		Expect(len(f.paces)).To(BeNumerically("<=", maxKnownPaces+1))
	})
})
