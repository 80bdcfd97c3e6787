package entry_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/query"
)

var _ = Describe("teams", func() {
	var r *router
	var k *catalog.Catalog
	var e *entry.Entry
	var denied []entry.Stage
	x := context.Background()
	// configure puts a configuration in force in which the given teams hold the keys.
	configure := func(teams map[string]string) {
		k = &catalog.Catalog{
			Databases: map[string]catalog.Database{
				"p": {Name: "p", Group: "g", StatementTimeout: time.Second},
				"a": {Name: "a", Group: "g", StatementTimeout: time.Second, Anonymous: true},
			},
			Teams: map[string]catalog.Team{"red": {Name: "red"}, "blue": {Name: "blue"}}, TeamsByKey: map[catalog.KeyDigest]string{},
		}
		for key, n := range teams {
			k.TeamsByKey[catalog.DigestKey(key)] = n
		}
	}
	BeforeEach(func() {
		r, denied = &router{}, nil
		configure(map[string]string{"k1": "red", "k2": "blue"})
		e = entry.New(entry.Config{
			SessionPrefix: "h", Catalog: func() *catalog.Catalog { return k }, Router: r, Denied: func(g entry.Stage) { denied = append(denied, g) },
		})
	})
	open := func(database, key string) *entry.Session {
		s, f := e.Open(context.Background(), database, catalog.DigestKey(key))
		Expect(f).To(BeNil())
		return s
	}
	last := func() query.Request { return r.requests[len(r.requests)-1] }
	read, write := query.Read{Text: "READ a"}, query.Write{Text: "WRITE a b"}

	It("runs a caller's statements for the team that holds its key, and denies an unknown key", func() {
		open("p", "k1").Handle(x, "id", read)
		Expect(last().Team).To(Equal("red"))
		open("p", "k2").Handle(x, "id", write)
		Expect(last().Team).To(Equal("blue"))
		_, f := e.Open(context.Background(), "p", catalog.DigestKey("k3"))
		Expect(f.Reason).To(Equal(query.Denied))
		Expect(f.Text).NotTo(ContainSubstring("k3"))
		Expect(denied).To(Equal([]entry.Stage{entry.StageStart}))
	})

	It("serves callers of an anonymous database for the team of their key, if they have one", func() {
		open("a", "k1").Handle(x, "id", read)
		Expect(last().Team).To(Equal("red"))
		open("a", "k3").Handle(x, "id", read)
		Expect(last().Team).To(BeEmpty())
	})

	It("needs no key if the configuration names no teams", func() {
		k.Teams, k.TeamsByKey = nil, nil
		open("p", "anybody").Handle(x, "id", read)
		Expect(last().Team).To(BeEmpty())
	})

	It("denies the next operation of an open session whose key was withdrawn", func() {
		s := open("p", "k1")
		configure(map[string]string{"k2": "blue"})
		for _, st := range []query.Statement{read, write, query.Begin{}, query.Set{}} {
			o := s.Handle(x, "id", st)
			Expect(o.Failure.Reason).To(Equal(query.Denied))
			Expect(o.State).To(Equal(query.Idle))
		}
		Expect(r.requests).To(BeEmpty())
		Expect(denied).To(HaveLen(4))
		configure(map[string]string{"k1": "blue"})
		s.Handle(x, "id", read)
		Expect(last().Team).To(Equal("blue"))
	})

	DescribeTable("rolls back the open transaction of a key that was withdrawn or moved", func(teams map[string]string, want query.Reason) {
		for _, st := range []query.Statement{read, query.Commit{}} {
			configure(map[string]string{"k1": "red"})
			s := open("p", "k1")
			s.Handle(x, "id", query.Begin{})
			s.Handle(x, "id", write)
			configure(teams)
			o := s.Handle(x, "id", st)
			Expect(o.Failure.Reason).To(Equal(want))
			Expect(last().Stage).To(Equal(query.Abandon))
			if _, ok := st.(query.Commit); ok {
				Expect(o.State).To(Equal(query.Idle))
				continue
			}
			Expect(o.State).To(Equal(query.Failed))
			n := len(r.requests)
			Expect(s.Handle(x, "id", query.Rollback{}).State).To(Equal(query.Idle))
			Expect(r.requests).To(HaveLen(n))
		}
	},
		Entry("withdrawn", map[string]string{}, query.Denied),
		Entry("moved", map[string]string{"k1": "blue"}, query.Aborted),
	)

	It("lets a caller whose key was withdrawn roll back", func() {
		s := open("p", "k1")
		s.Handle(x, "id", query.Begin{})
		s.Handle(x, "id", write)
		configure(nil)
		o := s.Handle(x, "id", query.Rollback{})
		Expect(o.Failure).To(BeNil())
		Expect(o.State).To(Equal(query.Idle))
		Expect(last().Stage).To(Equal(query.Abandon))
	})
})
