package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

const (
	// helloTimeout bounds the exchange of hellos.
	helloTimeout = time.Second
	// maxHello is the largest hello in bytes.
	maxHello = 4 << 10
	// nonceSize is the size in bytes of each side's nonce.
	nonceSize = 16
)

// challenge is the first line of the daemon that was called.
type challenge struct {
	Nonce []byte `json:"nonce"`
}

// hello is the answer of the caller: its host and the proof of the secret.
type hello struct {
	Host  membership.Host `json:"host"`
	Want  string          `json:"want"`
	Nonce []byte          `json:"nonce"`
	Proof []byte          `json:"proof"`
}

// welcome is the proof of the daemon that was called.
type welcome struct {
	Proof []byte `json:"proof"`
	// Other is the ID of the daemon that was called, if the caller wanted
	// another one; the proof then covers it.
	Other string `json:"other,omitempty"`
}

func proof(secret, label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte(label))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func nonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b)
	return b
}

// acceptHello checks that the caller knows the secret and wants this daemon,
// and proves the same.
func acceptHello(c net.Conn, secret, self string) (membership.Host, error) {
	var h hello
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return h.Host, Error.Wrap(err)
	}
	n := nonce()
	if err := writeLine(c, challenge{Nonce: n}); err != nil {
		return h.Host, err
	}
	if err := readLine(c, &h); err != nil {
		return h.Host, err
	}
	if !hmac.Equal(h.Proof, proof(secret, "call", n, h.Nonce, []byte(h.Host.ID))) {
		return h.Host, Error.Wrap(&ProtocolError{Reason: "the caller's proof of the shared secret is wrong"})
	}
	if h.Want != "" && h.Want != self {
		_ = writeLine(c, welcome{Other: self, Proof: proof(secret, "other", h.Nonce, n, []byte(self))})
		return h.Host, Error.Wrap(&ProtocolError{Reason: "the caller wants another daemon"})
	}
	if err := writeLine(c, welcome{Proof: proof(secret, "answer", h.Nonce, n)}); err != nil {
		return h.Host, err
	}
	return h.Host, Error.Wrap(c.SetDeadline(time.Time{}))
}

// sendHello proves the secret to a daemon and checks its proof.
func sendHello(c net.Conn, secret string, self membership.Host, want string) error {
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Error.Wrap(err)
	}
	var a challenge
	if err := readLine(c, &a); err != nil {
		return err
	}
	h := hello{Host: self, Want: want, Nonce: nonce()}
	h.Proof = proof(secret, "call", a.Nonce, h.Nonce, []byte(self.ID))
	if err := writeLine(c, h); err != nil {
		return err
	}
	var w welcome
	if err := readLine(c, &w); err != nil {
		return err
	}
	if w.Other != "" && hmac.Equal(w.Proof, proof(secret, "other", h.Nonce, a.Nonce, []byte(w.Other))) {
		return Error.Wrap(&WrongHostError{Host: w.Other})
	}
	if !hmac.Equal(w.Proof, proof(secret, "answer", h.Nonce, a.Nonce)) {
		return Error.Wrap(&ProtocolError{Reason: "the daemon's proof of the shared secret is wrong"})
	}
	return Error.Wrap(c.SetDeadline(time.Time{}))
}

func writeLine(c net.Conn, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = c.Write(append(b, '\n'))
	return Error.Wrap(err)
}

// readLine reads a line byte by byte, so that nothing after it is consumed.
func readLine(c net.Conn, v any) error {
	r := bufio.NewReaderSize(oneByte{c}, 1)
	b := make([]byte, 0, 256)
	for {
		x, err := r.ReadByte()
		if err != nil {
			return Error.Wrap(err)
		}
		if x == '\n' {
			return Error.Wrap(json.Unmarshal(b, v))
		}
		if b = append(b, x); len(b) > maxHello {
			return Error.Wrap(&ProtocolError{Reason: "hello is too long"})
		}
	}
}

// oneByte gives one byte a read.
type oneByte struct{ r io.Reader }

func (o oneByte) Read(b []byte) (int, error) { return o.r.Read(b[:1]) }

// ProtocolError reports a daemon that breaks the protocol between daemons.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string { return e.Reason }

// WrongHostError reports that another daemon runs at a host's address, so the one
// that was wanted has ended.
type WrongHostError struct {
	// Host is the ID of the daemon that runs there.
	Host string
}

func (e *WrongHostError) Error() string { return "the address belongs to daemon " + e.Host }

// UnsentError reports a call that was not sent.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
