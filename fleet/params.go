package fleet

import (
	"encoding/json"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// decodeParams decodes the parameters of a call.
func (f *Daemon) decodeParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	decode := func(b []byte) error { return json.Unmarshal(b, v) }
	if u, ok := v.(json.Unmarshaler); ok {
		decode = u.UnmarshalJSON
	}
	if err := decode(*r.Params); err != nil {
		if skipped, ok := f.failureLines.take(time.Now()); ok {
			f.config.Log.Warn("call refused", "method", r.Method, "call", r.ID.String(), "bytes", len(*r.Params), "error", err, "skipped-lines", skipped)
		}
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}
