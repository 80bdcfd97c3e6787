package statement

import "strings"

// span is the range of a statement in a text; end is exclusive.
type span struct{ start, end int }

// Split returns the statements of a text without their semicolons, and omits
// empty ones.
func Split(sql string) []string {
	var o []string
	for _, p := range splitSpans(sql) {
		t := strings.Trim(sql[p.start:p.end], whitespace)
		if len(lexCode(t)) > 0 {
			o = append(o, t)
		}
	}
	return o
}

// lexCode returns the tokens of s other than comments.
func lexCode(s string) []token {
	var o []token
	for _, t := range lex(s) {
		if !t.comment {
			o = append(o, t)
		}
	}
	return o
}

// splitSpans returns the ranges between the semicolons.
func splitSpans(sql string) []span {
	var o []span
	p := 0
	for _, t := range lex(sql) {
		if t.text == ";" && !t.comment {
			o = append(o, span{start: p, end: t.start})
			p = t.start + 1
		}
	}
	return append(o, span{start: p, end: len(sql)})
}

// StripComments replaces each comment with a space.
func StripComments(sql string) string {
	var b strings.Builder
	p := 0
	for _, t := range lex(sql) {
		if t.comment {
			b.WriteString(sql[p:t.start])
			b.WriteByte(' ')
			p = t.end
		}
	}
	b.WriteString(sql[p:])
	return b.String()
}

// MaxParameter returns the highest number of a parameter, such as 2 for $2, or 0
// if there is none.
func MaxParameter(sql string) int {
	n := 0
	l := lex(sql)
	for i, t := range l {
		if t.text != "$" || t.comment || i+1 >= len(l) {
			continue
		}
		n = max(n, parameterNumber(l[i+1].text))
	}
	return n
}

// maxParameters is the maximum number of parameters that the PostgreSQL protocol
// allows.
const maxParameters = 65535

// parameterNumber parses a parameter's number; it returns 0 if s is no valid one.
func parameterNumber(s string) int {
	n := 0
	for _, c := range s {
		if c < '0' || c > '9' {
			return 0
		}
		n = n*10 + int(c-'0')
		if n > maxParameters {
			return 0
		}
	}
	return n
}
