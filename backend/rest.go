package backend

import (
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/wire"
)

// UnsolicitedError reports a message of a backend server to which no request was
// outstanding, such as the second copy of an answer. The connection is unusable after it,
// since answers don't name their request.
type UnsolicitedError struct {
	// Type is the type of the message.
	Type byte
}

func (e *UnsolicitedError) Error() string {
	return "unsolicited message " + strconv.QuoteRune(rune(e.Type))
}

// IsAsynchronous reports whether a backend server may send a message of a type at any
// time.
func IsAsynchronous(messageType byte) bool {
	switch messageType {
	case wire.ParameterStatus, wire.NoticeResponse, notificationResponse:
		return true
	default:
		return false
	}
}

// notificationResponse is the type of a message.
const notificationResponse = byte('A')

// CheckRest returns an error if anything but asynchronous messages has arrived, or if the
// connection has ended. It is called when no request is outstanding, and skips those
// messages.
func (c *Conn) CheckRest() error {
	for {
		if c.Reader.Buffered() == 0 {
			arrived, err := c.socket.Pending()
			if err != nil || !arrived {
				return Error.Wrap(err)
			}
		}
		if err := c.SetReadDeadline(time.Now().Add(checkTimeout)); err != nil {
			return Error.Wrap(err)
		}
		m, err := c.Reader.Read()
		if err != nil {
			return Error.Wrap(err)
		}
		if !IsAsynchronous(m.Type) {
			return Error.Wrap(&UnsolicitedError{Type: m.Type})
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return Error.Wrap(err)
		}
	}
}
