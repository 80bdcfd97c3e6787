package bundle

import (
	"bytes"
	"context"
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// PayloadType names the signed content in the DSSE envelope.
const PayloadType = "application/vnd.dragonflypick.bundle+json"

// Parse parses a bundle in YAML. It returns a *FormatError for malformed YAML and
// unknown or duplicate keys, and a *ContentError for faults of the content. Both
// contain file, line and column; the file's name is used only for this. The YAML
// library panics on some malformed input; this also becomes a *FormatError.
func Parse(file string, b []byte) (v *Bundle, err error) {
	defer func() {
		if r := recover(); r != nil {
			v, err = nil, Error.Wrap(&FormatError{File: file, Reason: "the YAML parser failed"})
		}
	}()
	return parse(file, b)
}

func parse(file string, b []byte) (*Bundle, error) {
	var v Bundle
	d := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict(), yaml.DisallowUnknownField())
	if err := d.Decode(&v); err != nil {
		return nil, Error.Wrap(newFormatError(file, err))
	}
	err := Check(&v)
	var c *ContentError
	if errors.As(err, &c) {
		setPositions(file, b, c.Faults)
	}
	if err != nil {
		return nil, err
	}
	return &v, nil
}

// newFormatError converts an error of the YAML library.
func newFormatError(file string, err error) *FormatError {
	e := &FormatError{File: file, Reason: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		e.Reason = y.GetMessage()
		if t := y.GetToken(); t != nil {
			e.Line, e.Column = t.Position.Line, t.Position.Column
		}
	}
	return e
}

// CanonicalJSON returns the bundle's canonical JSON: fields in the order of the
// type, without white space.
func CanonicalJSON(b *Bundle) ([]byte, error) {
	p, err := json.Marshal(b)
	return p, Error.Wrap(err)
}

// Signed is a bundle whose signatures have been checked.
type Signed struct {
	// Bundle is the content.
	Bundle *Bundle
	// Digest is the SHA-256 of the canonical JSON in hexadecimal.
	Digest string
	// Envelope is the signed bundle in its encoded form.
	Envelope []byte
	// Signers are the names of the trusted keys that signed.
	Signers []string
}

// Key is an ed25519 key of an author or approver.
type Key struct {
	// Name is the key's identifier in signatures.
	Name string
	// PublicKey verifies signatures.
	PublicKey ed25519.PublicKey
	// PrivateKey creates signatures; it is nil in a key that only verifies them.
	PrivateKey ed25519.PrivateKey
}

// NewKey generates a key pair.
func NewKey(n string) (*Key, error) {
	p, s, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Key{Name: n, PublicKey: p, PrivateKey: s}, nil
}

// PublicText formats the public key as "name:base64".
func (k *Key) PublicText() string {
	return k.Name + ":" + base64.StdEncoding.EncodeToString(k.PublicKey)
}

// PrivateText formats the seed of the private key as "name:base64".
func (k *Key) PrivateText() string {
	return k.Name + ":" + base64.StdEncoding.EncodeToString(k.PrivateKey.Seed())
}

// KeyID implements dsse.SignerVerifier. It returns the key's name.
func (k *Key) KeyID() (string, error) { return k.Name, nil }

// Public implements dsse.SignerVerifier.
func (k *Key) Public() crypto.PublicKey { return k.PublicKey }

// Sign implements dsse.SignerVerifier.
func (k *Key) Sign(_ context.Context, b []byte) ([]byte, error) {
	return ed25519.Sign(k.PrivateKey, b), nil
}

// Verify implements dsse.SignerVerifier.
func (k *Key) Verify(_ context.Context, b, s []byte) error {
	if !ed25519.Verify(k.PublicKey, b, s) {
		return Error.Wrap(&SignatureError{Reason: "signature of key " + k.Name + " is invalid"})
	}
	return nil
}

// Sign returns the bundle in a DSSE envelope signed by its author and by an
// approver with another key.
func Sign(c context.Context, b *Bundle, author, approver *Key) ([]byte, error) {
	if author.Name == approver.Name || author.PublicKey.Equal(approver.PublicKey) {
		return nil, Error.Wrap(&SignatureError{Reason: "author and approver are the same key"})
	}
	p, err := CanonicalJSON(b)
	if err != nil {
		return nil, err
	}
	s, err := dsse.NewEnvelopeSigner(author, approver)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e, err := s.SignPayload(c, PayloadType, p)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	o, err := json.Marshal(e)
	return o, Error.Wrap(err)
}

// Open verifies the signatures of an envelope as Trust requires, and returns its
// bundle. Its error is a *FormatError, *SignatureError, *TrustError or
// *ContentError.
func Open(c context.Context, b []byte, t Trust) (*Signed, error) {
	if len(b) > MaxSize {
		return nil, Error.Wrap(&FormatError{Reason: "signed bundle has " + strconv.Itoa(len(b)) + " bytes, over " + strconv.Itoa(MaxSize)})
	}
	var e dsse.Envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, Error.Wrap(&FormatError{Reason: err.Error()})
	}
	if e.PayloadType != PayloadType {
		return nil, Error.Wrap(&FormatError{Reason: "unknown payload type " + strconv.Quote(e.PayloadType)})
	}
	n, err := t.verifySigners(c, &e)
	if err != nil {
		return nil, err
	}
	p, err := e.DecodeB64Payload()
	if err != nil {
		return nil, Error.Wrap(&FormatError{Reason: err.Error()})
	}
	var v Bundle
	d := json.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return nil, Error.Wrap(&FormatError{Reason: err.Error()})
	}
	if err := Check(&v); err != nil {
		return nil, err
	}
	h := sha256.Sum256(p)
	return &Signed{Bundle: &v, Digest: hex.EncodeToString(h[:]), Envelope: b, Signers: n}, nil
}

// ParsePublicKey parses a public key in the form "name:base64".
func ParsePublicKey(s string) (*Key, error) {
	n, b, err := parseKey(s, ed25519.PublicKeySize)
	if err != nil {
		return nil, err
	}
	return &Key{Name: n, PublicKey: b}, nil
}

// ParsePrivateKey parses a private key in the form "name:base64", which
// PrivateText returns.
func ParsePrivateKey(s string) (*Key, error) {
	n, b, err := parseKey(s, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	p := ed25519.NewKeyFromSeed(b)
	return &Key{Name: n, PublicKey: p.Public().(ed25519.PublicKey), PrivateKey: p}, nil
}

func parseKey(s string, size int) (string, []byte, error) {
	n, t, ok := bytes.Cut(bytes.TrimSpace([]byte(s)), []byte(":"))
	if !ok || len(n) == 0 {
		return "", nil, Error.Wrap(&KeyError{Reason: "a key has the form name:base64"})
	}
	b, err := base64.StdEncoding.DecodeString(string(t))
	if err != nil {
		return "", nil, Error.Wrap(&KeyError{Reason: err.Error()})
	}
	if len(b) != size {
		return "", nil, Error.Wrap(&KeyError{Reason: "key has " + strconv.Itoa(len(b)) + " bytes instead of " + strconv.Itoa(size)})
	}
	return string(n), b, nil
}

// Supersedes reports whether n replaces current: whether current is nil or n has
// a higher version. Two different bundles of one version give a *ConflictError.
func Supersedes(n, current *Signed) (bool, error) {
	if current == nil || n.Bundle.Version > current.Bundle.Version {
		return true, nil
	}
	if n.Bundle.Version == current.Bundle.Version && n.Digest != current.Digest {
		return false, Error.Wrap(&ConflictError{Version: n.Bundle.Version})
	}
	return false, nil
}
