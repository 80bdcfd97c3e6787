package consul

import (
	"context"
	"encoding/json"
)

// groupPrefix is the prefix of the keys of the published primaries.
const groupPrefix = "dragonflypick/groups/"

// publishAttempts bounds the attempts to write a record that other writers change
// concurrently.
const publishAttempts = 5

// PrimaryRecord is the published primary of a database group. It is only a hint:
// the members' own fences decide which member is primary.
type PrimaryRecord struct {
	Term uint64 `json:"term"`
	// Primary is the name of the member.
	Primary string `json:"primary"`
}

// PublishedPrimary returns the record of a group, or the zero PrimaryRecord if
// there is none.
func (c *Client) PublishedPrimary(x context.Context, group string) (PrimaryRecord, error) {
	r, _, err := c.readPrimary(x, group)
	return r, err
}

// readPrimary returns the record of a group and the index of its key.
func (c *Client) readPrimary(x context.Context, group string) (PrimaryRecord, uint64, error) {
	var r PrimaryRecord
	o, err := c.Get(x, groupPrefix+group, 0, 0)
	if err != nil || len(o.Pairs) == 0 {
		return r, 0, err
	}
	return r, o.Pairs[0].ModifyIndex, Error.Wrap(json.Unmarshal(o.Pairs[0].Value, &r))
}

// PublishPrimary writes the record of a group unless the service holds one of the
// same or a later term. It returns *WriteConflictError if another writer changed
// the record during each attempt.
func (c *Client) PublishPrimary(x context.Context, group string, r PrimaryRecord) error {
	b, err := json.Marshal(r)
	if err != nil {
		return Error.Wrap(err)
	}
	for range publishAttempts {
		h, i, err := c.readPrimary(x, group)
		if err != nil || h.Term >= r.Term {
			return err
		}
		if ok, err := c.CompareAndSwap(x, groupPrefix+group, b, i); ok || err != nil {
			return err
		}
	}
	return Error.Wrap(&WriteConflictError{Group: group})
}

// WriteConflictError reports a record that other writers changed during each
// attempt to write it.
type WriteConflictError struct {
	Group string
}

func (e *WriteConflictError) Error() string {
	return "record of group " + e.Group + " was changed by another writer during each attempt"
}
