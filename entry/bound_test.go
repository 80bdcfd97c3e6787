package entry_test

import (
	"context"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/query"
)

var _ = Describe("the values and the prepared statements of a session", func() {
	// Each of these is nearly as long as a message may be.
	long := strings.Repeat("x", 1<<20-200)
	x := context.Background()
	var r *router
	var s *entry.Session
	BeforeEach(func() {
		r = &router{}
		k := &catalog.Catalog{Version: 1, Databases: map[string]catalog.Database{"p": {Name: "p", Group: "g", Consistency: catalog.PrimaryReads, StatementTimeout: time.Second}}}
		var f *query.Failure
		s, f = entry.New(entry.Config{Catalog: func() *catalog.Catalog { return k }, Router: r}).Open(x, "p", catalog.KeyDigest{})
		Expect(f).To(BeNil())
	})
	set := func(name, v string) *query.Failure {
		return s.Handle(x, "1", query.Set{Value: query.Value{Name: name, Text: v}}).Failure
	}
	prepare := func(name, v string) *query.Failure {
		return s.Handle(x, "1", query.Prepare{Name: name, Template: query.Template{Text: v}}).Failure
	}

	It("don't make a request longer than daemons accept from each other, nor fill the memory", func() {
		refused := 0
		for i := range 40 {
			for _, f := range []*query.Failure{set("v"+strconv.Itoa(i), long), prepare("p"+strconv.Itoa(i), long)} {
				if f != nil {
					Expect(f.Reason).To(Equal(query.Overloaded))
					refused++
				}
			}
		}
		Expect(refused).To(Equal(77))
		Expect(s.Handle(x, "2", query.Execute{Name: "p0", Arguments: "a"}).Failure).To(BeNil())
		n := len(r.requests[0].Template.Text)
		for _, v := range r.requests[0].Values {
			n += len(v.Text)
		}
		Expect(n).To(Equal(3 * len(long)))
		Expect(s.Handle(x, "3", query.Execute{Name: "p1", Arguments: "a"}).Failure.Reason).To(Equal(query.UnknownName))
	})

	It("are counted once when they are replaced, and no more once they are deallocated", func() {
		for range 10 {
			Expect(set("v", long)).To(BeNil())
			Expect(prepare("p", long)).To(BeNil())
		}
		Expect(prepare("o", long)).To(BeNil())
		Expect(prepare("q", long)).NotTo(BeNil())
		Expect(s.Handle(x, "1", query.Deallocate{Name: "p"}).Failure).To(BeNil())
		Expect(prepare("q", long)).To(BeNil())
	})

	It("are counted with what each of them takes besides its text", func() {
		n := 0
		for n < 100_000 && prepare(strconv.Itoa(n), "") == nil {
			n++
		}
		Expect(n).To(BeNumerically("<", 40_000))
		Expect(n).To(BeNumerically(">", 1000))
	})
})
