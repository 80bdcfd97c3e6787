package consul

import (
	"context"
	"encoding/json"
)

// groupPrefix starts the keys of the published primaries.
const groupPrefix = "dragonflypick/groups/"

// publishTries bounds the attempts to write a record while others write it.
const publishTries = 5

// PrimaryRecord is the published primary of a database group. It is a hint: which
// member is primary is decided by the members' own fences.
type PrimaryRecord struct {
	Term uint64 `json:"term"`
	// Primary is the name of the member.
	Primary string `json:"primary"`
}

// PublishedPrimary returns the record of a group, the zero Record if there is none.
func (c *Client) PublishedPrimary(x context.Context, group string) (PrimaryRecord, error) {
	r, _, err := c.record(x, group)
	return r, err
}

// record returns a record with the index of its key.
func (c *Client) record(x context.Context, group string) (PrimaryRecord, uint64, error) {
	var r PrimaryRecord
	o, err := c.Get(x, groupPrefix+group, 0, 0)
	if err != nil || len(o.Pairs) == 0 {
		return r, 0, err
	}
	return r, o.Pairs[0].Index, Error.Wrap(json.Unmarshal(o.Pairs[0].Value, &r))
}

// PublishPrimary writes the record of a group unless one of the same or a later term
// is there. It returns *RaceError if other writers were always faster.
func (c *Client) PublishPrimary(x context.Context, group string, r PrimaryRecord) error {
	b, err := json.Marshal(r)
	if err != nil {
		return Error.Wrap(err)
	}
	for range publishTries {
		h, i, err := c.record(x, group)
		if err != nil || h.Term >= r.Term {
			return err
		}
		if ok, err := c.CompareAndSwap(x, groupPrefix+group, b, i); ok || err != nil {
			return err
		}
	}
	return Error.Wrap(&RaceError{Group: group})
}

// RaceError reports a record that others kept writing.
type RaceError struct {
	Group string
}

func (e *RaceError) Error() string { return "record of group " + e.Group + " was always overtaken" }
