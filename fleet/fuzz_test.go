package fleet

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/contain"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

// FuzzStoreItem checks that no item of the store panics, whoever wrote it.
func FuzzStoreItem(f *testing.F) {
	d, err := New(Config{
		Self: membership.Host{ID: "a", FailureDomain: "west-a", Region: "west"}, PeerListen: "127.0.0.1:0", Secret: "s",
		Store: &conflictStore{}, Log: hclog.NewNullLogger(),
		Decoder: Decoder{
			ConfigurationKey: "configuration", MemberPrefix: "members/",
			Configuration: func(b []byte) (*catalog.Catalog, error) { return &catalog.Catalog{Version: uint64(len(b))}, nil },
			Member: func(_ string, b []byte) (catalog.Member, uint64, error) {
				return catalog.Member{ID: "m", Group: string(b)}, 1, nil
			},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(d.stop)
	for _, v := range []string{"null", "{}", "[]", "", `{"holder":{"id":"b"},"epoch":18446744073709551615}`, `{"id":"b","peer-address":"x"}`, `{"prior":[null]}`} {
		for _, k := range []string{"configuration", "members/m", groupPrefix + "g", groupPrefix, hostPrefix + "b", hostPrefix, "other"} {
			f.Add(k, []byte(v), uint64(1), uint64(7), false)
		}
	}
	f.Add(groupPrefix+"g", []byte("{}"), uint64(2), uint64(0), true)
	f.Fuzz(func(t *testing.T, key string, value []byte, era, revision uint64, removed bool) {
		i := store.Item{Key: key, Value: value, Position: store.Position{Era: era, Revision: revision}, Removed: removed}
		if err := contain.Run(hclog.NewNullLogger(), "store item", func() error {
			if d.applyItem(i, fromStore) {
				d.updateHosts()
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	})
}
