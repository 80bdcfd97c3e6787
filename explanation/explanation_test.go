package explanation_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/explanation"
	"github.com/dragonflypick/dragonflypick/logpos"
)

func TestExplanation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Explanation")
}

var _ = Describe("Decide", func() {
	target := explanation.Decision{Member: "m", Reason: "soonest"}
	decide := func(l ...explanation.Step) explanation.Decision {
		e := explanation.Explanation{Steps: l}
		e.Decide(target)
		return e.Decision
	}
	It("sends a request that all steps let pass, on the conditions that others decide", func() {
		d := decide(explanation.Step{Verdict: explanation.Passes}, explanation.Step{Verdict: explanation.Asks, Reason: "a token is lent"})
		Expect(d).To(Equal(explanation.Decision{Outcome: explanation.Sent, Member: "m", Reason: "soonest", Conditions: []string{"a token is lent"}}))
	})
	It("refuses by the first step that refuses, and tells all changes that are needed", func() {
		d := decide(
			explanation.Step{Verdict: explanation.Asks, Reason: "a token is lent"},
			explanation.Step{Verdict: explanation.Refuses, Reason: "r", RetryAfterMS: 5, Change: "c"},
			explanation.Step{Verdict: explanation.Waits, Reason: "s", Change: "d"},
		)
		Expect(d).To(Equal(explanation.Decision{Outcome: explanation.Rejected, Reason: "r", RetryAfterMS: 5, Changes: []string{"c", "d"}}))
	})
	It("lets a request wait if a step before a refusal makes it wait", func() {
		d := decide(explanation.Step{Verdict: explanation.Waits, Reason: "s", Change: "d"}, explanation.Step{Verdict: explanation.Refuses, Reason: "r", Change: "c"})
		Expect(d.Outcome).To(Equal(explanation.Waiting))
		Expect(d.Reason).To(Equal("s"))
	})
})

var _ = Describe("Handler", func() {
	get := func(query string, h http.Handler) (int, map[string]any) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, explanation.Path+"?"+query, nil))
		var o map[string]any
		Expect(json.Unmarshal(w.Body.Bytes(), &o)).To(Succeed())
		return w.Code, o
	}
	It("passes on what Values encodes", func() {
		want := explanation.Query{Database: "d & e", Kind: explanation.Write, Team: "t", Floor: logpos.Position{Term: 3, Offset: 1200}}
		var got explanation.Query
		n, _ := get(want.Values().Encode(), explanation.Handler(func(q explanation.Query) (explanation.Explanation, error) {
			got = q
			return explanation.Explanation{}, nil
		}))
		Expect(n).To(Equal(http.StatusOK))
		Expect(got).To(Equal(want))
	})
	DescribeTable("answers with a code", func(query string, status int, code string) {
		n, o := get(query, explanation.Handler(func(q explanation.Query) (explanation.Explanation, error) {
			return explanation.Explanation{}, explanation.Error.Wrap(&explanation.UnknownNameError{Kind: "team", Name: q.Team})
		}))
		Expect(n).To(Equal(status))
		Expect(o["error"]).To(Equal(code))
	},
		Entry("for an unknown name", "database=d&kind=read&team=t", http.StatusNotFound, explanation.CodeUnknownName),
		Entry("for a wrong kind", "database=d&kind=x", http.StatusBadRequest, explanation.CodeWrongParameter),
		Entry("for a wrong floor", "database=d&kind=read&floor=x", http.StatusBadRequest, explanation.CodeWrongParameter),
	)
})
