package fleet

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// conflictStore refuses every write with a conflict: the key already holds the
// written value, or value if that is set.
type conflictStore struct {
	store.Store
	value []byte
}

func (s *conflictStore) Put(_ context.Context, w store.Write) (uint64, error) {
	v := s.value
	if v == nil {
		v = w.Value
	}
	return 0, &store.ConflictError{Item: store.Item{Key: w.Key, Value: v, Revision: 7}}
}

func (s *conflictStore) Range(context.Context, string) ([]store.Item, uint64, error) {
	return nil, 5, nil
}

var _ = Describe("watching the store", func() {
	It("ends with its context on a host that doesn't watch the store itself", func() {
		f := newTestDaemon()
		f.config.Store = &conflictStore{}
		var l []membership.Host
		for i := range 20 {
			l = append(l, membership.Host{ID: "h" + strconv.Itoa(i), Region: "west", FailureDomain: "west-a"})
		}
		f.updateView(membership.ListReceived{Hosts: l})
		f.copy.Apply(storecopy.Update{Revision: 1, CurrentAt: now()}, time.Now())
		Expect(f.isWatcher()).To(BeFalse())
		x, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		f.spawn(func(context.Context) { ended <- f.watchStore(x) })
		time.AfterFunc(50*time.Millisecond, stop)
		Eventually(ended, time.Second).Should(Receive(BeNil()))
	})
})

// compactedStore has discarded the history before its last change.
type compactedStore struct {
	store.Store
	revision atomic.Uint64
}

func (s *compactedStore) Range(context.Context, string) ([]store.Item, uint64, error) {
	r := s.revision.Load()
	return []store.Item{{Key: "k", Revision: r}}, r, nil
}

func (s *compactedStore) Watch(x context.Context, _ string, after uint64, _ time.Duration) ([]store.Item, uint64, error) {
	if after < s.revision.Load() {
		return nil, 0, &store.CompactedError{After: after}
	}
	sleep(x, 10*time.Millisecond)
	return nil, after, nil
}

var _ = Describe("a store that has discarded its history", func() {
	It("is read again as a whole", func() {
		f := newTestDaemon()
		s := &compactedStore{}
		s.revision.Store(3)
		f.config.Store, f.config.Decoder = s, Decoder{ConfigurationKey: "configuration", MemberPrefix: "members/"}
		x, stop := context.WithCancel(context.Background())
		defer stop()
		f.spawn(func(context.Context) { _ = f.watchStore(x) })
		Eventually(f.copy.Revision, 5*time.Second).Should(BeEquivalentTo(3))
		s.revision.Store(9)
		Eventually(f.copy.Revision, 5*time.Second).Should(BeEquivalentTo(9))
	})
})

var _ = Describe("a call to the store", func() {
	silent := func(x context.Context) (storeReply, error) {
		<-x.Done()
		return storeReply{}, x.Err()
	}
	fails := func(context.Context) (storeReply, error) { return storeReply{}, &store.LeaseEndedError{} }
	answers := func(context.Context) (storeReply, error) { return storeReply{Revision: 9}, nil }
	viaPeers := func(first, second storeCall) func(h membership.Host) storeCall {
		return func(h membership.Host) storeCall {
			if h.ID == "b" {
				return first
			}
			return second
		}
	}

	DescribeTable("returns the first success, from the store or through a daemon", func(direct, first, second storeCall, want uint64) {
		f := newTestDaemon()
		f.updateView(membership.ListReceived{Hosts: []membership.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
		x, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		t := time.Now()
		o, err := f.hedgedCall(x, direct, viaPeers(first, second))
		Expect(err == nil).To(Equal(want > 0))
		Expect(o.Revision).To(Equal(want))
		Expect(time.Since(t)).To(BeNumerically("<", time.Second))
	},
		Entry("from the store", answers, silent, silent, uint64(9)),
		Entry("from the second daemon, while the store and the first are silent", silent, silent, answers, uint64(9)),
		Entry("from a daemon, after the store has failed", fails, silent, answers, uint64(9)),
		Entry("an error if all fail", fails, fails, fails, uint64(0)),
	)

	It("treats a conflict with an item of the same value as success", func() {
		f := newTestDaemon()
		s := &conflictStore{}
		f.config.Store = s
		g := f.group("g")
		r := lease.Record{Holder: f.selfHolder(), Epoch: 1}
		Expect(f.compareAndSwap(context.Background(), g, r, 6)).To(BeTrue())
		_, rev, _ := g.Record()
		Expect(rev).To(Equal(uint64(7)))
		s.value = []byte(`{"holder":{"id":"z","address":""},"epoch":4}`)
		Expect(f.compareAndSwap(context.Background(), g, r, 6)).To(BeFalse())
	})
})

// silentLeaseStore doesn't answer the first renewal of a lease.
type silentLeaseStore struct {
	store.Store
	renewals atomic.Int64
}

func (s *silentLeaseStore) GrantLease(context.Context, time.Duration) (uint64, error) { return 1, nil }

func (s *silentLeaseStore) Put(context.Context, store.Write) (uint64, error) { return 1, nil }

func (s *silentLeaseStore) RenewLease(x context.Context, _ uint64) error {
	if s.renewals.Add(1) == 1 {
		<-x.Done()
		return x.Err()
	}
	return nil
}

var _ = Describe("the lease of a host's record", func() {
	It("is renewed soon after a renewal without an answer, so that a live host isn't taken for gone", func() {
		f := newTestDaemon()
		s := &silentLeaseStore{}
		f.config.Store = s
		x, stop := context.WithCancel(context.Background())
		defer stop()
		f.spawn(func(context.Context) { _ = f.maintainHostRecord(x) })
		Eventually(s.renewals.Load, hostLeaseInterval+storeTimeout+time.Second).Should(BeEquivalentTo(2))
	})
})
