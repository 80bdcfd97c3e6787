package consul

import (
	"context"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// pushAttempts is how often a push whose answer was lost is looked at again.
const pushAttempts = 5

// pushPause is the pause between these attempts.
const pushPause = 300 * time.Millisecond

// Push puts a signed bundle in the service if its version is above the one
// there. It returns *SupersededError if another bundle won. After a lost answer
// it reads back what took effect.
func Push(x context.Context, c *Client, envelope []byte, t bundle.Trust) (*bundle.Signed, error) {
	n, err := bundle.Open(x, envelope, t)
	if err != nil {
		return nil, err
	}
	for range pushAttempts {
		var done bool
		if done, err = tryPush(x, c, n, t); done {
			return n, err
		}
		if err == nil {
			continue
		}
		w := time.NewTimer(pushPause)
		select {
		case <-w.C:
		case <-x.Done():
			return nil, Error.Wrap(x.Err())
		}
	}
	return nil, Error.Wrap(&UnsettledError{Version: n.Bundle.Version, Cause: err})
}

// tryPush makes one attempt and reports whether the matter is settled.
func tryPush(x context.Context, c *Client, n *bundle.Signed, t bundle.Trust) (bool, error) {
	r, err := c.Get(x, BundleKey, 0, 0)
	if err != nil {
		return false, err
	}
	var i uint64
	if len(r.Pairs) > 0 {
		i = r.Pairs[0].Index
		h, err := bundle.Open(x, r.Pairs[0].Value, t)
		if err == nil && h.Digest == n.Digest {
			return true, nil
		}
		if err == nil && h.Bundle.Version >= n.Bundle.Version {
			return true, Error.Wrap(&SupersededError{Version: h.Bundle.Version})
		}
		if err == nil {
			if err := bundle.CheckMemberChange(h.Bundle, n.Bundle); err != nil {
				return true, err
			}
		}
	}
	ok, err := c.CompareAndSwap(x, BundleKey, n.Envelope, i)
	return ok && err == nil, err
}

// SupersededError reports that another bundle took the version's place.
type SupersededError struct {
	// Version is the version in the service.
	Version uint64
}

func (e *SupersededError) Error() string {
	return "superseded by version " + strconv.FormatUint(e.Version, 10)
}

// UnsettledError reports a push of which it is not known whether it took
// effect.
type UnsettledError struct {
	Version uint64
	Cause   error
}

func (e *UnsettledError) Error() string {
	s := "not known whether version " + strconv.FormatUint(e.Version, 10) + " took effect; push it again"
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the last failure.
func (e *UnsettledError) Unwrap() error { return e.Cause }
