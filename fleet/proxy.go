package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

const (
	// hedgePeers is the number of daemons that are asked to call the store for
	// this one.
	hedgePeers = 3
	// hedgeDelay is how long the store is waited for before others are asked too; it
	// answers in milliseconds.
	hedgeDelay = 150 * time.Millisecond
	// relayedCallTimeout bounds a call to the store for another daemon.
	relayedCallTimeout = 400 * time.Millisecond
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

// hedgedCall calls the store. If it hasn't answered this daemon soon, a few others
// are asked to call it at the same time, and the first answer counts.
func (f *Fleet) hedgedCall(x context.Context, direct storeCall, other func(membership.Host) storeCall) (storeReply, error) {
	x, stop := context.WithCancel(x)
	defer stop()
	type result struct {
		reply storeReply
		err   error
	}
	c := make(chan result, 1+hedgePeers)
	begin := func(call storeCall) {
		f.spawn(func(context.Context) {
			r, err := call(x)
			c <- result{r, err}
		})
	}
	begin(direct)
	t := time.NewTimer(hedgeDelay)
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
			for _, h := range f.randomPeers() {
				pending++
				begin(other(h))
			}
		}
	}
	return storeReply{}, last
}

// readItem reads a key.
func (f *Fleet) readItem(x context.Context, key string) (store.Item, error) {
	r, err := f.hedgedCall(x, func(x context.Context) (storeReply, error) {
		i, err := f.c.Store.Get(x, key)
		return storeReply{Item: i}, err
	}, func(h membership.Host) storeCall {
		return func(x context.Context) (storeReply, error) {
			y, stop := context.WithTimeout(x, controlTimeout)
			defer stop()
			var o storeReply
			err := f.node.Call(y, h, methodItem, itemParams{Key: key}, &o.Item)
			return o, err
		}
	})
	return r.Item, err
}

// readForPeer reads a key for another daemon.
func (f *Fleet) readForPeer(x context.Context, key string) (store.Item, error) {
	y, stop := context.WithTimeout(x, relayedCallTimeout)
	defer stop()
	return f.c.Store.Get(y, key)
}

// putConditional makes a conditional write.
func (f *Fleet) putConditional(x context.Context, w store.Write) (storeReply, error) {
	w.Conditional = true
	n, err := f.c.Store.Put(x, w)
	var c *store.ConflictError
	if errors.As(err, &c) {
		return storeReply{Conflict: &c.Item}, nil
	}
	return storeReply{Revision: n}, err
}

// writeForPeer makes a conditional write for another daemon.
func (f *Fleet) writeForPeer(x context.Context, w store.Write) (storeReply, error) {
	y, stop := context.WithTimeout(x, relayedCallTimeout)
	defer stop()
	return f.putConditional(y, w)
}

// writeItem makes a conditional write. The condition makes a second execution harmless;
// it then finds a conflict with its own value.
func (f *Fleet) writeItem(x context.Context, w store.Write) (storeReply, error) {
	return f.hedgedCall(x, func(x context.Context) (storeReply, error) { return f.putConditional(x, w) },
		func(h membership.Host) storeCall {
			return func(x context.Context) (storeReply, error) {
				y, stop := context.WithTimeout(x, controlTimeout)
				defer stop()
				var o storeReply
				err := f.node.Call(y, h, methodWrite, w, &o)
				return o, err
			}
		})
}
