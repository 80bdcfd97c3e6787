package textjson_test

import (
	"encoding/json"
	"errors"
	"iter"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/textjson"
)

// row is a value whose only string may hold any bytes.
type row struct {
	Text string `json:"t"`
}

func (r *row) texts() iter.Seq[*string] { return slices.Values([]*string{&r.Text}) }

func TestAnyBytesAreDecodedUnchanged(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := gomega.NewWithT(r)
		text := string(rapid.SliceOf(rapid.Byte()).Draw(r, "text"))
		sent, got := row{Text: text}, row{}
		b, err := textjson.Marshal(&sent, sent.texts())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(textjson.Unmarshal(b, &got, got.texts())).To(gomega.Succeed())
		g.Expect(got.Text).To(gomega.Equal(text))
	})
}

func TestEachByteIsDecodedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	var all []byte
	for i := range 256 {
		all = append(all, byte(i))
	}
	sent, got := row{Text: string(all)}, row{}
	b, err := textjson.Marshal(&sent, sent.texts())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(textjson.Unmarshal(b, &got, got.texts())).To(gomega.Succeed())
	g.Expect([]byte(got.Text)).To(gomega.Equal(all))
}

func TestValidTextIsEncodedLikeOtherJSON(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := gomega.NewWithT(r)
		v := row{Text: rapid.String().Draw(r, "text")}
		want, err := json.Marshal(v)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(textjson.Marshal(&v, v.texts())).To(gomega.Equal(want))
	})
}

func TestTextThatEncodingJSONHasReplacedIsRefused(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := gomega.NewWithT(r)
		v := row{Text: rapid.StringOf(rapid.RuneFrom([]rune("\\\"ufd\n\ufffd"))).Draw(r, "start") + "\xff" + rapid.String().Draw(r, "end")}
		b, err := json.Marshal(v)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got row
		var e *textjson.ReplacedError
		g.Expect(errors.As(textjson.Unmarshal(b, &got, got.texts()), &e)).To(gomega.BeTrue(), "%s", b)
	})
}

func TestReplacementCharacterOfACallerIsNotRefused(t *testing.T) {
	for _, text := range []string{"\ufffd", `\ufffd`, `\\ufffd`, "\\\\\\ufffd\ufffd", `"\ufffd`} {
		g := gomega.NewWithT(t)
		b, err := json.Marshal(row{Text: text})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got row
		g.Expect(textjson.Unmarshal(b, &got, got.texts())).To(gomega.Succeed(), text)
		g.Expect(got.Text).To(gomega.Equal(text))
	}
}

func TestMalformedArrayIsRefused(t *testing.T) {
	for _, b := range []string{`[]`, `[`, `["iso-8859-1"]`, `["iso-8859-1",{"t":"a"},1]`, `["iso-8859-2",{"t":"a"}]`, `[{"t":"a"}]`, `["iso-8859-1",{"t":"\u0100"}]`, `["iso-8859-1",["iso-8859-1",{}]]`, `"x"`, ``} {
		var got row
		gomega.NewWithT(t).Expect(textjson.Unmarshal([]byte(b), &got, got.texts())).NotTo(gomega.Succeed(), b)
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`["iso-8859-1",{"t":"a"}]`))
	f.Add([]byte(`{"t":"\\ufffd"}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var got row
		_ = textjson.Unmarshal(b, &got, got.texts())
	})
}
