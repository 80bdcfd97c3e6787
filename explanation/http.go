package explanation

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Error is the class of all failures of this package.
var Error = errs.Class("explanation")

// Path is the path at which a daemon answers queries.
const Path = "/explain"

// ContentType is the type of all answers.
const ContentType = "application/json"

// Kind is the kind of a request.
type Kind string

// Possible values of Kind.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// Query is a request to explain.
type Query struct {
	Database string
	Kind     Kind
	// Team is the name of the caller's team, empty if it has none.
	Team string
	// Floor is the position of the session's writes.
	Floor logpos.Position
}

// UnknownNameError reports a database or team that the configuration doesn't name.
type UnknownNameError struct{ Kind, Name string }

func (e *UnknownNameError) Error() string { return "unknown " + e.Kind + " " + strconv.Quote(e.Name) }

// ParameterError reports a wrong parameter of a query.
type ParameterError struct{ Name, Value string }

func (e *ParameterError) Error() string {
	return "wrong " + e.Name + " " + strconv.Quote(e.Value)
}

// ParseFloor reads a position in the form TERM.NUMBER.
func ParseFloor(s string) (logpos.Position, error) {
	p, err := logpos.Parse(strings.Replace(s, ".", "/", 1))
	if err != nil {
		return p, Error.Wrap(&ParameterError{Name: "floor", Value: s})
	}
	return p, nil
}

// Values returns the query's parameters.
func (q Query) Values() url.Values {
	v := url.Values{"database": {q.Database}, "kind": {string(q.Kind)}}
	if q.Team != "" {
		v.Set("team", q.Team)
	}
	if !q.Floor.IsZero() {
		v.Set("floor", q.Floor.String())
	}
	return v
}

func parseQuery(v url.Values) (Query, error) {
	q := Query{Database: v.Get("database"), Kind: Kind(v.Get("kind")), Team: v.Get("team")}
	if q.Kind != Read && q.Kind != Write {
		return q, Error.Wrap(&ParameterError{Name: "kind", Value: string(q.Kind)})
	}
	s := v.Get("floor")
	if s == "" {
		return q, nil
	}
	var err error
	q.Floor, err = ParseFloor(s)
	return q, err
}

// Failure is the answer to a query that isn't explained. Error is a code: unknown-name
// or wrong-parameter.
type Failure struct {
	Error string `json:"error"`
	Text  string `json:"text"`
}

// Codes of failures.
const (
	CodeUnknownName    = "unknown-name"
	CodeWrongParameter = "wrong-parameter"
)

// Handler answers queries by the given function.
func Handler(explain func(Query) (Explanation, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := parseQuery(r.URL.Query())
		var e Explanation
		if err == nil {
			e, err = explain(q)
		}
		w.Header().Set("Content-Type", ContentType)
		if err == nil {
			_ = json.NewEncoder(w).Encode(e)
			return
		}
		f, status := Failure{Error: CodeWrongParameter, Text: err.Error()}, http.StatusBadRequest
		var u *UnknownNameError
		if errors.As(err, &u) {
			f.Error, f.Text, status = CodeUnknownName, u.Error(), http.StatusNotFound
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(f)
	})
}
