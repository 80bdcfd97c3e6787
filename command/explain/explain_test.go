package explain

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/command"
	"github.com/dragonflypick/dragonflypick/command/factory"
	"github.com/dragonflypick/dragonflypick/explanation"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Explain")
}

// daemon answers queries as a daemon does: reads of database d are sent, writes refused.
func daemon(q explanation.Query) (explanation.Explanation, error) {
	if q.Database != "d" {
		return explanation.Explanation{}, &explanation.UnknownNameError{Kind: "database", Name: q.Database}
	}
	e := explanation.Explanation{
		Daemon:   explanation.Daemon{ID: "a.1", Ready: true, StoreCopyMS: -1},
		Request:  explanation.Request{Kind: q.Kind, Floor: q.Floor.String()},
		Database: &explanation.Database{Name: "d", Group: "g"},
		Team:     &explanation.Team{Name: q.Team, Accountants: []explanation.Accountant{{Group: "g", RefusedMS: 40, RetryAfterMS: 90}}},
		Primary:  &explanation.Primary{Member: "p", LevelMS: -1},
		Gap:      &explanation.Gap{SinceMS: 900, ReturnMS: 1000},
		Candidates: []explanation.Candidate{
			{Member: "m", Chosen: true, Report: &explanation.Report{AgeMS: 7, Position: "3/4"}},
		},
		Skipped: []explanation.Skipped{{Member: "n", Reason: "drains"}},
		Steps:   []explanation.Step{{Name: explanation.StepPlacement, Verdict: explanation.Passes}},
	}
	if q.Kind == explanation.Write {
		e.Steps = []explanation.Step{
			{Name: explanation.StepPressure, Verdict: explanation.Refuses, Reason: "too much", Change: "there is room", RetryAfterMS: 300},
			{Name: explanation.StepHolder, Verdict: explanation.Waits, Reason: "no holder", Change: "a host holds it"},
		}
	}
	e.Decide(explanation.Decision{Member: "m", Host: "b.1", Reason: "soonest", CostMS: 20, HedgeMS: 250})
	return e, nil
}

var _ = Describe("explain", func() {
	var address string
	BeforeEach(func() {
		s := httptest.NewServer(explanation.Handler(daemon))
		DeferCleanup(s.Close)
		address = strings.TrimPrefix(s.URL, "http://")
	})
	run := func(args ...string) (out, failure string, code int) {
		var o, e bytes.Buffer
		f := &factory.Factory{Streams: &factory.Streams{Out: &o, Err: &e}}
		r := &command.Command{Name: "dragonflypick", Commands: []*command.Command{NewCmdExplain(f, nil)}}
		code = command.Execute(context.Background(), f, r, append([]string{"explain"}, args...))
		return o.String(), e.String(), code
	}

	It("prints where a request goes, with its inputs and their ages", func() {
		s, e, n := run("--daemon", address, "--database", "d", "--kind", "read", "--team", "t", "--floor", "3.4")
		Expect(e).To(BeEmpty())
		Expect(n).To(Equal(command.ExitOK))
		Expect(s).To(HavePrefix("sent to m at host b.1: soonest\n"))
		Expect(s).To(ContainSubstring("after 250 ms perhaps also to a second member"))
		Expect(s).To(ContainSubstring("refused 40 ms ago, next return after 90 ms"))
		Expect(s).To(MatchRegexp(`m <-\s+replica.*7 ms ago: log 3/4`))
		Expect(s).To(ContainSubstring("not considered: drains"))
		Expect(s).To(ContainSubstring("3/4, known here for 0 ms"))
		Expect(s).To(ContainSubstring("copy of the store never"))
	})

	It("prints why a request would be refused and all that would have to change, and exits with 0", func() {
		s, _, n := run("--daemon", address, "--database", "d", "--kind", "write")
		Expect(n).To(Equal(command.ExitOK))
		Expect(s).To(HavePrefix("refused because too much\n  the caller is told to come back after about 300 ms\n  would be served if there is room\n  and if a host holds it\n"))
	})

	It("prints JSON that decodes to the daemon's answer", func() {
		s, _, n := run("--daemon", address, "--database", "d", "--kind", "read", "--json")
		Expect(n).To(Equal(command.ExitOK))
		var e explanation.Explanation
		Expect(json.Unmarshal([]byte(s), &e)).To(Succeed())
		want, _ := daemon(explanation.Query{Database: "d", Kind: explanation.Read})
		Expect(e).To(Equal(want))
	})

	DescribeTable("reports a failure with its exit code",
		func(code int, text string, args ...string) {
			s, e, n := run(append([]string{"--daemon", address, "--database", "d", "--kind", "read"}, args...)...)
			Expect(s).To(BeEmpty())
			Expect(e).To(ContainSubstring(text))
			Expect(n).To(Equal(code))
		},
		Entry("a daemon that doesn't answer", command.ExitError, "doesn't answer", "--daemon", "127.0.0.1:1"),
		Entry("an unknown database", command.ExitRefused, `unknown database "x"`, "--database", "x"),
		Entry("another kind", command.ExitUsage, "--kind must be read or write", "--kind", "delete"),
		Entry("a floor that is no position", command.ExitUsage, "--floor", "--floor", "3"),
		Entry("an address without a port", command.ExitUsage, "--daemon", "--daemon", "10.0.0.1"),
	)

	It("says so if the server explains nothing", func() {
		for _, h := range []http.HandlerFunc{http.NotFound, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("# HELP")) }} {
			other := httptest.NewServer(h)
			DeferCleanup(other.Close)
			_, e, n := run("--daemon", strings.TrimPrefix(other.URL, "http://"), "--database", "d", "--kind", "read")
			Expect(n).To(Equal(command.ExitError))
			Expect(e).To(ContainSubstring("explains no requests"))
		}
	})

	It("has no flag for a key or password", func() {
		for _, a := range []string{"--key", "--password", "--secret"} {
			_, _, n := run("--daemon", address, "--database", "d", "--kind", "read", a, "x")
			Expect(n).To(Equal(command.ExitUsage))
		}
	})
})
