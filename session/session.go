// Package session tracks the log position that a PostgreSQL caller's session has
// observed, and formats it as a token with which the session reads its own writes
// at every daemon. Package entry manages the sessions on the users' platform.
package session

import (
	"strings"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Error is the class of all failures of this package.
var Error = errs.Class("session")

// tokenVersion is the first field of every token.
const tokenVersion = "1"

// maxTokenBytes is the maximum length of a token without its group's name.
const maxTokenBytes = 256

// Floor is the position that a replica must have reached to serve a session.
type Floor struct {
	// Known is set if Position is valid. The floor of a session without a token is
	// unknown until the primary has been queried.
	Known    bool
	Position logpos.Position
}

// Raise returns the floor after the session has observed position p.
func (f Floor) Raise(p logpos.Position) Floor {
	return Floor{Known: true, Position: logpos.Max(f.Position, p)}
}

// FormatToken formats a group's position as a token for the caller.
func FormatToken(group string, p logpos.Position) string {
	return tokenVersion + ":" + group + ":" + p.String()
}

// ParseToken returns the position of a token that a caller sent for the given
// group. The token is untrusted: a position beyond the end of the group's log only
// makes reads of that session wait or be refused.
func ParseToken(group, s string) (logpos.Position, error) {
	if len(s) > maxTokenBytes+len(group) {
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token is too long"})
	}
	// A group's name may contain colons, so only the expected one tells where it ends.
	t, ok := strings.CutPrefix(s, tokenVersion+":"+group+":")
	switch {
	case !ok && strings.HasPrefix(s, tokenVersion+":") && strings.Count(s, ":") >= 2:
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token is of another database group"})
	case !ok || strings.Contains(t, ":"):
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token has another form than version:group:position"})
	}
	p, err := logpos.Parse(t)
	if err != nil {
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token holds no position"})
	}
	return p, nil
}

// TokenError reports an invalid token.
type TokenError struct {
	Reason string
}

func (e *TokenError) Error() string { return e.Reason }
