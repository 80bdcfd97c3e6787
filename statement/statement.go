// Package statement classifies SQL text: whether it reads or writes, whether it
// opens or ends a transaction, whether it uses a feature that can't be pooled,
// and which hints its comments contain.
package statement

import (
	"slices"
	"strings"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Kind is what a statement does.
type Kind int

// The kinds of statement.
const (
	// Empty does nothing.
	Empty Kind = iota
	// Read may run on a replica.
	Read
	// Write needs the primary.
	Write
	// Begin opens a transaction.
	Begin
	// BeginReadOnly opens a read-only transaction.
	BeginReadOnly
	// End commits or rolls back a transaction.
	End
	// SetProxySetting sets a dragonflypick setting of the session, such as
	// dragonflypick.rank.
	SetProxySetting
	// ShowProxySetting reads a dragonflypick setting of the session.
	ShowProxySetting
	// Ignored sets a parameter that has no effect on a pooled connection.
	Ignored
	// Unsupported uses a feature that doesn't work on pooled connections.
	Unsupported
)

// settingPrefix is the first word of the session settings' names and of each
// comment with hints.
const settingPrefix = "dragonflypick"

// Hints are the options that a statement's comments set.
type Hints struct {
	// Rank is valid if HasRank is set.
	Rank    bundle.Rank
	HasRank bool
	// Tolerance is the accepted age of data; zero means that no hint sets it.
	Tolerance time.Duration
	// ReadClass names a read class of the bundle.
	ReadClass string
	// Key is the idempotency key.
	Key string
	// Invalid is the first malformed or unknown hint.
	Invalid string
}

// Classification describes one SQL text, which may hold several statements.
type Classification struct {
	Kind Kind
	// Count is the number of statements in the text.
	Count int
	// Feature names the unsupported feature.
	Feature string
	// Setting and Value are set for SetProxySetting and ShowProxySetting. Setting
	// is the name without its prefix.
	Setting string
	Value   string
	Hints   Hints
}

// Classify classifies SQL text. An unknown statement is a Write, so that the
// primary accepts or rejects it.
func Classify(sql string) Classification {
	var c Classification
	var w []string
	for _, t := range lex(sql) {
		switch {
		case t.comment:
			c.Hints.parseComment(t.text)
		case t.text == ";":
			c.addStatement(w, sql)
			w = nil
		default:
			w = append(w, t.text)
		}
	}
	c.addStatement(w, sql)
	return c
}

// addStatement merges one statement, given by its tokens, into the classification
// of the text.
func (c *Classification) addStatement(w []string, sql string) {
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
	if k == SetProxySetting || k == ShowProxySetting {
		c.Setting = settingName(w)
		c.Value = settingValue(sql)
	}
	if c.Count == 1 {
		c.Kind = k
		return
	}
	c.Kind = mergeKinds(c.Kind, k)
}

// mergeKinds returns the kind of a text of kind a followed by a statement of kind
// b.
func mergeKinds(a, b Kind) Kind {
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
		if len(w) > 1 && w[1] == settingPrefix {
			return ShowProxySetting, ""
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

// selectKind returns Write for a SELECT with a keyword or function that writes or
// locks, and Unsupported for one whose effect belongs to the session.
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

// ignoredParameters are parameters that only describe the caller, or whose only
// supported value is that of every pooled connection.
var ignoredParameters = map[string]bool{
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
	case w[i] == settingPrefix && w[0] == "set":
		return SetProxySetting, ""
	case ignoredParameters[w[i]]:
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

// settingName returns the name of a setting without its prefix and dot.
func settingName(w []string) string {
	for i, t := range w {
		if t != settingPrefix {
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

// settingValue returns the text after the first "=" or TO, without its quotes.
func settingValue(sql string) string {
	l := lexCode(sql)
	i := slices.IndexFunc(l, func(t token) bool { return t.text == "=" || t.text == "to" })
	for len(l) > 0 && l[len(l)-1].text == ";" {
		l = l[:len(l)-1]
	}
	if i < 0 || i+1 >= len(l) {
		return ""
	}
	v := sql[l[i+1].start:l[len(l)-1].end]
	if len(v) >= 2 && v[0] == '\'' && v[len(v)-1] == '\'' {
		return strings.ReplaceAll(v[1:len(v)-1], "''", "'")
	}
	return v
}

// parseComment adds the hints of one comment, such as
// "dragonflypick rank=urgent key=o-17".
func (h *Hints) parseComment(s string) {
	f := Fields(s)
	if len(f) == 0 || f[0] != settingPrefix {
		return
	}
	for _, x := range f[1:] {
		if !h.setHint(x) && h.Invalid == "" {
			h.Invalid = x
		}
	}
}

// setHint sets the hint x, such as "rank=urgent", and reports whether it is valid.
func (h *Hints) setHint(x string) bool {
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
