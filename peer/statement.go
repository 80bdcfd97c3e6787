package peer

import (
	"encoding/json"
	"iter"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/textjson"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Message types of a statement stream in addition to those of PostgreSQL.
const (
	// typeHeader opens a stream; its body is a Header.
	typeHeader = byte('h')
	// TypeVerdict carries a Verdict.
	TypeVerdict = byte('v')
	// TypeCancel requests that the owner cancel the running statement.
	TypeCancel = byte('c')
)

// Kind is the kind of request that a statement stream carries.
type Kind string

// The kinds of statement stream.
const (
	KindRead        Kind = "read"
	KindWrite       Kind = "write"
	KindTransaction Kind = "transaction"
)

// Header describes a stream's statements to the owner.
type Header struct {
	Group  string `json:"group"`
	Member string `json:"member"`
	Caller string `json:"caller"`
	// Rank is the rank's number.
	Rank int  `json:"rank"`
	Kind Kind `json:"kind"`
	// Remaining is the time left until the deadline when the header was sent.
	Remaining time.Duration `json:"remaining"`
	// Floor is the session's floor; a replica that hasn't reached it may serve a
	// read only within Tolerance.
	Floor logpos.Position `json:"floor"`
	// Tolerance is the accepted age of data; zero accepts none.
	Tolerance time.Duration `json:"tolerance,omitempty"`
	// AgeOnly means that the floor doesn't apply to this read.
	AgeOnly bool `json:"age-only,omitempty"`
	// OwnWrites means that the floor applies in addition to Tolerance.
	OwnWrites bool `json:"own-writes,omitempty"`
	// Key is the idempotency key of a write.
	Key string `json:"key,omitempty"`
	// Digest identifies the statement and parameters that Key was given to.
	Digest string `json:"digest,omitempty"`
}

// headerJSON is encoded like other structs.
type headerJSON Header

// MarshalJSON encodes the header. Its strings may hold any bytes.
func (h Header) MarshalJSON() ([]byte, error) {
	return textjson.Marshal((*headerJSON)(&h), h.texts())
}

// UnmarshalJSON decodes the header.
func (h *Header) UnmarshalJSON(b []byte) error {
	return textjson.Unmarshal(b, (*headerJSON)(h), h.texts())
}

// texts returns all strings of the header.
func (h *Header) texts() iter.Seq[*string] {
	return slices.Values([]*string{&h.Group, &h.Member, &h.Caller, (*string)(&h.Kind), &h.Key, &h.Digest})
}

// Outcome is the result of a stream's statements.
type Outcome string

// The outcomes of a verdict.
const (
	// Done is sent before the ReadyForQuery of a complete response.
	Done Outcome = "done"
	// NotRun means that the statement was not run or was certainly rolled back.
	NotRun Outcome = "not-run"
	// Redirected means not run, and that another member should be tried.
	Redirected Outcome = "moved"
	// InDoubt means that the statement may have been run.
	InDoubt Outcome = "in-doubt"
)

// Verdict is the owner's report of the outcome of a stream's statements.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	// Reason is a short word for logs and metrics.
	Reason string `json:"reason,omitempty"`
	// DrainingHost is the ID of the host that sent the verdict, if that host is
	// draining.
	DrainingHost string `json:"left,omitempty"`
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Position is the log position that the statement wrote or read at.
	Position logpos.Position `json:"position"`
	// View is the owner's view of the group.
	View *failover.View `json:"view,omitempty"`
}

// Stream carries the statements of one transaction between an entry and an
// owner. One goroutine may read while others write; writes are safe for
// concurrent use.
type Stream struct {
	conn   net.Conn
	reader *wire.Reader

	mu     sync.Mutex
	writer *wire.Writer
}

// NewStream returns a Stream over a connection.
func NewStream(n net.Conn) *Stream {
	return &Stream{conn: n, reader: wire.NewReader(n, wire.MaxBodySize), writer: wire.NewWriter(n)}
}

// Read returns the next message.
func (s *Stream) Read() (wire.Message, error) {
	m, err := s.reader.Read()
	return m, Error.Wrap(err)
}

// Buffered returns the number of bytes that can be read without waiting.
func (s *Stream) Buffered() int { return s.reader.Buffered() }

// Write adds messages to the buffer.
func (s *Stream) Write(m ...wire.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range m {
		if err := s.writer.Write(x); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Flush sends the buffered messages.
func (s *Stream) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Error.Wrap(s.writer.Flush())
}

// SetReadDeadline bounds the next reads.
func (s *Stream) SetReadDeadline(t time.Time) error { return Error.Wrap(s.conn.SetReadDeadline(t)) }

// Close ends the stream.
func (s *Stream) Close() error { return Error.Wrap(s.conn.Close()) }

// WriteHeader adds the header to the buffer; it must be the first message.
func (s *Stream) WriteHeader(h Header) error { return s.writeJSON(typeHeader, h) }

// WriteVerdict adds a verdict to the buffer.
func (s *Stream) WriteVerdict(v Verdict) error { return s.writeJSON(TypeVerdict, v) }

func (s *Stream) writeJSON(t byte, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	return s.Write(wire.Message{Type: t, Body: b})
}

// ReadHeader reads the header.
func (s *Stream) ReadHeader() (Header, error) {
	m, err := s.Read()
	if err != nil {
		return Header{}, err
	}
	if m.Type != typeHeader {
		return Header{}, Error.Wrap(&ProtocolError{Reason: "stream has no header"})
	}
	var h Header
	err = json.Unmarshal(m.Body, &h)
	return h, Error.Wrap(err)
}

// ParseVerdict reads the body of a message of TypeVerdict.
func ParseVerdict(m wire.Message) (Verdict, error) {
	var v Verdict
	err := json.Unmarshal(m.Body, &v)
	return v, Error.Wrap(err)
}
