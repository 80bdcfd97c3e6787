package peer

import (
	"context"
	"errors"
	"net"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/textjson"
	"github.com/dragonflypick/dragonflypick/wire"
)

// echoStream sends the header and the messages of a stream back.
func echoStream(_ context.Context, s *Stream) {
	defer func() { _ = s.Close() }()
	h, err := s.ReadHeader()
	if err != nil || s.WriteHeader(h) != nil {
		return
	}
	for s.Flush() == nil {
		m, err := s.Read()
		if err != nil || s.Write(m) != nil {
			return
		}
	}
}

// drawText draws a text that a message of a caller or a member may hold: any bytes but
// CR LF.
func drawText(r *rapid.T) string {
	b := rapid.OneOf(
		rapid.SliceOf(rapid.Byte()),
		rapid.SliceOf(rapid.SampledFrom([]byte("\x00\n\r \"\\<&aufd\x7f\x80\xbd\xbf\xc0\xc3\xed\xef\xfc\xff"))),
		rapid.SampledFrom([][]byte{[]byte("Gr\xfcn-gel\xe9"), []byte("Grün"), []byte("\ufffd"), []byte(`\ufffd`), []byte("\xff" + `\ufffd`), []byte("\xed\xa0\x80"), []byte("\u2028")}),
	).Draw(r, "text")
	return strings.ReplaceAll(string(b), "\r\n", "")
}

// drawTexts sets every string that a call carries in a value to a drawn text.
func drawTexts(r *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(drawText(r))
	case reflect.Pointer:
		if rapid.Bool().Draw(r, "set") {
			v.Set(reflect.New(v.Type().Elem()))
			drawTexts(r, v.Elem())
		}
	case reflect.Slice:
		if n := rapid.IntRange(0, 2).Draw(r, "length"); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
		}
		for i := range v.Len() {
			drawTexts(r, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("json") != "-" {
				drawTexts(r, v.Field(i))
			}
		}
	case reflect.Map, reflect.Interface, reflect.Func, reflect.Chan:
		r.Fatalf("no texts are drawn for a %s", v.Type())
	}
}

// regions are the regions of the called daemon: calls to another region are compressed.
var regions = map[string]string{"plain": "", "compressed": "west"}

func TestTextOfARequestIsChangedBetweenDaemons(t *testing.T) {
	for name, region := range regions {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.toB.Region = region
			rapid.Check(t, func(r *rapid.T) {
				var sent, got query.Request
				drawTexts(r, reflect.ValueOf(&sent).Elem())
				x, stop := context.WithTimeout(context.Background(), busyTime)
				defer stop()
				g := gomega.NewWithT(r)
				g.Expect(p.a.Call(x, p.toB, "request", &sent, &got)).To(gomega.Succeed())
				g.Expect(got).To(gomega.Equal(sent))
			})
		})
	}
}

func TestTextOfAResponseIsChangedBetweenDaemons(t *testing.T) {
	for name, region := range regions {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.toB.Region = region
			rapid.Check(t, func(r *rapid.T) {
				var sent, got query.Response
				drawTexts(r, reflect.ValueOf(&sent).Elem())
				x, stop := context.WithTimeout(context.Background(), busyTime)
				defer stop()
				g := gomega.NewWithT(r)
				g.Expect(p.a.Call(x, p.toB, "response", &sent, &got)).To(gomega.Succeed())
				g.Expect(got).To(gomega.Equal(sent))
			})
		})
	}
}

func TestTextOfAStatementStreamIsChangedBetweenDaemons(t *testing.T) {
	p := newPair(t)
	rapid.Check(t, func(r *rapid.T) {
		g := gomega.NewWithT(r)
		var sent Header
		drawTexts(r, reflect.ValueOf(&sent).Elem())
		m := wire.Message{Type: rapid.SampledFrom([]byte{wire.Query, wire.Parse, wire.Bind, wire.DataRow}).Draw(r, "type"), Body: rapid.SliceOfN(rapid.Byte(), 1, -1).Draw(r, "body")}
		x, stop := context.WithTimeout(context.Background(), busyTime)
		defer stop()
		s, err := p.a.OpenStream(x, p.toB)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = s.Close() }()
		g.Expect(s.WriteHeader(sent)).To(gomega.Succeed())
		g.Expect(s.Write(m)).To(gomega.Succeed())
		g.Expect(s.Flush()).To(gomega.Succeed())
		g.Expect(s.ReadHeader()).To(gomega.Equal(sent))
		g.Expect(s.Read()).To(gomega.Equal(m))
	})
}

// formerRequest is encoded as by builds that replace bytes that aren't UTF-8.
type formerRequest query.Request

func TestRequestThatAFormerBuildHasChangedIsHandled(t *testing.T) {
	for name, region := range regions {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := newPair(t)
			p.toB.Region = region
			for _, changed := range []string{"\xff", `\\` + "\xff", "\ufffd\xffa\xff"} {
				err := p.a.Call(context.Background(), p.toB, "request", formerRequest{Text: changed}, &query.Request{})
				var e *jsonrpc2.Error
				g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
				g.Expect(e.Code).To(gomega.BeEquivalentTo(jsonrpc2.CodeInvalidParams))
			}
			g.Expect(p.handled.Load()).To(gomega.BeZero())
			for _, unchanged := range []string{"\ufffd", `\ufffd`, `\\ufffd`, `"\ufffd"`} {
				var got query.Request
				g.Expect(p.a.Call(context.Background(), p.toB, "request", formerRequest{Text: unchanged}, &got)).To(gomega.Succeed())
				g.Expect(got.Text).To(gomega.Equal(unchanged))
			}
			g.Expect(p.failed.Load()).To(gomega.BeZero())
		})
	}
}

func TestHeaderThatAFormerBuildHasChangedIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	type formerHeader Header
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	var r errgroup.Group
	r.Go(func() error {
		s := NewStream(a)
		if err := s.writeJSON(typeHeader, formerHeader{Key: "o\xff17"}); err != nil {
			return err
		}
		return s.Flush()
	})
	_, err := NewStream(b).ReadHeader()
	var e *textjson.ReplacedError
	g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
	g.Expect(r.Wait()).To(gomega.Succeed())
}

func TestHostIsKnownByAChangedID(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := net.Pipe()
	var r errgroup.Group
	r.Go(func() error {
		defer func() { _ = a.Close() }()
		_, err := sendHello(a, "s", membership.Host{ID: "front\xff"}, "")
		g.Expect(err).To(gomega.HaveOccurred())
		return nil
	})
	_, err := acceptHello(b, "s", "b")
	_ = b.Close()
	var e *ProtocolError
	g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
	g.Expect(r.Wait()).To(gomega.Succeed())
}
