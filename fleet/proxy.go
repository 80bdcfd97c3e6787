package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/store"
)

const (
	// askedPeers is the number of daemons that are asked to call the store for
	// this one.
	askedPeers = 3
	// directTime is how long the store is waited for before others are asked too;
	// it answers in milliseconds.
	directTime = 400 * time.Millisecond
)

// read reads a key. While the store doesn't answer this daemon, others are
// asked to read it.
func (f *Fleet) read(x context.Context, key string) (store.Item, error) {
	y, stop := context.WithTimeout(x, directTime)
	i, err := f.c.Store.Get(y, key)
	stop()
	if err == nil {
		return i, nil
	}
	for _, h := range f.someLive() {
		y, stop := context.WithTimeout(x, linkTimeout)
		e := f.node.Call(y, h, methodItem, itemParams{Key: key}, &i)
		stop()
		if e == nil {
			return i, nil
		}
	}
	if x.Err() != nil {
		return i, err
	}
	return f.c.Store.Get(x, key)
}

// readFor reads a key for another daemon.
func (f *Fleet) readFor(x context.Context, key string) (store.Item, error) {
	y, stop := context.WithTimeout(x, directTime)
	defer stop()
	return f.c.Store.Get(y, key)
}

// writeReply is the outcome of a conditional write made for another daemon.
type writeReply struct {
	Revision uint64 `json:"revision"`
	// Conflict is what stands there instead, if the condition did not hold.
	Conflict *store.Item `json:"conflict,omitempty"`
}

// writeFor makes a conditional write for another daemon.
func (f *Fleet) writeFor(x context.Context, w store.Write) (writeReply, error) {
	y, stop := context.WithTimeout(x, directTime)
	defer stop()
	w.Conditional = true
	n, err := f.c.Store.Put(y, w)
	var c *store.ConflictError
	if errors.As(err, &c) {
		return writeReply{Conflict: &c.Item}, nil
	}
	return writeReply{Revision: n}, err
}

// write makes a conditional write. While the store doesn't answer this daemon,
// others are asked to make it; the condition makes a second execution harmless.
func (f *Fleet) write(x context.Context, w store.Write) (uint64, error) {
	y, stop := context.WithTimeout(x, directTime)
	n, err := f.c.Store.Put(y, w)
	stop()
	var c *store.ConflictError
	if err == nil || errors.As(err, &c) {
		return n, err
	}
	for _, h := range f.someLive() {
		y, stop := context.WithTimeout(x, linkTimeout)
		var o writeReply
		e := f.node.Call(y, h, methodWrite, w, &o)
		stop()
		if e == nil && o.Conflict != nil {
			return 0, Error.Wrap(&store.ConflictError{Item: *o.Conflict})
		}
		if e == nil {
			return o.Revision, nil
		}
	}
	if x.Err() != nil {
		return 0, err
	}
	return f.c.Store.Put(x, w)
}
