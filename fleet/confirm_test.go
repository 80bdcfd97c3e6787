package fleet

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// watchedStore is a store in which items have changed.
type watchedStore struct {
	eraStore
	items []store.Item
}

func (s *watchedStore) Watch(context.Context, string, store.Position, time.Duration) ([]store.Item, store.Position, error) {
	return s.items, s.items[len(s.items)-1].Position, nil
}

var _ = Describe("teams", func() {
	key := catalog.DigestKey("k1")
	// configure applies a configuration in which team a holds the given key; without a
	// key it names no teams.
	configure := func(f *Daemon, version uint64, key string, err error) {
		f.config.Decoder.Configuration = func([]byte) (*catalog.Catalog, error) {
			c := &catalog.Catalog{Version: version}
			if key != "" {
				c.Teams = map[string]catalog.Team{"a": {Name: "a"}}
				c.TeamsByKey = map[catalog.KeyDigest]string{catalog.DigestKey(key): "a"}
			}
			return c, err
		}
		f.applyConfiguration(store.Item{}, fromStore)
	}

	It("keeps the last good configuration if a later one is invalid", func() {
		f := newTestDaemon()
		configure(f, 1, "k1", nil)
		configure(f, 2, "k2", Error.New("two teams with one key"))
		Expect(f.Catalog().Version).To(Equal(uint64(1)))
		_, ok := f.Catalog().TeamOf(key)
		Expect(ok).To(BeTrue())
		configure(f, 3, "k2", nil)
		_, ok = f.Catalog().TeamOf(key)
		Expect(ok).To(BeFalse())
	})

	It("doesn't serve callers with keys by an old copy that one other daemon has sent to it after its start", func() {
		f := newTestDaemon()
		configure(f, 1, "k1", nil)
		f.copy.Apply(storecopy.Update{Position: at(1), CurrentAt: now().Add(-time.Minute)}, time.Now())
		f.observeConfirmation("b")
		Expect(f.CallerCatalog()).To(BeNil())
		f.observeConfirmation("c")
		f.observeConfirmation("d")
		Expect(f.CallerCatalog().Version).To(Equal(uint64(1)))
	})

	It("doesn't serve callers with keys by a store that has come back from an older copy before others are heard", func() {
		f := newTestDaemon()
		f.updateView(membership.ListReceived{Hosts: []membership.Host{{ID: "a"}, {ID: "b"}}})
		f.updateView(membership.HostAnswered{ID: "b"})
		f.observeEra(1, now(), false)
		configure(f, 1, "k1", nil)
		f.copy.Apply(storecopy.Update{Position: store.Position{Era: 1, Revision: 1}, CurrentAt: now(), Complete: true}, time.Now())
		f.observeConfirmation(fromStore)
		Expect(f.CallerCatalog()).To(BeNil())
	})

	It("serves callers of a host that runs alone once the operator has written the first configuration", func() {
		f := newTestDaemon()
		f.config.Store = &watchedStore{items: []store.Item{{Key: "c", Position: at(2)}}}
		f.config.Decoder.ConfigurationKey = "c"
		f.config.Decoder.Configuration = func([]byte) (*catalog.Catalog, error) {
			return &catalog.Catalog{Version: 1, Teams: map[string]catalog.Team{"a": {Name: "a"}}}, nil
		}
		f.copy.Apply(storecopy.Update{Position: at(1), CurrentAt: now(), Complete: true}, time.Now())
		f.observeConfirmation(fromStore)
		Expect(f.watchOnce(context.Background())).To(Succeed())
		Expect(f.Catalog()).NotTo(BeNil())
		Expect(f.CallerCatalog()).NotTo(BeNil())
	})

	It("keeps and passes on no configuration with keys in it", func() {
		f := newTestDaemon()
		f.config.Decoder.ConfigurationKey = "c"
		f.config.Decoder.Redact = func(v []byte) ([]byte, error) {
			if string(v) == "unreadable key" {
				return nil, Error.New("unreadable")
			}
			return bytes.ReplaceAll(v, []byte("key"), []byte("digest")), nil
		}
		l := []store.Item{{Key: "c", Value: []byte("key")}, {Key: "other", Value: []byte("key")}, {Key: "c", Value: []byte("unreadable key")}}
		Expect(f.redact(l)).To(Equal([]store.Item{{Key: "c", Value: []byte("digest")}, {Key: "other", Value: []byte("key")}, {Key: "c"}}))
	})

	It("serves callers at once if the store was read, or if no key is needed", func() {
		f := newTestDaemon()
		configure(f, 1, "", nil)
		Expect(f.CallerCatalog()).NotTo(BeNil())
		configure(f, 2, "k1", nil)
		Expect(f.CallerCatalog()).To(BeNil())
		f.copy.Apply(storecopy.Update{Position: at(1), CurrentAt: now()}, time.Now())
		f.observeConfirmation(fromStore)
		Expect(f.CallerCatalog().Version).To(Equal(uint64(2)))
	})
})
