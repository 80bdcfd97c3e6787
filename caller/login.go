package caller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/session"
)

// saslMechanism is the only authentication mechanism that callers may use.
const saslMechanism = "SCRAM-SHA-256"

// login runs the startup and authentication of a connection. For a cancel
// request it returns neither a session nor an error.
func (s *Server) login(x context.Context, c net.Conn) (*callerSession, error) {
	select {
	case s.logins <- struct{}{}:
		defer func() { <-s.logins }()
	case <-x.Done():
		return nil, Error.Wrap(x.Err())
	}
	if err := c.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return nil, Error.Wrap(err)
	}
	c, m, err := s.receiveStartup(x, c)
	if err != nil || m == nil {
		return nil, err
	}
	b := pgproto3.NewBackend(c, c)
	n, err := s.authenticate(b, c, m)
	if err == nil {
		err = s.addSession(n)
	}
	if err != nil {
		return nil, refuseLogin(b, err)
	}
	if err := n.completeLogin(b); err != nil {
		s.removeSession(n)
		return nil, err
	}
	return n, Error.Wrap(c.SetDeadline(time.Time{}))
}

// refuseLogin sends the caller a RefusedError, if err is one, and returns err.
func refuseLogin(b *pgproto3.Backend, err error) error {
	var r *RefusedError
	if errors.As(err, &r) {
		b.Send(r.response(true))
		_ = b.Flush()
	}
	return Error.Wrap(err)
}

// receiveStartup answers requests for encryption and returns the startup
// message. It carries out a cancel request and returns nil then.
func (s *Server) receiveStartup(x context.Context, c net.Conn) (net.Conn, *pgproto3.StartupMessage, error) {
	for {
		m, err := pgproto3.NewBackend(c, c).ReceiveStartupMessage()
		if err != nil {
			return c, nil, Error.Wrap(err)
		}
		switch t := m.(type) {
		case *pgproto3.SSLRequest:
			if c, err = s.negotiateTLS(c); err != nil {
				return c, nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte("N")); err != nil {
				return c, nil, Error.Wrap(err)
			}
		case *pgproto3.CancelRequest:
			if len(t.SecretKey) == 4 {
				s.cancelOrForward(x, t.ProcessID, binary.BigEndian.Uint32(t.SecretKey))
			}
			return c, nil, nil
		case *pgproto3.StartupMessage:
			return c, t, nil
		}
	}
}

func (s *Server) negotiateTLS(c net.Conn) (net.Conn, error) {
	if s.config.TLS == nil {
		_, err := c.Write([]byte("N"))
		return c, Error.Wrap(err)
	}
	if _, err := c.Write([]byte("S")); err != nil {
		return c, Error.Wrap(err)
	}
	t := tls.Server(c, s.config.TLS)
	return t, Error.Wrap(t.Handshake())
}

// authenticate checks the caller's password, group and startup settings, and
// returns a new session.
func (s *Server) authenticate(b *pgproto3.Backend, c net.Conn, m *pgproto3.StartupMessage) (*callerSession, error) {
	u := s.config.Bundle()
	if u == nil {
		return nil, &RefusedError{Code: codeCannotConnectNow, Message: "no configuration is in force yet", Hint: retryHint(time.Second)}
	}
	name := m.Parameters["user"]
	w, ok := u.Caller(name)
	if err := authenticateScram(b, name, w); err != nil {
		return nil, err
	}
	if !ok {
		return nil, badPasswordError(name)
	}
	g := m.Parameters["database"]
	if _, ok := u.Group(g); !ok {
		return nil, &RefusedError{Code: codeUnknownGroup, Message: "database group \"" + g + "\" does not exist"}
	}
	if !mayUseGroup(w, g) {
		return nil, &RefusedError{Code: codeNotAllowed, Message: "caller may not use database group \"" + g + "\""}
	}
	return s.newSession(c, u, w, g, m.Parameters)
}

func badPasswordError(name string) error {
	return &RefusedError{Code: codeBadPassword, Message: "password authentication failed for user \"" + name + "\""}
}

func mayUseGroup(w *bundle.Caller, g string) bool {
	for _, x := range w.Groups {
		if x == g {
			return true
		}
	}
	return false
}

// authenticateScram runs the SCRAM exchange. For an unknown caller it runs the
// same exchange with credentials that no password matches.
func authenticateScram(b *pgproto3.Backend, name string, w *bundle.Caller) error {
	v, err := storedCredentials(w)
	if err != nil {
		return err
	}
	h, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v, nil })
	if err != nil {
		return Error.Wrap(err)
	}
	k := h.NewConversation()
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})
	first, err := receiveInitialResponse(b)
	if err != nil {
		return err
	}
	r, err := k.Step(first)
	if err != nil {
		return badPasswordError(name)
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(r)})
	second, err := receiveFinalResponse(b)
	if err != nil {
		return err
	}
	r, err = k.Step(second)
	if err != nil || !k.Valid() {
		return badPasswordError(name)
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(r)})
	return nil
}

func storedCredentials(w *bundle.Caller) (scram.StoredCredentials, error) {
	if w == nil {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: "no such caller..", Iters: 4096},
			StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
		}, nil
	}
	v, err := bundle.ParseVerifier(w.Scram)
	return v, Error.Wrap(err)
}

func receiveInitialResponse(b *pgproto3.Backend) (string, error) {
	if err := b.Flush(); err != nil {
		return "", Error.Wrap(err)
	}
	if err := b.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return "", Error.Wrap(err)
	}
	m, err := b.Receive()
	if err != nil {
		return "", Error.Wrap(err)
	}
	f, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || f.AuthMechanism != saslMechanism {
		return "", &RefusedError{Code: codeProtocol, Message: "log-in must use " + saslMechanism}
	}
	return string(f.Data), nil
}

func receiveFinalResponse(b *pgproto3.Backend) (string, error) {
	if err := b.Flush(); err != nil {
		return "", Error.Wrap(err)
	}
	if err := b.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return "", Error.Wrap(err)
	}
	m, err := b.Receive()
	if err != nil {
		return "", Error.Wrap(err)
	}
	f, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return "", &RefusedError{Code: codeProtocol, Message: "log-in was broken off"}
	}
	return string(f.Data), nil
}

// completeLogin sends the caller the end of the startup: parameters, cancel
// key and ReadyForQuery.
func (n *callerSession) completeLogin(b *pgproto3.Backend) error {
	b.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0 (dragonflypick)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", n.params["application_name"]},
	} {
		b.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	if n.floor.Known {
		b.Send(&pgproto3.ParameterStatus{Name: settingSession, Value: session.FormatToken(n.group, n.floor.Position)})
	}
	var k [4]byte
	binary.BigEndian.PutUint32(k[:], n.cancelKey.secret)
	b.Send(&pgproto3.BackendKeyData{ProcessID: n.cancelKey.pid, SecretKey: k[:]})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return Error.Wrap(b.Flush())
}
