package query_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/textjson"
)

// formerRequest and formerResponse are encoded and decoded as by builds before package
// textjson.
type (
	formerRequest  query.Request
	formerResponse query.Response
)

func newRequest(text string) query.Request {
	return query.Request{
		ID: "5c0e7a21d94b36f8", Group: "raxa5a", Member: "i-2a7389cb84", Session: "front-b-2.edd0540b/1c", Transaction: "front-b-2.edd0540b/1c#4f", Rank: 2,
		Remaining: 794 * time.Millisecond, Stage: query.First, Action: query.ActionWrite, BeginID: "5c0e7a21d94b36f7", Values: []query.Value{{Name: "tz", Text: "u3f1"}},
		Template: &query.Template{Write: true, Text: "q2c"}, Text: text, Primary: true, Floor: logpos.Position{Term: 1, Offset: 352}, MaxAge: 2500 * time.Millisecond,
	}
}

func newResponse(row string) query.Response {
	return query.Response{
		Reply:     query.Reply{Rows: []string{"qhzkwmtrbelo", row}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", State: query.Open, Position: logpos.Position{Term: 3, Offset: 1209}},
		QueueWait: time.Millisecond, Member: "i-2a7389cb84",
	}
}

const (
	utf8Text  = "1a4 Grün-gelé fasguwczdrkbqtxmc"
	otherText = "1a4 Gr\xfcn-gel\xe9 fasguwczdrkbqtxmc"
)

func TestFormerBuildReadsUTF8(t *testing.T) {
	g := gomega.NewWithT(t)
	r, o := newRequest(utf8Text), newResponse(utf8Text)
	want, err := json.Marshal(formerRequest(r))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(json.Marshal(r)).To(gomega.Equal(want))
	want, err = json.Marshal(formerResponse(o))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(json.Marshal(o)).To(gomega.Equal(want))
}

func TestFormerBuildRefusesOtherTextInsteadOfChangingIt(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := json.Marshal(newRequest(otherText))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(json.Unmarshal(b, &formerRequest{})).NotTo(gomega.Succeed())
	b, err = json.Marshal(newResponse(otherText))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(json.Unmarshal(b, &formerResponse{})).NotTo(gomega.Succeed())
}

func TestTextThatAFormerBuildHasChangedIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	var e *textjson.ReplacedError
	b, err := json.Marshal(formerRequest(newRequest(otherText)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(errors.As(json.Unmarshal(b, &query.Request{}), &e)).To(gomega.BeTrue(), "%s", b)
	b, err = json.Marshal(formerResponse(newResponse(otherText)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(errors.As(json.Unmarshal(b, &query.Response{}), &e)).To(gomega.BeTrue(), "%s", b)
}

func TestEncodingDoesNotChangeTheValue(t *testing.T) {
	g := gomega.NewWithT(t)
	r, o := newRequest(otherText), newResponse(otherText)
	r.Values[0].Text, r.Template.Text = otherText, otherText
	o.Failure, o.Members = &query.Failure{Reason: query.RunFailed, Text: otherText}, []query.MemberReport{{Member: otherText}}
	_, err := json.Marshal(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = json.Marshal(o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect([]string{r.Text, r.Values[0].Text, r.Template.Text, o.Rows[1], o.Failure.Text, o.Members[0].Member}).To(gomega.HaveEach(otherText))
}

// benchmarkJSON measures the encoding and decoding of a value.
func benchmarkJSON(b *testing.B, v any, decoded func() any) {
	b.ReportAllocs()
	var n int
	for b.Loop() {
		m, err := json.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		if err := json.Unmarshal(m, decoded()); err != nil {
			b.Fatal(err)
		}
		n = len(m)
	}
	b.ReportMetric(float64(n), "message-bytes")
}

func BenchmarkRequestJSON(b *testing.B) {
	b.Run("former", func(b *testing.B) {
		benchmarkJSON(b, formerRequest(newRequest(utf8Text)), func() any { return &formerRequest{} })
	})
	b.Run("UTF-8", func(b *testing.B) {
		benchmarkJSON(b, newRequest(utf8Text), func() any { return &query.Request{} })
	})
	b.Run("other", func(b *testing.B) {
		benchmarkJSON(b, newRequest(otherText), func() any { return &query.Request{} })
	})
}

func BenchmarkResponseJSON(b *testing.B) {
	b.Run("former", func(b *testing.B) {
		benchmarkJSON(b, formerResponse(newResponse(utf8Text)), func() any { return &formerResponse{} })
	})
	b.Run("UTF-8", func(b *testing.B) {
		benchmarkJSON(b, newResponse(utf8Text), func() any { return &query.Response{} })
	})
	b.Run("other", func(b *testing.B) {
		benchmarkJSON(b, newResponse(otherText), func() any { return &query.Response{} })
	})
}
