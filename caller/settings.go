package caller

import (
	"sort"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/session"
	"github.com/dragonflypick/dragonflypick/statement"
)

// settingPrefix is the prefix of session settings in startup messages and
// parameter statuses.
const settingPrefix = "dragonflypick."

// settingSession is the name of the parameter with the session's token.
const settingSession = settingPrefix + "session"

// settings are the defaults of a session for all its statements.
type settings struct {
	rank      bundle.Rank
	tolerance time.Duration
	readClass string
	// key is the idempotency key of the next write only.
	key string
}

// applyStartup applies the settings of the startup message. Those of
// PostgreSQL itself are ignored, as they can't be set on pooled connections.
func (n *callerSession) applyStartup(p map[string]string) error {
	names := make([]string, 0, len(p))
	for k := range p {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		s, ok := strings.CutPrefix(k, settingPrefix)
		if !ok {
			continue
		}
		if e := n.applySetting(s, p[k]); e != nil {
			return e
		}
	}
	return n.applyOptions(p["options"])
}

// applyOptions applies settings from the startup option string, in the form
// "-c dragonflypick.rank=urgent".
func (n *callerSession) applyOptions(o string) error {
	f := statement.Fields(o)
	for i, x := range f {
		if i == 0 || f[i-1] != "-c" {
			x = strings.TrimPrefix(x, "-c")
		}
		s, ok := strings.CutPrefix(x, settingPrefix)
		if !ok {
			continue
		}
		k, v, _ := strings.Cut(s, "=")
		if e := n.applySetting(k, v); e != nil {
			return e
		}
	}
	return nil
}

// applySetting sets one setting; the name is without the prefix.
func (n *callerSession) applySetting(name, value string) *RefusedError {
	bad := &RefusedError{Code: codeBadSetting, Message: "invalid value for " + settingPrefix + name}
	switch name {
	case "rank":
		k, ok := bundle.ParseRank(value)
		if !ok {
			bad.Hint = "Ranks are urgent, routine and background."
			return bad
		}
		n.settings.rank = k
	case "tolerance":
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			bad.Hint = "A tolerance is a duration such as 5s."
			return bad
		}
		n.settings.tolerance = d
	case "class":
		if b := n.server.config.Bundle(); value != "" && b != nil {
			if _, ok := b.ReadClass(value); !ok {
				bad.Hint = "The bundle in force has no such read class."
				return bad
			}
		}
		n.settings.readClass = value
	case "key":
		n.settings.key = value
	case "session":
		p, err := session.ParseToken(n.group, value)
		if err != nil {
			bad.Hint = err.Error()
			return bad
		}
		n.floor = n.floor.Raise(p)
	default:
		return &RefusedError{Code: codeUnknownSetting, Message: "unknown setting " + settingPrefix + name, Hint: "Settings are rank, tolerance, class, key and session."}
	}
	return nil
}

// settingValue returns the value of a setting as text.
func (n *callerSession) settingValue(name string) (string, *RefusedError) {
	switch name {
	case "rank":
		return n.settings.rank.String(), nil
	case "tolerance":
		return n.settings.tolerance.String(), nil
	case "class":
		return n.settings.readClass, nil
	case "key":
		return n.settings.key, nil
	case "session":
		return session.FormatToken(n.group, n.floor.Position), nil
	default:
		return "", &RefusedError{Code: codeUnknownSetting, Message: "unknown setting " + settingPrefix + name}
	}
}

// statementOptions are the options of one statement from its hints and the
// session's settings.
type statementOptions struct {
	rank      bundle.Rank
	tolerance time.Duration
	ageOnly   bool
	ownWrites bool
	key       string
}

// statementOptions merges the hints of a statement with the session's settings,
// within the limits of the bundle.
func (n *callerSession) statementOptions(b *bundle.Bundle, h statement.Hints) (statementOptions, *RefusedError) {
	if h.Invalid != "" {
		return statementOptions{}, &RefusedError{Code: codeBadSetting, Message: "hint can't be read: " + h.Invalid, Hint: "Hints are rank=, tolerance=, class= and key=."}
	}
	w := statementOptions{rank: n.settings.rank, tolerance: n.settings.tolerance, key: n.settings.key}
	if h.HasRank {
		w.rank = h.Rank
	}
	if h.Tolerance > 0 {
		w.tolerance = h.Tolerance
	}
	if h.Key != "" {
		w.key = h.Key
	}
	c := n.settings.readClass
	if h.ReadClass != "" {
		c = h.ReadClass
	}
	if c == "" {
		w.tolerance = min(w.tolerance, time.Duration(b.Limits.Tolerance))
		return w, nil
	}
	k, ok := b.ReadClass(c)
	if !ok {
		return w, &RefusedError{Code: codeBadSetting, Message: "the bundle in force has no read class \"" + c + "\""}
	}
	if w.tolerance == 0 || w.tolerance > time.Duration(k.Age) {
		w.tolerance = time.Duration(k.Age)
	}
	w.ownWrites, w.ageOnly = k.OwnWrites, !k.OwnWrites
	return w, nil
}

// runLocalStatement answers a statement that concerns only the session and needs
// no backend server.
func (n *callerSession) runLocalStatement(c statement.Classification) *RefusedError {
	switch c.Kind {
	case statement.SetProxySetting:
		if e := n.applySetting(c.Setting, c.Value); e != nil {
			return e
		}
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	case statement.Ignored:
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
	case statement.ShowProxySetting:
		v, e := n.settingValue(c.Setting)
		if e != nil {
			return e
		}
		n.send(&pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
		n.send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
	default:
		n.send(&pgproto3.EmptyQueryResponse{})
	}
	return nil
}

// describeLocal sends the row description of a statement that runLocalStatement
// answers, and reports whether it returns rows.
func (n *callerSession) describeLocal(c statement.Classification) bool {
	if c.Kind != statement.ShowProxySetting {
		return false
	}
	n.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(settingPrefix + c.Setting), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
	}}})
	return true
}

// oidText is PostgreSQL's object ID of the type text.
const oidText = 25

func isLocalKind(k statement.Kind) bool {
	return k == statement.SetProxySetting || k == statement.ShowProxySetting || k == statement.Ignored || k == statement.Empty
}
