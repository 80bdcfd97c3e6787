package site_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// oddEntry returns a member entry whose fields are valid but for what changes replaces.
func oddEntry(changes ...string) []byte {
	e := `{"service":"g0","address":"127.0.0.1:9","zone":"west-a","version":"v1","cold_remaining_ms":0,"slots":3,"state":"ready","database_role":"replica","born":1,"sequence":1}`
	return []byte(strings.NewReplacer(changes...).Replace(e))
}

var _ = It("odd entries among those of the members end no daemon and stop no change of the store from arriving", func() {
	f := newFleet(defaultConfig, 3)
	before := f.runLoad(30, 3*time.Second)
	for id, v := range map[string][]byte{
		"odd-nested":  oddEntry(`"born":1`, `"born":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)),
		"odd-cut":     []byte(strings.Repeat(`{"service":`, 20_000)),
		"odd-slots":   oddEntry(`"slots":3`, `"slots":9223372036854775807`),
		"odd-number":  oddEntry(`"slots":3`, `"slots":1e999999`),
		"odd-born":    oddEntry(`"born":1`, `"born":-9223372036854775808`),
		"odd-port":    oddEntry(`127.0.0.1:9`, `127.0.0.1:65536`),
		"odd-service": oddEntry(`"g0"`, `"unheard-of"`),
		"odd-long":    oddEntry(`"g0"`, `"`+strings.Repeat("g", 4000)+`"`),
		"odd-bytes":   {0xff, 0x00, 0xc3, 0x28},
		"odd-null":    []byte("null"),
	} {
		f.site.PutMemberEntry(id, v)
	}
	o := f.runLoad(31, 3*time.Second)
	Expect(o.Served).To(BeNumerically(">", before.Served/2))
	Expect(o.Refused).To(BeNumerically("<", o.Served/20))
	for _, d := range f.daemons {
		Expect(d.done).NotTo(Receive(), "no daemon has ended")
	}
	Expect(f.logs.String()).NotTo(ContainSubstring("panic"))
	Expect(f.site.KeysUnder("dragonflypick/groups/")).To(ConsistOf("dragonflypick/groups/g0", "dragonflypick/groups/g1"), "no group is held that the configuration doesn't name")
})
