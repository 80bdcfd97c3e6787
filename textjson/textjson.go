// Package textjson encodes values whose strings may hold any bytes as JSON.
//
// encoding/json replaces bytes that aren't UTF-8. If all strings of a value are valid
// UTF-8, the value is encoded as encoding/json does it. Otherwise its strings are
// converted from ISO 8859-1, which maps each byte to a character, and the value becomes
// the second element of an array after the name of that charset. A decoder that expects
// an object refuses the array.
package textjson

import (
	"bytes"
	"encoding/json"
	"iter"
	"unicode/utf8"

	"github.com/zeebo/errs"
	"golang.org/x/text/encoding/charmap"
)

// Error is the class of all errors of this package.
var Error = errs.Class("textjson")

// charset names the charset from which strings that aren't UTF-8 are converted.
const charset = "iso-8859-1"

// replacement is how encoding/json writes a byte that isn't UTF-8. It writes the
// character U+FFFD itself unescaped.
const replacement = `\ufffd`

// Marshal encodes the value v; texts are its strings, which Marshal may change.
func Marshal(v any, texts iter.Seq[*string]) ([]byte, error) {
	if Valid(texts) {
		b, err := json.Marshal(v)
		return b, Error.Wrap(err)
	}
	d := charmap.ISO8859_1.NewDecoder()
	for t := range texts {
		s, err := d.String(*t)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		*t = s
	}
	b, err := json.Marshal([]any{charset, v})
	return b, Error.Wrap(err)
}

// Unmarshal decodes the value at v, which must be zero; texts are its strings once it is
// decoded. It refuses a value in which encoding/json has replaced bytes.
func Unmarshal(b []byte, v any, texts iter.Seq[*string]) error {
	if !bytes.HasPrefix(b, []byte("[")) {
		if HasReplacement(b) {
			return Error.Wrap(&ReplacedError{})
		}
		return Error.Wrap(json.Unmarshal(b, v))
	}
	var name string
	l := []any{&name, v}
	if err := json.Unmarshal(b, &l); err != nil {
		return Error.Wrap(err)
	}
	if len(l) != 2 || name != charset {
		return Error.Wrap(&CharsetError{Name: name})
	}
	e := charmap.ISO8859_1.NewEncoder()
	for t := range texts {
		s, err := e.String(*t)
		if err != nil {
			return Error.Wrap(err)
		}
		*t = s
	}
	return nil
}

// Valid reports whether all strings are valid UTF-8, so that encoding/json changes none.
func Valid(texts iter.Seq[*string]) bool {
	for t := range texts {
		if !utf8.ValidString(*t) {
			return false
		}
	}
	return true
}

// HasReplacement reports whether encoding/json has replaced bytes in the JSON text.
func HasReplacement(b []byte) bool {
	for {
		i := bytes.Index(b, []byte(replacement))
		if i < 0 {
			return false
		}
		// After an odd number of backslashes the next one is an escaped backslash.
		if n := i - len(bytes.TrimRight(b[:i], `\`)); n%2 == 0 {
			return true
		}
		b = b[i+len(replacement):]
	}
}

// ReplacedError reports a value that another process has encoded with bytes replaced.
type ReplacedError struct{}

func (*ReplacedError) Error() string { return "text was changed by the encoding" }

// CharsetError reports an unknown charset.
type CharsetError struct{ Name string }

func (e *CharsetError) Error() string { return "unknown charset " + e.Name }
