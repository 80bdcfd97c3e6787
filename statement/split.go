package statement

import "strings"

// span is a statement's place in a text.
type span struct{ from, to int }

// Split returns the statements of a text, without their semicolons. Empty
// ones are left out.
func Split(sql string) []string {
	var o []string
	for _, p := range spans(sql) {
		t := strings.Trim(sql[p.from:p.to], space)
		if len(lexWords(t)) > 0 {
			o = append(o, t)
		}
	}
	return o
}

func lexWords(s string) []token {
	var o []token
	for _, t := range lex(s) {
		if !t.comment {
			o = append(o, t)
		}
	}
	return o
}

func spans(sql string) []span {
	var o []span
	p := 0
	for _, t := range lex(sql) {
		if t.text == ";" && !t.comment {
			o = append(o, span{from: p, to: t.at})
			p = t.at + 1
		}
	}
	return append(o, span{from: p, to: len(sql)})
}

// StripComments returns the text without comments.
func StripComments(sql string) string {
	var b strings.Builder
	p := 0
	for _, t := range lex(sql) {
		if t.comment {
			b.WriteString(sql[p:t.at])
			b.WriteByte(' ')
			p = t.end
		}
	}
	b.WriteString(sql[p:])
	return b.String()
}

// MaxParameter returns the highest number of a parameter such as $2.
func MaxParameter(sql string) int {
	n := 0
	l := lex(sql)
	for i, t := range l {
		if t.text != "$" || t.comment || i+1 >= len(l) {
			continue
		}
		n = max(n, number(l[i+1].text))
	}
	return n
}

// maxParameters is the greatest number of parameters of the protocol.
const maxParameters = 65535

func number(s string) int {
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
