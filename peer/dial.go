package peer

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dragonflypick/dragonflypick/membership"
)

// dial opens a connection to a daemon and its control stream.
func (n *Node) dial(h membership.Host) (*session, *jsonrpc2.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", h.PeerAddress)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	n.mu.Lock()
	self := n.config.Self
	n.mu.Unlock()
	compresses, err := sendHello(c, n.config.Secret, self, expectedID(h))
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	kind, newStream := streamControl, jsonrpc2.NewPlainObjectStream
	if compresses && h.Region != "" && h.Region != self.Region {
		kind, newStream = streamCompressedControl, newCompressedStream
	}
	s, err := newSession(n.countBytes(c, h.Region), clientSession)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	t, err := s.openStream()
	if err == nil {
		_, err = t.Write([]byte{kind})
	}
	if err != nil {
		_ = s.Close()
		return nil, nil, Error.Wrap(err)
	}
	d := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	})
	return s, jsonrpc2.NewConn(n.ctx, newStream(t), d, n.logger()), nil
}

// ShowsEnd reports whether the failure of a call shows that the daemon has ended:
// its machine refused the connection, or another daemon answered. A running daemon
// always listens.
func ShowsEnd(err error) bool {
	var o *WrongHostError
	return errors.As(err, &o) || errors.Is(err, syscall.ECONNREFUSED)
}

// SeedHost returns a host of which only the address is known.
func SeedHost(address string) membership.Host {
	return membership.Host{ID: seedPrefix + address, PeerAddress: address}
}

// seedPrefix is the prefix of the ID of a host of which only the address is
// known.
const seedPrefix = "seed:"

// expectedID returns the ID that the daemon at the host's address must have, or
// "" for any.
func expectedID(h membership.Host) string {
	if strings.HasPrefix(h.ID, seedPrefix) {
		return ""
	}
	return h.ID
}
