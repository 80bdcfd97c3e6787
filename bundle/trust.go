package bundle

import (
	"context"
	"strconv"

	"github.com/secure-systems-lab/go-securesystemslib/dsse"
)

// Trust holds the keys whose signatures are accepted. A bundle needs valid
// signatures by two different keys: one of an approver, and one of an author or
// of another approver.
type Trust struct {
	// Authors may sign bundles as their author.
	Authors []*Key
	// Approvers may sign bundles as approver, and also as author.
	Approvers []*Key
}

// ParseTrust parses public keys in the form "name:base64". It reports all faults
// in one *TrustError.
func ParseTrust(authors, approvers []string) (Trust, error) {
	var t Trust
	var f []string
	read := func(flag string, l []string) []*Key {
		var o []*Key
		for _, s := range l {
			k, err := ParsePublicKey(s)
			if err != nil {
				f = append(f, flag+": "+err.Error())
				continue
			}
			o = append(o, k)
		}
		return o
	}
	t.Authors, t.Approvers = read("author", authors), read("approver", approvers)
	if len(f) == 0 {
		f = t.faults()
	}
	if len(f) > 0 {
		return t, Error.Wrap(&TrustError{Faults: f})
	}
	return t, nil
}

// Check returns a *TrustError if two different keys have the same name, or if no
// bundle could be accepted with these keys.
func (t Trust) Check() error {
	if f := t.faults(); len(f) > 0 {
		return Error.Wrap(&TrustError{Faults: f})
	}
	return nil
}

func (t Trust) faults() []string {
	var f []string
	if len(t.Approvers) == 0 {
		f = append(f, "no trusted approver is set")
	}
	n := map[string]*Key{}
	for _, k := range t.allKeys() {
		if o, ok := n[k.Name]; ok && !o.PublicKey.Equal(k.PublicKey) {
			f = append(f, "two keys have the name "+strconv.Quote(k.Name))
		}
		n[k.Name] = k
	}
	if len(f) == 0 && len(t.distinctKeys()) < 2 {
		f = append(f, "a second trusted key is needed: an author, or another approver")
	}
	return f
}

// allKeys returns all keys, the approvers first.
func (t Trust) allKeys() []*Key {
	return append(append([]*Key{}, t.Approvers...), t.Authors...)
}

// distinctKeys returns the keys without those whose public key is a duplicate.
func (t Trust) distinctKeys() []*Key {
	n := map[string]bool{}
	var o []*Key
	for _, k := range t.allKeys() {
		if !n[string(k.PublicKey)] {
			n[string(k.PublicKey)] = true
			o = append(o, k)
		}
	}
	return o
}

// isApprover reports whether the name is that of an approver's key.
func (t Trust) isApprover(name string) bool {
	for _, k := range t.Approvers {
		if k.Name == name {
			return true
		}
	}
	return false
}

// verifySigners verifies the signatures of an envelope and returns the names of
// the trusted keys that signed, or a *SignatureError.
func (t Trust) verifySigners(c context.Context, e *dsse.Envelope) ([]string, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	if len(e.Signatures) < 2 {
		return nil, Error.Wrap(&SignatureError{Reason: "author and approver must both sign"})
	}
	l := t.distinctKeys()
	v := make([]dsse.Verifier, 0, len(l))
	for _, k := range l {
		v = append(v, k)
	}
	x, err := dsse.NewMultiEnvelopeVerifier(1, v...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	a, err := x.Verify(c, e)
	if err != nil {
		return nil, Error.Wrap(&SignatureError{Reason: "no trusted key signed this bundle"})
	}
	return t.checkSigners(a)
}

// checkSigners checks that the keys with valid signatures are sufficient, and
// returns their names.
func (t Trust) checkSigners(a []dsse.AcceptedKey) ([]string, error) {
	approved := false
	var o []string
	for _, k := range a {
		approved = approved || t.isApprover(k.KeyID)
		o = append(o, k.KeyID)
	}
	if !approved {
		return nil, Error.Wrap(&SignatureError{Reason: "no trusted approver signed this bundle"})
	}
	if len(o) < 2 {
		return nil, Error.Wrap(&SignatureError{Reason: "only " + o[0] + " signed this bundle; another trusted key must sign too"})
	}
	return o, nil
}

// TrustError reports an unusable set of trusted keys.
type TrustError struct {
	// Faults is never empty.
	Faults []string
}

func (e *TrustError) Error() string {
	s := "invalid trusted keys:"
	for _, f := range e.Faults {
		s += "\n  " + f
	}
	return s
}
