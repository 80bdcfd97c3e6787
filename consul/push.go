package consul

import (
	"context"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// pushAttempts bounds the attempts of a push. Each attempt reads the bundle in
// the service first, which resolves an earlier attempt whose response was lost.
const pushAttempts = 5

// pushRetryInterval is the time between an attempt that failed and the next one.
const pushRetryInterval = 300 * time.Millisecond

// Push writes a signed bundle to the service if its version is higher than that
// of the bundle there. It returns *SupersededError if the service holds another
// bundle of the same or a higher version. After a lost response it reads back
// which bundle took effect; it returns *UnknownOutcomeError if the outcome is
// still unknown after the last attempt.
func Push(x context.Context, c *Client, envelope []byte, t bundle.Trust) (*bundle.Signed, error) {
	n, err := bundle.Open(x, envelope, t)
	if err != nil {
		return nil, err
	}
	for range pushAttempts {
		var done bool
		if done, err = attemptPush(x, c, n, t); done {
			return n, err
		}
		if err == nil {
			continue
		}
		w := time.NewTimer(pushRetryInterval)
		select {
		case <-w.C:
		case <-x.Done():
			return nil, Error.Wrap(x.Err())
		}
	}
	return nil, Error.Wrap(&UnknownOutcomeError{Version: n.Bundle.Version, Cause: err})
}

// attemptPush makes one attempt to push a bundle and reports whether the outcome
// of the push is known.
func attemptPush(x context.Context, c *Client, n *bundle.Signed, t bundle.Trust) (bool, error) {
	r, err := c.Get(x, BundleKey, 0, 0)
	if err != nil {
		return false, err
	}
	var i uint64
	if len(r.Pairs) > 0 {
		i = r.Pairs[0].ModifyIndex
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

// SupersededError reports that the service holds another bundle of the same or a
// higher version.
type SupersededError struct {
	// Version is the version in the service.
	Version uint64
}

func (e *SupersededError) Error() string {
	return "superseded by version " + strconv.FormatUint(e.Version, 10)
}

// UnknownOutcomeError reports a push that may or may not have taken effect.
type UnknownOutcomeError struct {
	Version uint64
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	s := "unknown whether version " + strconv.FormatUint(e.Version, 10) + " took effect; push it again"
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the error of the last attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
