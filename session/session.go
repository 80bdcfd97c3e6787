// Package session keeps what a caller's session has seen, so that its reads
// show its own writes on whichever daemon it arrives.
package session

import (
	"strings"

	"github.com/zeebo/errs"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Error is the class of all failures of this package.
var Error = errs.Class("session")

// tokenVersion starts every token.
const tokenVersion = "1"

// maxTokenBytes is the greatest length of a token in bytes.
const maxTokenBytes = 256

// Floor is the position that a replica must have reached to serve a session.
type Floor struct {
	// Known tells whether Position holds; a session that brings no token knows
	// no floor until the primary was asked.
	Known    bool
	Position logpos.Position
}

// Raise returns the floor after the session has seen p.
func (f Floor) Raise(p logpos.Position) Floor {
	return Floor{Known: true, Position: logpos.Max(f.Position, p)}
}

// Token formats the floor for the caller.
func Token(group string, p logpos.Position) string {
	return tokenVersion + ":" + group + ":" + p.String()
}

// ParseToken reads a token that a caller brings for the given group. The
// token is untrusted: a position that lies ahead of the group's log makes only
// the reads of its own session wait or be refused.
func ParseToken(group, s string) (logpos.Position, error) {
	if len(s) > maxTokenBytes {
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token is too long"})
	}
	f := strings.Split(s, ":")
	if len(f) != 3 || f[0] != tokenVersion {
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token has another form than version:group:position"})
	}
	if f[1] != group {
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token is of another database group"})
	}
	p, err := logpos.Parse(f[2])
	if err != nil {
		return logpos.Position{}, Error.Wrap(&TokenError{Reason: "token holds no position"})
	}
	return p, nil
}

// TokenError reports a token that can't be used.
type TokenError struct {
	Reason string
}

func (e *TokenError) Error() string { return e.Reason }
