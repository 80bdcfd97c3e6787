package statement

import "strings"

// token is a word, number, symbol, quoted text or comment of SQL text.
type token struct {
	// text is a word in lower case, digits, a symbol, a quote in place of quoted
	// text, or the content of a comment.
	text string
	// comment is set for a comment.
	comment bool
	// escapes is set for a string with backslash escapes, such as E'\n'.
	escapes bool
	// start and end are the token's range in the SQL text; end is exclusive.
	start, end int
}

// whitespace holds the bytes that PostgreSQL treats as white space.
const whitespace = " \t\n\r\f\v"

// Fields splits a text at what PostgreSQL treats as white space, which is all ASCII.
func Fields(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(whitespace, r) })
}

// newlines holds the bytes that end a line comment.
const newlines = "\n\r"

// lex splits SQL text into tokens. Quoted strings and identifiers become a
// single token, so that their content can't be mistaken for a keyword.
func lex(s string) []token {
	var o []token
	for i := 0; i < len(s); {
		if strings.IndexByte(whitespace, s[i]) >= 0 {
			i++
			continue
		}
		t := nextToken(s, i, o)
		o = append(o, t)
		i = t.end
	}
	return o
}

// nextToken returns the token at i, which must not be white space; l are the tokens
// before it.
func nextToken(s string, i int, l []token) token {
	c := s[i]
	switch {
	case strings.HasPrefix(s[i:], "--"):
		n := lineEnd(s, i)
		return token{text: s[i+2 : n], comment: true, start: i, end: n}
	case strings.HasPrefix(s[i:], "/*"):
		n := blockEnd(s, i)
		return token{text: strings.TrimSuffix(s[i+2:n], "*/"), comment: true, start: i, end: n}
	case c == '\'':
		e := hasEscapes(s, i, l)
		return token{text: "'", escapes: e, start: i, end: quoteEnd(s, i, c, e)}
	case c == '"':
		return token{text: "\"", start: i, end: quoteEnd(s, i, c, false)}
	case c == '$' && dollarTag(s[i:]) != "":
		t := dollarTag(s[i:])
		return token{text: "'", start: i, end: indexAfter(s, i+len(t), t)}
	case isDigit(c):
		n := i + 1
		for n < len(s) && isDigit(s[n]) {
			n++
		}
		return token{text: s[i:n], start: i, end: n}
	case isWordByte(c):
		n := i + 1
		for n < len(s) && (isWordByte(s[n]) || s[n] == '$') {
			n++
		}
		return token{text: lower(s[i:n]), start: i, end: n}
	default:
		return token{text: s[i : i+1], start: i, end: i + 1}
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// lower returns s with the letters of ASCII in lower case: PostgreSQL compares
// keywords so.
func lower(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// indexAfter returns the index after the first t at or after i, or len(s) if
// there is none.
func indexAfter(s string, i int, t string) int {
	if n := strings.Index(s[i:], t); n >= 0 {
		return i + n + len(t)
	}
	return len(s)
}

// lineEnd returns the index of the end of the line at i.
func lineEnd(s string, i int) int {
	if n := strings.IndexAny(s[i:], newlines); n >= 0 {
		return i + n
	}
	return len(s)
}

// blockEnd returns the index after the block comment at i; block comments nest.
func blockEnd(s string, i int) int {
	d := 0
	for i < len(s) {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			d++
			i += 2
		case strings.HasPrefix(s[i:], "*/"):
			d--
			i += 2
		default:
			i++
		}
		if d == 0 {
			return i
		}
	}
	return len(s)
}

// hasEscapes reports whether the quote at i, behind the tokens l, opens a string with
// backslash escapes, or continues one on a later line. Line comments may be in between.
func hasEscapes(s string, i int, l []token) bool {
	for n := len(l) - 1; n >= 0; n-- {
		t := l[n]
		switch {
		case t.comment && strings.HasPrefix(s[t.start:], "--"):
			continue
		case t.escapes:
			return strings.ContainsAny(s[t.end:i], newlines)
		default:
			return t.text == "e" && !t.comment && t.end == i
		}
	}
	return false
}

// quoteEnd returns the index after the quoted text at i. A doubled quote does not
// end it.
func quoteEnd(s string, i int, q byte, escapes bool) int {
	for i++; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == q && i+1 < len(s) && s[i+1] == q:
			i++
		case s[i] == q:
			return i + 1
		}
	}
	return len(s)
}

// dollarTag returns the opening tag of a dollar-quoted string, or "".
func dollarTag(s string) string {
	n := 1
	for n < len(s) && isWordByte(s[n]) {
		n++
	}
	if n >= len(s) || s[n] != '$' {
		return ""
	}
	if n > 1 && s[1] >= '0' && s[1] <= '9' {
		return ""
	}
	return s[:n+1]
}
