package query

import (
	"iter"
	"slices"

	"github.com/dragonflypick/dragonflypick/textjson"
)

// requestJSON and responseJSON are encoded like other structs.
type (
	requestJSON  Request
	responseJSON Response
)

// Encodable returns what encodes like the request at less cost than the request itself.
func (r *Request) Encodable() any {
	if textjson.Valid(r.texts()) {
		return (*requestJSON)(r)
	}
	return r
}

// Encodable returns what encodes like the response at less cost than the response itself.
func (r *Response) Encodable() any {
	if textjson.Valid(r.texts()) {
		return (*responseJSON)(r)
	}
	return r
}

// MarshalJSON encodes the request. Its strings may hold any bytes.
func (r Request) MarshalJSON() ([]byte, error) {
	r.Values = slices.Clone(r.Values)
	if r.Template != nil {
		t := *r.Template
		r.Template = &t
	}
	return textjson.Marshal((*requestJSON)(&r), r.texts())
}

// UnmarshalJSON decodes the request.
func (r *Request) UnmarshalJSON(b []byte) error {
	return textjson.Unmarshal(b, (*requestJSON)(r), r.texts())
}

// texts returns all strings of the request.
func (r *Request) texts() iter.Seq[*string] {
	return func(yield func(*string) bool) {
		for _, t := range []*string{&r.ID, &r.Group, &r.Member, &r.Team, &r.Session, &r.Transaction, &r.BeginID, &r.Text} {
			if !yield(t) {
				return
			}
		}
		for i := range r.Values {
			if v := &r.Values[i]; !yield(&v.Name) || !yield(&v.Text) {
				return
			}
		}
		if r.Template != nil {
			yield(&r.Template.Text)
		}
	}
}

// MarshalJSON encodes the response. Its strings may hold any bytes.
func (r Response) MarshalJSON() ([]byte, error) {
	r.Rows, r.Members = slices.Clone(r.Rows), slices.Clone(r.Members)
	if r.Failure != nil {
		f := *r.Failure
		r.Failure = &f
	}
	return textjson.Marshal((*responseJSON)(&r), r.texts())
}

// UnmarshalJSON decodes the response.
func (r *Response) UnmarshalJSON(b []byte) error {
	return textjson.Unmarshal(b, (*responseJSON)(r), r.texts())
}

// texts returns all strings of the response that are sent.
func (r *Response) texts() iter.Seq[*string] {
	return func(yield func(*string) bool) {
		if !yield(&r.Signature) || !yield(&r.Member) || !yield(&r.Holder) {
			return
		}
		for i := range r.Rows {
			if !yield(&r.Rows[i]) {
				return
			}
		}
		for i := range r.Members {
			if !yield(&r.Members[i].Member) {
				return
			}
		}
		if f := r.Failure; f != nil && yield((*string)(&f.Reason)) {
			yield(&f.Text)
		}
	}
}
