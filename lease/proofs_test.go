package lease_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/lease"
)

var _ = It("each field of a group's record is in the table of what becomes of it when a process ends", func() {
	b, err := os.ReadFile(filepath.Join("..", "docs", "PROOFS.md"))
	Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(b), "### Across the end of a process")
	Expect(found).To(BeTrue())
	table, _, _ := strings.Cut(rest, "\n### ")
	t := reflect.TypeFor[lease.Record]()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		Expect(table).To(ContainSubstring("`"+name+"`"), "field %s", t.Field(i).Name)
	}
})
