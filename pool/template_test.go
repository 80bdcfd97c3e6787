package pool_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/zeebo/errs"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/pool"
	"github.com/dragonflypick/dragonflypick/query"
)

// preparingMember is a stand-in backend server whose connections keep session values and
// prepared names until a reset. A statement must name, in its text, the template and the
// value with which it is to run.
type preparingMember struct {
	mu sync.Mutex
	// refuseResets makes the member answer resets with a failure.
	refuseResets bool
	// wrong lists the statements that ran with another template or value.
	wrong []string
	// maxNames and maxBytes are the most names, and bytes of their templates, that a
	// connection has had.
	maxNames, maxBytes int
	resets             int
	closed             int
	// signatures counts the statements that were answered with a signature.
	signatures int
}

// preparingConn is a connection to a preparingMember.
type preparingConn struct {
	m      *preparingMember
	values map[string]string
	names  map[string]query.Template
	state  query.State
}

func (m *preparingMember) Dial(context.Context, catalog.Member, string) (pool.Conn, logpos.Position, error) {
	return &preparingConn{m: m, values: map[string]string{}, names: map[string]query.Template{}, state: query.Idle}, logpos.Position{}, nil
}

func (c *preparingConn) Close() {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.closed++
}

func (c *preparingConn) RunStep(s query.Step, _ time.Time) (query.Reply, error) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	o := query.Reply{}
	switch s := s.(type) {
	case query.ResetSession:
		if c.m.refuseResets {
			o.Failure = &query.Failure{Reason: query.Overloaded}
			break
		}
		c.m.resets++
		clear(c.values)
		clear(c.names)
	case query.SetValue:
		c.values[s.Value.Name] = s.Value.Text
	case query.PrepareTemplate:
		if _, ok := c.names[s.Name]; ok {
			return o, errs.New("name prepared twice")
		}
		c.prepare(s)
	case query.BeginTransaction:
		c.state = query.Open
	case query.EndTransaction:
		c.state = query.Idle
	case query.RunStatement:
		o = c.run(s)
	}
	o.State = c.state
	return o, nil
}

func (c *preparingConn) prepare(s query.PrepareTemplate) {
	c.names[s.Name] = s.Template
	n := 0
	for _, t := range c.names {
		n += len(t.Text)
	}
	c.m.maxNames, c.m.maxBytes = max(c.m.maxNames, len(c.names)), max(c.m.maxBytes, n)
}

func (c *preparingConn) run(s query.RunStatement) query.Reply {
	t, ok := c.names[s.Prepared]
	if s.Prepared != "" && !ok {
		return query.Reply{Failure: &query.Failure{Reason: query.UnknownName}}
	}
	if ran := describeRun(t, c.values["v"]); ran != s.Text {
		c.m.wrong = append(c.m.wrong, s.Text+" ran as "+ran)
	}
	c.m.signatures++
	return query.Reply{Signature: strconv.Itoa(c.m.signatures)}
}

// describeRun returns the text of a statement that must run with a template and a value.
func describeRun(t query.Template, value string) string {
	return strconv.FormatBool(t.Write) + " " + t.Text + " " + value
}

// executeRequest returns a request that executes a template with a session value.
func executeRequest(t query.Template, value string, stage query.Stage) *query.Request {
	r := request("s", value, stage, query.ActionRead)
	r.Template, r.Text = &t, describeRun(t, value)
	if value == "" {
		r.Values = nil
	}
	return r
}

func newPreparingPool(m *preparingMember) *pool.Pool {
	return pool.New(pool.Config{
		Member: catalog.Member{ID: "m", Slots: 1}, Connections: 4, Dialer: m, Now: time.Now,
		ObservePosition: func(logpos.Position, time.Time) {}, Log: hclog.NewNullLogger(),
	})
}

var _ = Describe("a prepared template", func() {
	It("isn't taken for another one whose 64-bit hash is the same", func() {
		m := &preparingMember{}
		p := newPreparingPool(m)
		for _, s := range []string{
			"select-slot-by-yard-and-contractor-for-the-week-of-a-spreading-",
			"select-+dRPs)Dtyard-and-contractor-for-sjQxCvNF-of-a-spreading-",
		} {
			Expect(run(p, executeRequest(query.Template{Write: true, Text: s}, "", query.Single)).Failure).To(BeNil())
		}
		Expect(m.wrong).To(BeEmpty())
	})

	It("is the one that runs, with the values of its session, whatever ran before on the connection", func() {
		text := rapid.OneOf(rapid.String(), rapid.StringMatching("[a-d]{1,2}"), rapid.Map(rapid.IntRange(1, 200_000), func(n int) string { return strings.Repeat("x", n) }))
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := &preparingMember{}
			p := newPreparingPool(m)
			for range rapid.IntRange(1, 30).Draw(t, "requests") {
				h := query.Template{Write: rapid.Bool().Draw(t, "write"), Text: text.Draw(t, "template")}
				v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "value")
				stages := rapid.SampledFrom([][]query.Stage{{query.Single}, {query.First, query.Later, query.Later}}).Draw(t, "stages")
				for _, s := range stages {
					if o := run(p, executeRequest(h, v, s)); o.Failure != nil {
						t.Fatal(o.Failure)
					}
				}
				if len(stages) > 1 {
					run(p, request("s", "", query.Abandon, query.ActionRead))
				}
			}
			if len(m.wrong) > 0 {
				t.Fatal(m.wrong)
			}
		})
	})

	It("doesn't fill the memory when a connection runs ever new ones", func() {
		m := &preparingMember{}
		p := newPreparingPool(m)
		for i := range 5000 {
			h := query.Template{Text: "t" + strconv.Itoa(i)}
			if i%100 == 0 {
				h.Text += strings.Repeat("x", 100_000)
			}
			Expect(run(p, executeRequest(h, "1", query.Single)).Failure).To(BeNil())
		}
		Expect(m.wrong).To(BeEmpty())
		Expect(m.maxNames).To(BeNumerically("<=", 512))
		Expect(m.maxBytes).To(BeNumerically("<=", 128<<10))
		Expect(m.closed).To(BeZero())
	})

	It("isn't kept beyond its request if it is larger than all that a connection keeps", func() {
		m := &preparingMember{}
		p := newPreparingPool(m)
		large := query.Template{Text: strings.Repeat("x", 1<<20-100)}
		for range 2 {
			Expect(run(p, executeRequest(large, "1", query.Single)).Failure).To(BeNil())
		}
		Expect(m.resets).To(Equal(1))
		Expect(m.wrong).To(BeEmpty())
	})
})

var _ = Describe("a probe whose reset the member refuses", func() {
	It("doesn't let the next statement run with the values of another session", func() {
		m := &preparingMember{refuseResets: true}
		p := newPreparingPool(m)
		t := query.Template{Text: "t"}
		Expect(run(p, executeRequest(t, "1", query.Single)).Failure).To(BeNil())
		o, err := p.Probe(context.Background(), query.ResetSession{}, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Failure).NotTo(BeNil())
		Expect(run(p, executeRequest(t, "", query.Single)).Failure).To(BeNil())
		Expect(m.wrong).To(BeEmpty())
	})
})
