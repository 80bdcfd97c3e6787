package fleet

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

var _ = Describe("updates of the copy that arrive at once", func() {
	// The record's value is its revision; the record of the first one is decoded slowly.
	newDaemon := func(decoding chan<- struct{}, release <-chan struct{}) *Daemon {
		f := newTestDaemon()
		f.config.Decoder = Decoder{ConfigurationKey: "configuration", MemberPrefix: "members/", Member: func(_ string, v []byte) (catalog.Member, uint64, error) {
			if v[0] == 1 {
				decoding <- struct{}{}
				<-release
			}
			return catalog.Member{ID: "m", Group: "g", Draining: v[0] > 1}, uint64(v[0]), nil
		}}
		return f
	}
	update := func(revision uint64, removed bool) storecopy.Update {
		i := store.Item{Key: "members/m", Value: []byte{byte(revision)}, Position: at(revision), Removed: removed}
		return storecopy.Update{Items: []store.Item{i}, Position: at(revision), CurrentAt: now()}
	}

	DescribeTable("don't bring back what the newer of them has replaced", func(removed bool) {
		decoding, release := make(chan struct{}, 1), make(chan struct{})
		f := newDaemon(decoding, release)
		var w sync.WaitGroup
		w.Go(func() { f.applyUpdate(update(1, false), fromStore) })
		Eventually(decoding, 5*time.Second).Should(Receive())
		newer := make(chan struct{})
		w.Go(func() {
			defer close(newer)
			f.applyUpdate(update(2, removed), "b")
		})
		// The newer update either waits for the older one or is applied before it.
		select {
		case <-newer:
		case <-time.After(200 * time.Millisecond):
		}
		close(release)
		w.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		m, _ := f.table.Member("m")
		Expect(m.Draining || !f.evictAt["m"].IsZero()).To(BeTrue())
	},
		Entry("a member that drains", false),
		Entry("a member that has left", true),
	)
})
