// Package wire reads and writes PostgreSQL protocol messages without decoding
// their bodies.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"strconv"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("wire")

// MaxBodySize is the maximum size in bytes of a message's body on connections to
// daemons and backend servers.
const MaxBodySize = 64 << 20

// headerSize is the size in bytes of a message's type and length.
const headerSize = 5

// Message types of the PostgreSQL protocol version 3 that this project handles.
const (
	Bind               = byte('B')
	Close              = byte('C')
	CopyData           = byte('d')
	CopyDone           = byte('c')
	CopyFail           = byte('f')
	Describe           = byte('D')
	Execute            = byte('E')
	Flush              = byte('H')
	FunctionCall       = byte('F')
	Parse              = byte('P')
	Password           = byte('p')
	Query              = byte('Q')
	Sync               = byte('S')
	Terminate          = byte('X')
	CommandComplete    = byte('C')
	DataRow            = byte('D')
	EmptyQueryResponse = byte('I')
	ErrorResponse      = byte('E')
	NoticeResponse     = byte('N')
	ParameterStatus    = byte('S')
	ParseComplete      = byte('1')
	BindComplete       = byte('2')
	CloseComplete      = byte('3')
	PortalSuspended    = byte('s')
	ReadyForQuery      = byte('Z')
	CopyInResponse     = byte('G')
)

// Message is one protocol message.
type Message struct {
	// Type is the message's first byte.
	Type byte
	// Body is the content after the length.
	Body []byte
}

// Size returns the message's size in bytes on the wire.
func (m Message) Size() int { return headerSize + len(m.Body) }

// Reader reads messages from a connection.
type Reader struct {
	r *bufio.Reader
	// maxBody is the maximum size of a body in bytes.
	maxBody int
}

// readBufferSize is the size in bytes of a Reader's buffer. It is small because a
// daemon holds one for every idle caller.
const readBufferSize = 2 << 10

// NewReader returns a Reader that reads from r and accepts bodies of up to limit
// bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize), maxBody: limit}
}

// Read returns the next message. The body is not reused by later calls. A message
// that is too large is skipped and returned as a *LengthError.
func (r *Reader) Read() (Message, error) {
	var h [headerSize]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		return Message{}, err
	}
	n := int(binary.BigEndian.Uint32(h[1:])) - 4
	if n < 0 {
		return Message{}, Error.Wrap(&LengthError{Type: h[0], Length: n})
	}
	if n > r.maxBody {
		if _, err := io.CopyN(io.Discard, r.r, int64(n)); err != nil {
			return Message{}, err
		}
		return Message{}, Error.Wrap(&LengthError{Type: h[0], Length: n, Max: r.maxBody})
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r.r, b); err != nil {
		return Message{}, err
	}
	return Message{Type: h[0], Body: b}, nil
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Writer writes messages. It holds a buffer only while it has something to send,
// because a daemon keeps a Writer for every idle caller.
type Writer struct {
	w io.Writer
	// buf is nil while nothing is buffered.
	buf *bufio.Writer
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// writeBufferSize is the size in bytes of a Writer's buffer.
const writeBufferSize = 4 << 10

// bufferPool holds the unused buffers of all Writers.
var bufferPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// buffer returns the Writer's buffer, taken from the pool if there is none.
func (w *Writer) buffer() *bufio.Writer {
	if w.buf == nil {
		w.buf = bufferPool.Get().(*bufio.Writer)
		w.buf.Reset(w.w)
	}
	return w.buf
}

// Write adds a message to the buffer.
func (w *Writer) Write(m Message) error {
	var h [headerSize]byte
	h[0] = m.Type
	binary.BigEndian.PutUint32(h[1:], uint32(len(m.Body)+4))
	b := w.buffer()
	if _, err := b.Write(h[:]); err != nil {
		return err
	}
	_, err := b.Write(m.Body)
	return err
}

// WriteRaw adds encoded messages to the buffer.
func (w *Writer) WriteRaw(b []byte) error {
	_, err := w.buffer().Write(b)
	return err
}

// Flush sends the buffered messages. After an error all later writes fail too.
func (w *Writer) Flush() error {
	if w.buf == nil {
		return nil
	}
	if err := w.buf.Flush(); err != nil {
		return err
	}
	w.buf.Reset(nil)
	bufferPool.Put(w.buf)
	w.buf = nil
	return nil
}

// LengthError reports a message whose length is negative or too large.
type LengthError struct {
	Type byte
	// Length is the length in bytes of the body according to the header.
	Length int
	// Max is the maximum length in bytes; zero if Length is negative.
	Max int
}

func (e *LengthError) Error() string {
	s := "message " + strconv.QuoteRune(rune(e.Type)) + " claims " + strconv.Itoa(e.Length) + " bytes"
	if e.Max > 0 {
		s += ", over " + strconv.Itoa(e.Max)
	}
	return s
}

// CString returns the text before the first zero byte.
func CString(b []byte) string {
	if i := bytes.IndexByte(b, 0); i >= 0 {
		return string(b[:i])
	}
	return string(b)
}
