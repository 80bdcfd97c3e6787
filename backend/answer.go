package backend

import (
	"bytes"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/wire"
)

// answerTypes holds the types of the messages that a backend server may send after
// the login, on a connection that isn't used for replication or function calls.
const answerTypes = "123ACDEGHINSTZcdnst"

// CheckAnswer returns an *AnswerError if a message can't be a part of an answer. It
// checks the bodies that this project reads itself.
func CheckAnswer(m wire.Message) error {
	if bytes.IndexByte([]byte(answerTypes), m.Type) < 0 {
		return Error.Wrap(&AnswerError{Type: m.Type, Reason: "has an unknown type"})
	}
	switch m.Type {
	case wire.ReadyForQuery:
		if len(m.Body) != 1 || bytes.IndexByte([]byte("ITE"), m.Body[0]) < 0 {
			return Error.Wrap(&AnswerError{Type: m.Type, Reason: "holds no transaction status"})
		}
	case wire.CommandComplete:
		if len(m.Body) == 0 || bytes.IndexByte(m.Body, 0) != len(m.Body)-1 {
			return Error.Wrap(&AnswerError{Type: m.Type, Reason: "isn't one terminated text"})
		}
	case wire.ParameterStatus:
		_, _, err := ReportedPosition(m)
		return err
	}
	return nil
}

// ReportedPosition returns the log position that a ParameterStatus reports, and false
// if it reports another parameter.
func ReportedPosition(m wire.Message) (logpos.Position, bool, error) {
	f := bytes.Split(m.Body, []byte{0})
	if len(f) != 3 || len(f[2]) > 0 {
		return logpos.Position{}, false, Error.Wrap(&AnswerError{Type: m.Type, Reason: "isn't two terminated texts"})
	}
	if string(f[0]) != PositionParameter {
		return logpos.Position{}, false, nil
	}
	p, err := logpos.Parse(string(f[1]))
	if err != nil {
		return logpos.Position{}, false, Error.Wrap(&AnswerError{Type: m.Type, Reason: "reports no log position"})
	}
	return p, true, nil
}

// AnswerError reports a message that a backend server must not send in an answer.
type AnswerError struct {
	Type   byte
	Reason string
}

func (e *AnswerError) Error() string {
	return "message " + string(rune(e.Type)) + " of the backend server " + e.Reason
}
