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
	// helloTimeout bounds the handshake of a new connection.
	helloTimeout = time.Second
	// maxHelloSize is the maximum size of a hello in bytes.
	maxHelloSize = 4 << 10
	// nonceSize is the size in bytes of each side's nonce.
	nonceSize = 16
)

// challenge is the first line of a connection; the accepting daemon sends it.
type challenge struct {
	Nonce []byte `json:"nonce"`
	// Compresses is set if the daemon accepts streams of compressed calls.
	Compresses bool `json:"compresses,omitempty"`
}

// hello is the dialing daemon's reply: its host and its proof that it has the
// shared secret.
type hello struct {
	Host membership.Host `json:"host"`
	// WantedID is the ID of the daemon that the dialing daemon expects; empty for
	// any.
	WantedID string `json:"want"`
	Nonce    []byte `json:"nonce"`
	Proof    []byte `json:"proof"`
}

// welcome is the accepting daemon's reply with its own proof.
type welcome struct {
	Proof []byte `json:"proof"`
	// ActualID is the ID of the accepting daemon if the dialing daemon expected
	// another one; Proof then covers it.
	ActualID string `json:"other,omitempty"`
}

// newProof returns an HMAC-SHA-256 under the shared secret. The label differs
// by message, so that a proof can't be replayed as another message.
func newProof(secret, label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte(label))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b)
	return b
}

// acceptHello runs the accepting daemon's side of the handshake: it checks the
// dialing daemon's proof of the secret and that it expects this daemon, and sends
// this daemon's own proof.
func acceptHello(c net.Conn, secret, selfID string) (membership.Host, error) {
	var h hello
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return h.Host, Error.Wrap(err)
	}
	n := newNonce()
	if err := writeLine(c, challenge{Nonce: n, Compresses: true}); err != nil {
		return h.Host, err
	}
	if err := readLine(c, &h); err != nil {
		return h.Host, err
	}
	if !hmac.Equal(h.Proof, newProof(secret, "call", n, h.Nonce, []byte(h.Host.ID))) {
		return h.Host, Error.Wrap(&ProtocolError{Reason: "the dialing daemon's proof of the shared secret is wrong"})
	}
	if h.WantedID != "" && h.WantedID != selfID {
		_ = writeLine(c, welcome{ActualID: selfID, Proof: newProof(secret, "other", h.Nonce, n, []byte(selfID))})
		return h.Host, Error.Wrap(&ProtocolError{Reason: "the dialing daemon expects another daemon"})
	}
	if err := writeLine(c, welcome{Proof: newProof(secret, "answer", h.Nonce, n)}); err != nil {
		return h.Host, err
	}
	return h.Host, Error.Wrap(c.SetDeadline(time.Time{}))
}

// sendHello runs the dialing daemon's side of the handshake: it sends its proof
// of the secret and checks the accepting daemon's proof. It returns whether that daemon
// accepts streams of compressed calls.
func sendHello(c net.Conn, secret string, self membership.Host, wantedID string) (compresses bool, err error) {
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return false, Error.Wrap(err)
	}
	var a challenge
	if err := readLine(c, &a); err != nil {
		return false, err
	}
	h := hello{Host: self, WantedID: wantedID, Nonce: newNonce()}
	h.Proof = newProof(secret, "call", a.Nonce, h.Nonce, []byte(self.ID))
	if err := writeLine(c, h); err != nil {
		return false, err
	}
	var w welcome
	if err := readLine(c, &w); err != nil {
		return false, err
	}
	if w.ActualID != "" && hmac.Equal(w.Proof, newProof(secret, "other", h.Nonce, a.Nonce, []byte(w.ActualID))) {
		return false, Error.Wrap(&WrongHostError{Host: w.ActualID})
	}
	if !hmac.Equal(w.Proof, newProof(secret, "answer", h.Nonce, a.Nonce)) {
		return false, Error.Wrap(&ProtocolError{Reason: "the daemon's proof of the shared secret is wrong"})
	}
	return a.Compresses, Error.Wrap(c.SetDeadline(time.Time{}))
}

func writeLine(c net.Conn, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = c.Write(append(b, '\n'))
	return Error.Wrap(err)
}

// readLine reads a line of JSON byte by byte, so that nothing after it is
// consumed.
func readLine(c net.Conn, v any) error {
	r := bufio.NewReaderSize(oneByteReader{c}, 1)
	b := make([]byte, 0, 256)
	for {
		x, err := r.ReadByte()
		if err != nil {
			return Error.Wrap(err)
		}
		if x == '\n' {
			return Error.Wrap(json.Unmarshal(b, v))
		}
		if b = append(b, x); len(b) > maxHelloSize {
			return Error.Wrap(&ProtocolError{Reason: "hello is too long"})
		}
	}
}

// oneByteReader returns one byte per read.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(b []byte) (int, error) { return o.r.Read(b[:1]) }

// ProtocolError reports a violation of the protocol between daemons.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string { return e.Reason }

// WrongHostError reports that another daemon runs at a host's address, so the
// expected daemon has ended.
type WrongHostError struct {
	// Host is the ID of the daemon that runs at the address.
	Host string
}

func (e *WrongHostError) Error() string { return "the address belongs to daemon " + e.Host }

// UnsentError reports a call that was not sent.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
