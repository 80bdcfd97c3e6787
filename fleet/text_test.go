package fleet

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/query"
)

// formerRequest and formerResponse are encoded and decoded as by builds that replace bytes
// that aren't UTF-8.
type (
	formerRequest  query.Request
	formerResponse query.Response
)

var _ = Describe("text that isn't UTF-8 beside a former build", func() {
	const text = "WRITE 1a4 Gr\xfcn"
	requests := map[string]query.Request{
		"read":        {ID: "q", Group: "g", Text: text, MaxAge: time.Second},
		"write":       {ID: "q", Group: "g", Text: text, Primary: true, Action: query.ActionWrite},
		"transaction": {ID: "q", Group: "g", Text: text, Primary: true, Action: query.ActionWrite, Stage: query.First, BeginID: "b"},
	}

	// executeAtFormerBuild runs a request at an owner of a former build that answers with
	// the row, and returns how many texts ran there.
	executeAtFormerBuild := func(r query.Request, row string) (o query.Response, ran int64) {
		var n atomic.Int64
		f := newEntryOf(func(r *jsonrpc2.Request) (any, error) {
			var q formerRequest
			if err := json.Unmarshal(*r.Params, &q); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
			}
			if q.Stage != query.Abandon {
				n.Add(1)
			}
			return formerResponse{Reply: query.Reply{Rows: []string{row}, Signature: "7.1", State: query.Idle}, Member: "m0"}, nil
		})
		r.Remaining = 400 * time.Millisecond
		o = f.Execute(context.Background(), &r, nil)
		return o, n.Load()
	}

	for name, r := range requests {
		It("isn't run changed by an owner of that build, "+name, func() {
			o, ran := executeAtFormerBuild(r, "row")
			Expect(o.Failure).NotTo(BeNil())
			Expect(ran).To(BeZero())
		})

		It("isn't returned changed from an owner of that build, "+name, func() {
			q := r
			q.Text = "WRITE 1a4 Gr\u00fcn"
			o, ran := executeAtFormerBuild(q, "Gr\xfcn")
			Expect(o.Failure).NotTo(BeNil())
			Expect(o.Rows).To(BeEmpty())
			Expect(ran).NotTo(BeZero())
			Expect(r.Action == query.ActionWrite && o.Failure.Reason.NotRun() && !o.MayHaveRun).To(BeFalse())
		})

		It("isn't run changed for an entry of that build, "+name, func() {
			b, err := json.Marshal(formerRequest(r))
			Expect(err).NotTo(HaveOccurred())
			_, err = newTestDaemon().handleCall(context.Background(), &jsonrpc2.Request{Method: methodExecute, Params: (*json.RawMessage)(&b)})
			var e *jsonrpc2.Error
			Expect(err).To(BeAssignableToTypeOf(e))
			Expect(err.(*jsonrpc2.Error).Code).To(BeEquivalentTo(jsonrpc2.CodeInvalidParams))
		})

		It("in UTF-8 is served by an owner of that build, "+name, func() {
			q := r
			q.Text = "WRITE 1a4 Gr\u00fcn"
			o, ran := executeAtFormerBuild(q, "Gr\u00fcn")
			Expect(o.Failure).To(BeNil())
			Expect(o.Rows).To(Equal([]string{"Gr\u00fcn"}))
			Expect(ran).To(Equal(int64(1)))
		})
	}
})
