package bundle

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// scramIterations is PostgreSQL's default iteration count.
const scramIterations = 4096

// ParseVerifier parses a SCRAM verifier in PostgreSQL's form
// "SCRAM-SHA-256$iterations:salt$stored-key:server-key".
func ParseVerifier(s string) (scram.StoredCredentials, error) {
	var z scram.StoredCredentials
	bad := Error.Wrap(&KeyError{Reason: "not a SCRAM-SHA-256 verifier"})
	p := strings.Split(s, "$")
	if len(p) != 3 || p[0] != "SCRAM-SHA-256" {
		return z, bad
	}
	i, salt, ok := strings.Cut(p[1], ":")
	if !ok {
		return z, bad
	}
	n, err := strconv.Atoi(i)
	if err != nil || n <= 0 {
		return z, bad
	}
	stored, server, ok := strings.Cut(p[2], ":")
	if !ok {
		return z, bad
	}
	a, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return z, bad
	}
	b, err := base64.StdEncoding.DecodeString(stored)
	if err != nil {
		return z, bad
	}
	c, err := base64.StdEncoding.DecodeString(server)
	if err != nil {
		return z, bad
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(a), Iters: n},
		StoredKey:  b,
		ServerKey:  c,
	}, nil
}

// NewVerifier returns the SCRAM verifier of a password. The salt should be 16
// random bytes.
func NewVerifier(name, password string, salt []byte) (string, error) {
	c, err := scram.SHA256.NewClient(name, password, "")
	if err != nil {
		return "", Error.Wrap(err)
	}
	k, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", Error.Wrap(err)
	}
	e := base64.StdEncoding.EncodeToString
	return "SCRAM-SHA-256$" + strconv.Itoa(scramIterations) + ":" + e(salt) + "$" + e(k.StoredKey) + ":" + e(k.ServerKey), nil
}
