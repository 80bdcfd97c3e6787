package entry

import (
	"strconv"

	"github.com/dragonflypick/dragonflypick/query"
)

// Bounds of what a session keeps for its caller. All of its values, and one prepared
// statement, are part of each request to another daemon, which accepts no longer ones.
const (
	// maxKeptBytes bounds the values and the prepared statements together.
	maxKeptBytes = 3 << 20
	// keptOverhead is what each of them counts besides its texts, in bytes.
	keptOverhead = 100
)

func valueSize(v query.Value) int { return len(v.Name) + len(v.Text) + keptOverhead }

func preparedSize(name string, t query.Template) int { return len(name) + len(t.Text) + keptOverhead }

// keep accounts for n more bytes, or less if n is negative, that the session keeps. It
// returns a failure if they are too many.
func (s *Session) keep(n int) *query.Failure {
	if n > 0 && s.kept+n > maxKeptBytes {
		return &query.Failure{Reason: query.Overloaded, Text: "the session's values and prepared statements would have " + strconv.Itoa(s.kept+n) + " bytes"}
	}
	s.kept += n
	return nil
}

// setValue sets a session value.
func (s *Session) setValue(v query.Value) *query.Failure {
	n := valueSize(v)
	l := make([]query.Value, 0, len(s.values)+1)
	found := false
	for _, o := range s.values {
		if o.Name == v.Name {
			n -= valueSize(o)
			o, found = v, true
		}
		l = append(l, o)
	}
	if !found {
		l = append(l, v)
	}
	if f := s.keep(n); f != nil {
		return f
	}
	s.values = l
	return nil
}

// prepare stores a template under a name.
func (s *Session) prepare(t query.Prepare) *query.Failure {
	n := preparedSize(t.Name, t.Template)
	if o, ok := s.prepared[t.Name]; ok {
		n -= preparedSize(t.Name, o)
	}
	if f := s.keep(n); f != nil {
		return f
	}
	s.prepared[t.Name] = t.Template
	return nil
}

// deallocate deletes a prepared name.
func (s *Session) deallocate(t query.Deallocate) *query.Failure {
	o, ok := s.prepared[t.Name]
	if !ok {
		return &query.Failure{Reason: query.UnknownName, Text: t.Name}
	}
	delete(s.prepared, t.Name)
	return s.keep(-preparedSize(t.Name, o))
}
