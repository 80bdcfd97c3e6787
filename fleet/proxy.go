package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

const (
	// askedPeers is the number of daemons that are asked to call the store for
	// this one.
	askedPeers = 3
	// hedgeTime is how long the store is waited for before others are asked too; it
	// answers in milliseconds.
	hedgeTime = 150 * time.Millisecond
	// directTime bounds a call to the store for another daemon.
	directTime = 400 * time.Millisecond
)

// storeReply is the outcome of a call to the store.
type storeReply struct {
	// Item is what was read.
	Item store.Item `json:"item"`
	// Revision is that of a write.
	Revision uint64 `json:"revision,omitempty"`
	// Conflict is what stands there instead, if a write's condition did not hold.
	Conflict *store.Item `json:"conflict,omitempty"`
}

// storeCall calls the store in one way.
type storeCall func(x context.Context) (storeReply, error)

// firstAnswer calls the store. If it hasn't answered this daemon soon, a few others
// are asked to call it at the same time, and the first answer counts.
func (f *Daemon) firstAnswer(x context.Context, direct storeCall, other func(membership.Host) storeCall) (storeReply, error) {
	x, stop := context.WithCancel(x)
	defer stop()
	type result struct {
		reply storeReply
		err   error
	}
	c := make(chan result, 1+askedPeers)
	begin := func(call storeCall) {
		f.background(func(context.Context) {
			r, err := call(x)
			c <- result{r, err}
		})
	}
	begin(direct)
	t := time.NewTimer(hedgeTime)
	defer t.Stop()
	var last error
	for pending, hedged := 1, false; pending > 0; {
		select {
		case r := <-c:
			pending--
			if r.err == nil {
				return r.reply, nil
			}
			last = r.err
		case <-t.C:
		case <-x.Done():
			return storeReply{}, Error.Wrap(x.Err())
		}
		if !hedged {
			hedged = true
			for _, h := range f.someLive() {
				pending++
				begin(other(h))
			}
		}
	}
	return storeReply{}, last
}

// read reads a key.
func (f *Daemon) read(x context.Context, key string) (store.Item, error) {
	r, err := f.firstAnswer(x, func(x context.Context) (storeReply, error) {
		i, err := f.c.Store.Get(x, key)
		return storeReply{Item: i}, err
	}, func(h membership.Host) storeCall {
		return func(x context.Context) (storeReply, error) {
			y, stop := context.WithTimeout(x, linkTimeout)
			defer stop()
			var o storeReply
			err := f.node.Call(y, h, methodItem, itemParams{Key: key}, &o.Item)
			return o, err
		}
	})
	return r.Item, err
}

// readFor reads a key for another daemon.
func (f *Daemon) readFor(x context.Context, key string) (store.Item, error) {
	y, stop := context.WithTimeout(x, directTime)
	defer stop()
	return f.c.Store.Get(y, key)
}

// put makes a conditional write.
func (f *Daemon) put(x context.Context, w store.Write) (storeReply, error) {
	w.Conditional = true
	n, err := f.c.Store.Put(x, w)
	var c *store.ConflictError
	if errors.As(err, &c) {
		return storeReply{Conflict: &c.Item}, nil
	}
	return storeReply{Revision: n}, err
}

// writeFor makes a conditional write for another daemon.
func (f *Daemon) writeFor(x context.Context, w store.Write) (storeReply, error) {
	y, stop := context.WithTimeout(x, directTime)
	defer stop()
	return f.put(y, w)
}

// write makes a conditional write. The condition makes a second execution harmless;
// it then finds a conflict with its own value.
func (f *Daemon) write(x context.Context, w store.Write) (storeReply, error) {
	return f.firstAnswer(x, func(x context.Context) (storeReply, error) { return f.put(x, w) },
		func(h membership.Host) storeCall {
			return func(x context.Context) (storeReply, error) {
				y, stop := context.WithTimeout(x, linkTimeout)
				defer stop()
				var o storeReply
				err := f.node.Call(y, h, methodWrite, w, &o)
				return o, err
			}
		})
}
