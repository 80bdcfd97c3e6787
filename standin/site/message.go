package site

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// maxMessageSize is the size limit of a message in bytes.
const maxMessageSize = 1 << 20

// messageEnd ends a message, and is in no field.
const messageEnd = "\r\n"

// MessageSizeError reports a message that is larger than the protocol allows.
type MessageSizeError struct{ Size int }

func (e *MessageSizeError) Error() string { return fmt.Sprintf("message of %d bytes", e.Size) }

// ReadMessage reads a message and returns its kind and its fields as they were sent.
func ReadMessage(r *bufio.Reader) (kind, fields string, err error) {
	var b []byte
	for !bytes.HasSuffix(b, []byte(messageEnd)) {
		p, err := r.ReadBytes(messageEnd[len(messageEnd)-1])
		if b = append(b, p...); err != nil {
			return "", "", err
		}
		if len(b) > maxMessageSize {
			return "", "", &MessageSizeError{Size: len(b)}
		}
	}
	kind, fields = cutWord(string(b[:len(b)-len(messageEnd)]))
	return kind, fields, nil
}

// appendMessage appends a message to b.
func appendMessage(b []byte, kind string, fields ...string) []byte {
	b = append(b, kind...)
	for _, f := range fields {
		b = append(append(b, ' '), f...)
	}
	return append(b, messageEnd...)
}

// cutWord splits a text into its first field and the fields that follow.
func cutWord(s string) (word, rest string) {
	word, rest, _ = strings.Cut(s, " ")
	return word, rest
}

// quote quotes a text for a report, and abbreviates it.
func quote(s string) string { return fmt.Sprintf("%.200q", s) }
