package owner

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/dragonflypick/dragonflypick/peer"
	"github.com/dragonflypick/dragonflypick/wire"
)

// answerCaller answers the caller's request without the backend server: it sends
// the verdict, if there is one, and then last as the result.
func (k *idempotencyKey) answerCaller(v peer.Verdict, last wire.Message) peer.Verdict {
	e := k.exchange
	_ = e.task.stream.SetReadDeadline(e.task.deadline)
	var o []wire.Message
	if e.task.header.Kind == peer.KindWrite {
		l, err := k.readBatch()
		if err != nil {
			return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
		}
		o = buildAnswer(l, last)
	} else {
		o = []wire.Message{last}
	}
	if v.Outcome != "" && e.task.stream.WriteVerdict(v) != nil {
		return peer.Verdict{Outcome: peer.NotRun, Reason: "entry-gone"}
	}
	if e.task.stream.Write(append(o, readyIdle)...) == nil {
		_ = e.task.stream.Flush()
	}
	return peer.Verdict{}
}

// readBatch reads the caller's messages up to and including the Query or Sync.
func (k *idempotencyKey) readBatch() ([]wire.Message, error) {
	var l []wire.Message
	for {
		m, err := k.exchange.task.stream.Read()
		if err != nil {
			return nil, err
		}
		l = append(l, m)
		if m.Type == wire.Query || m.Type == wire.Sync {
			return l, nil
		}
	}
}

// buildAnswer builds the answer to a batch of one statement that returns no rows.
// The message last is the result of its execution; an error ends the answer.
func buildAnswer(l []wire.Message, last wire.Message) []wire.Message {
	var o []wire.Message
	for _, m := range l {
		switch m.Type {
		case wire.Parse:
			o = append(o, wire.Message{Type: wire.ParseComplete})
		case wire.Bind:
			o = append(o, wire.Message{Type: wire.BindComplete})
		case wire.Close:
			o = append(o, wire.Message{Type: wire.CloseComplete})
		case wire.Describe:
			if len(m.Body) > 0 && m.Body[0] == 'S' {
				o = append(o, encodeMessage(&pgproto3.ParameterDescription{}))
			}
			o = append(o, encodeMessage(&pgproto3.NoData{}))
		case wire.Query, wire.Execute:
			o = append(o, last)
			if last.Type == wire.ErrorResponse {
				return o
			}
		}
	}
	return o
}

func commandComplete(tag string) wire.Message {
	return wire.Message{Type: wire.CommandComplete, Body: append([]byte(tag), 0)}
}

func errorResponse(code, message, hint string) wire.Message {
	return encodeMessage(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message, Hint: hint})
}

func encodeMessage(m pgproto3.BackendMessage) wire.Message {
	b, err := m.Encode(nil)
	if err != nil {
		return wire.Message{Type: wire.ErrorResponse, Body: []byte{0}}
	}
	return wire.Message{Type: b[0], Body: b[5:]}
}
