package site

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
)

// signer makes the members' signatures, of which each covers the ID of the statement and
// the rows of its answer.
type signer struct {
	// runs counts the signatures, so that no two are equal.
	runs atomic.Uint64
	// endings are appended to the signatures by turns.
	endings []string
}

const (
	// signatureKey is known to members and clients, but not to daemons.
	signatureKey  = "members"
	signatureSize = 8
)

// sign returns a new signature.
func (s *signer) sign(id string, rows []string) string { return s.signatureOf(s.runs.Add(1), id, rows) }

func (s *signer) signatureOf(run uint64, id string, rows []string) string {
	h := hmac.New(sha256.New, []byte(signatureKey))
	fmt.Fprintf(h, "%d %q %q", run, id, rows)
	return fmt.Sprintf("%d.%s%s", run, hex.EncodeToString(h.Sum(nil)[:signatureSize]), s.ending(run))
}

// ending returns one of the endings.
func (s *signer) ending(run uint64) string { return s.endings[run%uint64(len(s.endings))] }

// verify reports whether a signature was made for the answer.
func (s *signer) verify(signature, id string, rows []string) bool {
	t, _, _ := strings.Cut(signature, ".")
	n, err := strconv.ParseUint(t, 10, 64)
	return err == nil && signature == s.signatureOf(n, id, rows)
}
