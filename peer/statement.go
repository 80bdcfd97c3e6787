package peer

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/wire"
)

// Message types of a statement stream besides those of PostgreSQL.
const (
	// typeHeader opens a stream; its body is a Header.
	typeHeader = byte('h')
	// TypeVerdict carries a Verdict.
	TypeVerdict = byte('v')
	// TypeCancel asks the owner to cancel the running statement.
	TypeCancel = byte('c')
)

// Kind tells what a statement stream needs.
type Kind string

// The kinds of statement stream.
const (
	KindRead        Kind = "read"
	KindWrite       Kind = "write"
	KindTransaction Kind = "transaction"
)

// Header tells the owner how to treat a stream's statements.
type Header struct {
	Group  string `json:"group"`
	Member string `json:"member"`
	Caller string `json:"caller"`
	// Rank is the rank's number.
	Rank int  `json:"rank"`
	Kind Kind `json:"kind"`
	// Remaining is the time to the deadline when the header was sent.
	Remaining time.Duration `json:"remaining"`
	// Floor is the session's floor; a replica that hasn't reached it may serve
	// a read only by Tolerance.
	Floor logpos.Position `json:"floor"`
	// Tolerance is the accepted age of data; zero accepts none.
	Tolerance time.Duration `json:"tolerance,omitempty"`
	// AgeOnly tells that the floor doesn't hold for this read.
	AgeOnly bool `json:"age-only,omitempty"`
	// OwnWrites tells that the floor holds besides Tolerance.
	OwnWrites bool `json:"own-writes,omitempty"`
	// Key is the idempotency key of a write.
	Key string `json:"key,omitempty"`
	// Digest identifies the statement and parameters that Key stands for.
	Digest string `json:"digest,omitempty"`
}

// Outcome is what became of a stream's statements.
type Outcome string

// The outcomes of a verdict.
const (
	// Done comes before the ReadyForQuery of an answer that is whole.
	Done Outcome = "done"
	// NotRun means that the statement was not run, or rolled back for sure.
	NotRun Outcome = "not-run"
	// Moved means not run, and another member should be asked.
	Moved Outcome = "moved"
	// InDoubt means that the statement may have been run.
	InDoubt Outcome = "in-doubt"
)

// Verdict is the owner's word on a stream's statements.
type Verdict struct {
	Outcome Outcome `json:"outcome"`
	// Reason is a short word for logs and metrics.
	Reason string `json:"reason,omitempty"`
	// DrainingHost is the ID of the host that gave the verdict, if it leaves.
	DrainingHost string `json:"left,omitempty"`
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Position is the log position that the statement wrote or read at.
	Position logpos.Position `json:"position"`
	// View is what the owner knows of the group.
	View *failover.View `json:"view,omitempty"`
}

// Stream carries the statements of one transaction between an entry and an
// owner. Reading and writing may be done side by side; writes are safe for
// concurrent use.
type Stream struct {
	n net.Conn
	r *wire.Reader

	mu sync.Mutex
	w  *wire.Writer
}

// NewStream returns a Stream over a connection.
func NewStream(n net.Conn) *Stream {
	return &Stream{n: n, r: wire.NewReader(n, wire.MaxMessage), w: wire.NewWriter(n)}
}

// Read returns the next message.
func (s *Stream) Read() (wire.Message, error) {
	m, err := s.r.Read()
	return m, Error.Wrap(err)
}

// Buffered returns the number of bytes that can be read without waiting.
func (s *Stream) Buffered() int { return s.r.Buffered() }

// Write adds messages to the buffer.
func (s *Stream) Write(m ...wire.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range m {
		if err := s.w.Write(x); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Flush sends what is buffered.
func (s *Stream) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Error.Wrap(s.w.Flush())
}

// SetReadDeadline bounds the next reads.
func (s *Stream) SetReadDeadline(t time.Time) error { return Error.Wrap(s.n.SetReadDeadline(t)) }

// Close ends the stream.
func (s *Stream) Close() error { return Error.Wrap(s.n.Close()) }

// WriteHeader sends the header, which comes first.
func (s *Stream) WriteHeader(h Header) error { return s.writeJSON(typeHeader, h) }

// WriteVerdict sends a verdict.
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
