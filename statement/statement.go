// Package statement classifies SQL text: whether it reads or writes, which
// transaction it opens or ends, which features can't be pooled, and which hints
// its comments carry.
package statement

import (
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Kind is what a statement does.
type Kind int

// The kinds of statement, in order of what they need from the backend server.
const (
	// Empty does nothing.
	Empty Kind = iota
	// Read may run on a replica.
	Read
	// Write needs the primary.
	Write
	// Begin opens a transaction.
	Begin
	// BeginReadOnly opens a transaction that reads only.
	BeginReadOnly
	// End commits or rolls back.
	End
	// SetDragonflypick changes a dragonflypick setting of the session.
	SetDragonflypick
	// ShowDragonflypick reads a dragonflypick setting of the session.
	ShowDragonflypick
	// Ignored sets a parameter that has no effect on a pooled connection.
	Ignored
	// Unsupported names a feature that breaks pooling.
	Unsupported
)

// prefix is how the names of session settings start.
const prefix = "dragonflypick"

// Hints are wishes that a statement's comment carries.
type Hints struct {
	// Rank is valid if HasRank is set.
	Rank    bundle.Rank
	HasRank bool
	// Tolerance is the accepted age of data; zero means none was named.
	Tolerance time.Duration
	// ReadClass names a read class of the bundle.
	ReadClass string
	// Key is the idempotency key.
	Key string
	// Invalid is the first hint that can't be read.
	Invalid string
}

// Classification is the classification of one text, which may hold several statements.
type Classification struct {
	Kind Kind
	// Count is the number of statements in the text.
	Count int
	// Feature names what is unsupported.
	Feature string
	// Setting and Value are those of SetDragonflypick and ShowDragonflypick; Setting has no
	// prefix.
	Setting string
	Value   string
	Hints   Hints
}

// Classify reads SQL text. Text that it doesn't know is a Write: the primary
// decides.
func Classify(sql string) Classification {
	var c Classification
	var w []string
	for _, t := range lex(sql) {
		switch {
		case t.comment:
			c.Hints.read(t.text)
		case t.text == ";":
			c.add(w, sql)
			w = nil
		default:
			w = append(w, t.text)
		}
	}
	c.add(w, sql)
	return c
}

// add merges one statement into the class of the text.
func (c *Classification) add(w []string, sql string) {
	if len(w) == 0 {
		return
	}
	c.Count++
	k, f := kindOf(w)
	if k == Unsupported {
		c.Kind, c.Feature = Unsupported, f
		return
	}
	if c.Kind == Unsupported {
		return
	}
	if k == SetDragonflypick || k == ShowDragonflypick {
		c.Setting = setting(w)
		c.Value = value(sql)
	}
	if c.Count == 1 {
		c.Kind = k
		return
	}
	c.Kind = merge(c.Kind, k)
}

// merge gives the kind of a text that holds statements of kinds a and b.
func merge(a, b Kind) Kind {
	switch {
	case a == b && a == Read:
		return Read
	case a == BeginReadOnly && (b == Read || b == End):
		return a
	case a == Ignored && b == Ignored:
		return Ignored
	default:
		return Write
	}
}

func kindOf(w []string) (Kind, string) {
	switch w[0] {
	case "select", "table", "values", "with":
		return selectKind(w)
	case "explain":
		return explainKind(w)
	case "begin":
		return beginKind(w)
	case "start":
		return beginKind(w)
	case "commit", "rollback", "end", "abort":
		return endKind(w)
	case "set", "reset":
		return setKind(w)
	case "show":
		if len(w) > 1 && w[1] == prefix {
			return ShowDragonflypick, ""
		}
		return Read, ""
	case "create":
		return createKind(w)
	case "listen", "unlisten", "notify", "copy", "load", "declare", "fetch", "move", "prepare", "execute", "deallocate", "discard", "vacuum", "cluster", "checkpoint", "attach", "detach", "pragma":
		return Unsupported, strings.ToUpper(w[0])
	default:
		return Write, ""
	}
}

// writers are functions and keywords that make a SELECT a write or refuse it.
func selectKind(w []string) (Kind, string) {
	k := Read
	for i, t := range w {
		switch {
		case strings.HasPrefix(t, "pg_advisory_") && !strings.HasPrefix(t, "pg_advisory_xact_"),
			strings.HasPrefix(t, "pg_try_advisory_") && !strings.HasPrefix(t, "pg_try_advisory_xact_"):
			return Unsupported, "session advisory locks"
		case t == "pg_notify":
			return Unsupported, "NOTIFY"
		case t == "insert" || t == "update" || t == "delete" || t == "merge" || t == "into":
			k = Write
		case t == "nextval" || t == "setval" || strings.HasPrefix(t, "pg_advisory_xact_") || strings.HasPrefix(t, "pg_try_advisory_xact_"):
			k = Write
		case t == "for" && i+1 < len(w) && (w[i+1] == "update" || w[i+1] == "share" || w[i+1] == "no" || w[i+1] == "key"):
			k = Write
		}
	}
	return k, ""
}

func explainKind(w []string) (Kind, string) {
	for _, t := range w[1:] {
		if t == "analyze" || t == "insert" || t == "update" || t == "delete" || t == "merge" {
			return Write, ""
		}
	}
	return Read, ""
}

func beginKind(w []string) (Kind, string) {
	for i := range w {
		if w[i] == "read" && i+1 < len(w) && w[i+1] == "only" {
			return BeginReadOnly, ""
		}
	}
	return Begin, ""
}

func endKind(w []string) (Kind, string) {
	for _, t := range w[1:] {
		if t == "prepared" {
			return Unsupported, "two-phase commit"
		}
		if t == "to" {
			return Write, ""
		}
	}
	return End, ""
}

// ignored are parameters whose only supported value is the one that every
// pooled connection has, or that only describe the caller.
var ignored = map[string]bool{
	"application_name": true, "client_encoding": true, "extra_float_digits": true,
	"datestyle": true, "client_min_messages": true, "intervalstyle": true,
	"standard_conforming_strings": true, "timezone": true,
}

func setKind(w []string) (Kind, string) {
	i := 1
	if i < len(w) && w[i] == "local" {
		return Write, ""
	}
	if i < len(w) && w[i] == "transaction" {
		return Write, ""
	}
	if i < len(w) && w[i] == "session" {
		i++
	}
	if i >= len(w) {
		return Write, ""
	}
	switch {
	case w[i] == prefix && w[0] == "set":
		return SetDragonflypick, ""
	case ignored[w[i]]:
		return Ignored, ""
	default:
		return Unsupported, "session parameter " + w[i]
	}
}

func createKind(w []string) (Kind, string) {
	for _, t := range w[1:] {
		switch t {
		case "temp", "temporary":
			return Unsupported, "temporary tables"
		case "table", "view", "index", "function", "sequence":
			return Write, ""
		}
	}
	return Write, ""
}

// setting returns the name after the prefix and its dot.
func setting(w []string) string {
	for i, t := range w {
		if t != prefix {
			continue
		}
		var n []string
		for _, x := range w[i+1:] {
			if x == "=" || x == "to" {
				break
			}
			if x != "." {
				n = append(n, x)
			}
		}
		return strings.Join(n, "")
	}
	return ""
}

// value returns the text after the first "=" or "TO" without its quotes.
func value(sql string) string {
	s := strings.TrimRight(strings.TrimSpace(sql), "; \n\t")
	i := strings.Index(s, "=")
	n := 1
	if i < 0 {
		i = strings.Index(strings.ToLower(s), " to ")
		n = len(" to ")
	}
	if i < 0 {
		return ""
	}
	v := strings.TrimSpace(s[i+n:])
	if len(v) >= 2 && v[0] == '\'' && v[len(v)-1] == '\'' {
		return strings.ReplaceAll(v[1:len(v)-1], "''", "'")
	}
	return v
}

// read takes the hints of one comment, such as
// "dragonflypick rank=urgent key=o-17".
func (h *Hints) read(s string) {
	f := strings.Fields(s)
	if len(f) == 0 || f[0] != prefix {
		return
	}
	for _, x := range f[1:] {
		if !h.set(x) && h.Invalid == "" {
			h.Invalid = x
		}
	}
}

func (h *Hints) set(x string) bool {
	k, v, ok := strings.Cut(x, "=")
	if !ok || v == "" {
		return false
	}
	switch k {
	case "rank":
		h.Rank, h.HasRank = bundle.ParseRank(v)
		return h.HasRank
	case "tolerance":
		d, err := time.ParseDuration(v)
		h.Tolerance = d
		return err == nil && d > 0
	case "class":
		h.ReadClass = v
		return true
	case "key":
		h.Key = v
		return true
	default:
		return false
	}
}
