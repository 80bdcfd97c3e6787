package peer

import (
	"encoding/json"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/textjson"
)

// replacedField is a field that marks a request in which the calling daemon has replaced
// bytes. jsonrpc2 encodes parameters anew, which hides that.
const replacedField = "replaced"

// requestStream marks the requests that it reads.
type requestStream struct{ jsonrpc2.ObjectStream }

// ReadObject implements jsonrpc2.ObjectStream.
func (s requestStream) ReadObject(v any) error {
	var m json.RawMessage
	if err := s.ObjectStream.ReadObject(&m); err != nil {
		return err
	}
	if textjson.HasReplacement(m) && m[0] == '{' {
		m = append([]byte(`{"`+replacedField+`":true,`), m[1:]...)
	}
	return Error.Wrap(json.Unmarshal(m, v))
}

// isReplaced reports whether the calling daemon has replaced bytes in the request.
func isReplaced(r *jsonrpc2.Request) bool {
	return slices.ContainsFunc(r.ExtraFields, func(f jsonrpc2.RequestField) bool { return f.Name == replacedField })
}
