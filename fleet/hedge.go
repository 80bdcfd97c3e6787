package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/store"
)

const (
	// hedgePeers is the number of daemons through which a call to the store is
	// repeated.
	hedgePeers = 3
	// hedgeDelay is how long a call waits for the store before it is repeated
	// through other daemons; the store usually answers in milliseconds.
	hedgeDelay = 150 * time.Millisecond
	// relayedCallTimeout bounds a call to the store on behalf of another daemon.
	relayedCallTimeout = 400 * time.Millisecond
)

// storeReply is the result of a call to the store.
type storeReply struct {
	// Item is the item that was read.
	Item store.Item `json:"item"`
	// Position is the position of a write.
	store.Position
	// Conflict is the current item if a write's condition did not hold.
	Conflict *store.Item `json:"conflict,omitempty"`
}

// storeCall calls the store, either directly or through another daemon.
type storeCall func(x context.Context) (storeReply, error)

// hedgedCall calls the store directly. If that has failed or not returned after
// hedgeDelay, it also calls the store through a few other daemons. The first
// success is returned.
func (f *Daemon) hedgedCall(x context.Context, direct storeCall, via func(membership.Host) storeCall) (storeReply, error) {
	x, stop := context.WithCancel(x)
	defer stop()
	type result struct {
		reply storeReply
		err   error
	}
	c := make(chan result, 1+hedgePeers)
	start := func(call storeCall) {
		f.spawn(func(context.Context) {
			r, err := call(x)
			c <- result{r, err}
		})
	}
	start(direct)
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
				start(via(h))
			}
		}
	}
	return storeReply{}, last
}

// readItem reads an item of the store, directly or through other daemons.
func (f *Daemon) readItem(x context.Context, key string) (store.Item, error) {
	r, err := f.hedgedCall(x, func(x context.Context) (storeReply, error) {
		f.metrics.countStoreCall(purposeGroupRead)
		i, err := f.config.Store.Get(x, key)
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

// readForPeer reads an item for another daemon.
func (f *Daemon) readForPeer(x context.Context, key string) (store.Item, error) {
	y, stop := context.WithTimeout(x, relayedCallTimeout)
	defer stop()
	f.metrics.countStoreCall(purposeRelayedRead)
	return f.config.Store.Get(y, key)
}

// putConditional writes an item if its revision is still w.Revision, and no later era
// is known than the one in which it had that revision. A conflict is returned in the
// reply, not as an error.
func (f *Daemon) putConditional(x context.Context, w store.Write) (storeReply, error) {
	if err := f.checkEra(w); err != nil {
		return storeReply{}, err
	}
	w.Conditional = true
	p, err := f.config.Store.Put(x, w)
	var c *store.ConflictError
	if errors.As(err, &c) {
		return storeReply{Conflict: &c.Item}, nil
	}
	return storeReply{Position: p}, err
}

// writeForPeer makes a conditional write for another daemon.
func (f *Daemon) writeForPeer(x context.Context, w store.Write) (storeReply, error) {
	y, stop := context.WithTimeout(x, relayedCallTimeout)
	defer stop()
	f.metrics.countStoreCall(purposeRelayedWrite)
	return f.putConditional(y, w)
}

// writeItem makes a conditional write, directly or through other daemons. The
// condition makes a second execution harmless: it conflicts with the value that
// the first one wrote.
func (f *Daemon) writeItem(x context.Context, w store.Write) (storeReply, error) {
	return f.hedgedCall(x, func(x context.Context) (storeReply, error) {
		f.metrics.countStoreCall(purposeGroupWrite)
		return f.putConditional(x, w)
	},
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
