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

// mechanism is the log-in method that callers must use.
const mechanism = "SCRAM-SHA-256"

// login runs start-up and log-in. It returns no session for a cancel request.
func (s *Server) login(x context.Context, c net.Conn) (*client, error) {
	select {
	case s.logins <- struct{}{}:
		defer func() { <-s.logins }()
	case <-x.Done():
		return nil, Error.Wrap(x.Err())
	}
	if err := c.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return nil, Error.Wrap(err)
	}
	c, m, err := s.startup(x, c)
	if err != nil || m == nil {
		return nil, err
	}
	b := pgproto3.NewBackend(c, c)
	n, err := s.authenticate(b, c, m)
	if err == nil {
		err = s.add(n)
	}
	if err != nil {
		return nil, refuse(b, err)
	}
	if err := n.greet(b); err != nil {
		s.remove(n)
		return nil, err
	}
	return n, Error.Wrap(c.SetDeadline(time.Time{}))
}

// refuse tells the caller why it can't log in, and returns the same error.
func refuse(b *pgproto3.Backend, err error) error {
	var r *RefusedError
	if errors.As(err, &r) {
		b.Send(r.response(true))
		_ = b.Flush()
	}
	return Error.Wrap(err)
}

// startup answers requests for encryption and returns the start-up message, or
// none after a cancel request.
func (s *Server) startup(x context.Context, c net.Conn) (net.Conn, *pgproto3.StartupMessage, error) {
	for {
		m, err := pgproto3.NewBackend(c, c).ReceiveStartupMessage()
		if err != nil {
			return c, nil, Error.Wrap(err)
		}
		switch t := m.(type) {
		case *pgproto3.SSLRequest:
			if c, err = s.encrypt(c); err != nil {
				return c, nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte("N")); err != nil {
				return c, nil, Error.Wrap(err)
			}
		case *pgproto3.CancelRequest:
			if len(t.SecretKey) == 4 {
				s.cancelAnywhere(x, t.ProcessID, binary.BigEndian.Uint32(t.SecretKey))
			}
			return c, nil, nil
		case *pgproto3.StartupMessage:
			return c, t, nil
		}
	}
}

func (s *Server) encrypt(c net.Conn) (net.Conn, error) {
	if s.c.TLS == nil {
		_, err := c.Write([]byte("N"))
		return c, Error.Wrap(err)
	}
	if _, err := c.Write([]byte("S")); err != nil {
		return c, Error.Wrap(err)
	}
	t := tls.Server(c, s.c.TLS)
	return t, Error.Wrap(t.Handshake())
}

// authenticate checks the caller's password and start-up settings.
func (s *Server) authenticate(b *pgproto3.Backend, c net.Conn, m *pgproto3.StartupMessage) (*client, error) {
	u := s.c.Bundle()
	if u == nil {
		return nil, &RefusedError{Code: codeNotNow, Message: "no configuration is in force yet", Hint: retryHint(time.Second)}
	}
	name := m.Parameters["user"]
	w, ok := u.Caller(name)
	if err := exchangeScram(b, name, w); err != nil {
		return nil, err
	}
	if !ok {
		return nil, badPassword(name)
	}
	g := m.Parameters["database"]
	if _, ok := u.Group(g); !ok {
		return nil, &RefusedError{Code: codeNoGroup, Message: "database group \"" + g + "\" does not exist"}
	}
	if !mayUse(w, g) {
		return nil, &RefusedError{Code: codeNotAllowed, Message: "caller may not use database group \"" + g + "\""}
	}
	return s.newSession(c, u, w, g, m.Parameters)
}

func badPassword(name string) error {
	return &RefusedError{Code: codeBadPassword, Message: "password authentication failed for user \"" + name + "\""}
}

func mayUse(w *bundle.Caller, g string) bool {
	for _, x := range w.Groups {
		if x == g {
			return true
		}
	}
	return false
}

// exchangeScram runs the SCRAM exchange. An unknown caller gets the same
// exchange with a verifier that no password fits.
func exchangeScram(b *pgproto3.Backend, name string, w *bundle.Caller) error {
	v, err := verifier(w)
	if err != nil {
		return err
	}
	h, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v, nil })
	if err != nil {
		return Error.Wrap(err)
	}
	k := h.NewConversation()
	b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := receiveFirst(b)
	if err != nil {
		return err
	}
	r, err := k.Step(first)
	if err != nil {
		return badPassword(name)
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(r)})
	second, err := receiveSecond(b)
	if err != nil {
		return err
	}
	r, err = k.Step(second)
	if err != nil || !k.Valid() {
		return badPassword(name)
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(r)})
	return nil
}

func verifier(w *bundle.Caller) (scram.StoredCredentials, error) {
	if w == nil {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: "no such caller..", Iters: 4096},
			StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
		}, nil
	}
	v, err := bundle.ParseVerifier(w.Scram)
	return v, Error.Wrap(err)
}

func receiveFirst(b *pgproto3.Backend) (string, error) {
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
	if !ok || f.AuthMechanism != mechanism {
		return "", &RefusedError{Code: codeProtocol, Message: "log-in must use " + mechanism}
	}
	return string(f.Data), nil
}

func receiveSecond(b *pgproto3.Backend) (string, error) {
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

// greet tells the caller that it is logged in.
func (n *client) greet(b *pgproto3.Backend) error {
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
		b.Send(&pgproto3.ParameterStatus{Name: settingSession, Value: session.Token(n.group, n.floor.Position)})
	}
	var k [4]byte
	binary.BigEndian.PutUint32(k[:], n.key.secret)
	b.Send(&pgproto3.BackendKeyData{ProcessID: n.key.pid, SecretKey: k[:]})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return Error.Wrap(b.Flush())
}
