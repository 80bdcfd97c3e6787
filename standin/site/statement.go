package site

import (
	"maps"
	"strings"
	"time"
)

// statement is a statement as its client sent it.
type statement struct {
	id, sessionID, text string
	sent                time.Time
	// key is the key of the client.
	key          string
	ownWrites    bool
	maxStaleness time.Duration
	// inTransaction reports whether the client had a transaction open.
	inTransaction bool
	// values are the session values that the client had set.
	values map[string]string
	// prepared is what the client had prepared under the name that the statement
	// executes: READ or WRITE and the shape.
	prepared string
	// received is set once a member has received the statement.
	received bool
}

// isText reports whether a text that a member got is that of the statement. Names of
// prepared statements may differ.
func (a *statement) isText(text string) bool {
	w, rest := cutWord(text)
	v, sent := cutWord(a.text)
	if w != "EXECUTE" || v != w {
		return text == a.text
	}
	_, rest, ok := strings.Cut(rest, " ")
	_, sent, _ = strings.Cut(sent, " ")
	return ok && rest == sent
}

// sessionIDOf returns the ID of the client session that sent a statement, "" if
// none did.
func (s *Site) sessionIDOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.statements[id]; a != nil {
		return a.sessionID
	}
	return ""
}

// checkStatement reports a statement that no client has sent (UNASKED), or that
// runs in another session's transaction, outside its own transaction, or with
// session values other than the client's (PINNED). It returns the statement as
// the client sent it, nil if none did.
func (s *Site) checkStatement(id, text string, on *backendSession) *statement {
	s.mu.Lock()
	a := s.statements[id]
	if a != nil {
		a.received = true
	}
	s.mu.Unlock()
	if a == nil {
		s.reportViolation("UNASKED", "%s ran %s, which no client sent", quote(id), quote(text))
		return nil
	}
	if !a.isText(text) {
		s.reportViolation("UNASKED", "%s ran %s instead of %s", quote(id), quote(text), quote(a.text))
	}
	s.checkTeam(a, on.who)
	if on.state != 'I' && on.transactionSessionID != a.sessionID {
		s.reportViolation("PINNED", "%s of %s ran in the transaction of %s", quote(id), quote(a.sessionID), quote(on.transactionSessionID))
	}
	if a.inTransaction && on.state == 'I' {
		s.reportViolation("PINNED", "%s of %s ran outside its transaction", quote(id), quote(a.sessionID))
	}
	if !maps.Equal(on.values, a.values) {
		s.reportViolation("PINNED", "%s ran with session values %.200q instead of %.200q", quote(id), on.values, a.values)
	}
	return a
}

// checkPrepared reports a statement that executes something else than its client has
// prepared.
func (s *Site) checkPrepared(id, prepared string) {
	s.mu.Lock()
	a := s.statements[id]
	s.mu.Unlock()
	if a != nil && a.prepared != prepared {
		s.reportViolation("PINNED", "%s ran %s instead of %s, which its client has prepared", quote(id), quote(prepared), quote(a.prepared))
	}
}
