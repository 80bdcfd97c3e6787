package relay

import (
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of the buffered bytes of one direction.
const (
	// chunkSize is the maximum size of one read in bytes.
	chunkSize = 32 << 10
	// chunkCount is the maximum number of buffered chunks.
	chunkCount = 64
)

// chunk holds the bytes of one read.
type chunk struct {
	bytes []byte
	// due is the time from which it may be written.
	due time.Time
}

// forward forwards the bytes of one direction until it ends. Then it closes both
// connections, or only from if the link is silent.
func (r *Relay) forward(k *link, from, to net.Conn) error {
	c := make(chan chunk, chunkCount)
	g := &errgroup.Group{}
	g.Go(func() error {
		for p := range c {
			if !r.writeChunk(k, to, p) {
				k.close(false)
			}
		}
		r.endDirection(k, from, to)
		return nil
	})
	for {
		b := make([]byte, chunkSize)
		n, err := from.Read(b)
		if n > 0 {
			c <- chunk{bytes: b[:n], due: time.Now().Add(r.countChunk(n))}
		}
		if err != nil {
			break
		}
	}
	close(c)
	return g.Wait()
}

// endDirection closes both connections after from has ended. If the link is silent
// it closes only from, and the other connection stays open for Config.KeepAlive.
func (r *Relay) endDirection(k *link, from, to net.Conn) {
	if silent, ok := r.waitWhileHolding(k, to); silent && ok {
		_ = from.Close()
		if r.config.KeepAlive > 0 {
			time.AfterFunc(r.config.KeepAlive, func() { _ = to.Close() })
		}
		return
	}
	k.close(false)
}

// countChunk counts a chunk of n bytes and returns its delay.
func (r *Relay) countChunk(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.traffic.Chunks++
	r.traffic.Bytes += int64(n)
	return r.delay
}

// writeChunk writes a chunk once it is due and the relay isn't in mode Hold, or
// discards it if the link is silent. It returns false if nothing more can be
// written.
func (r *Relay) writeChunk(k *link, to net.Conn, p chunk) bool {
	if d := time.Until(p.due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.ctx.Done():
			return false
		}
	}
	silent, ok := r.waitWhileHolding(k, to)
	if !ok {
		return false
	}
	if silent {
		return true
	}
	_, err := to.Write(p.bytes)
	return err == nil
}

// holds reports whether the relay holds back bytes to one end of a link; r.mu is held.
func (r *Relay) holds(k *link, to net.Conn) bool {
	switch r.mode {
	case Hold:
		return true
	case HoldRequests:
		return to == k.target
	case HoldAnswers:
		return to == k.accepted
	default:
		return false
	}
}

// waitWhileHolding waits while the relay holds back bytes to one end of a link that
// isn't silent. It reports whether the link is silent; ok is false if the relay was
// stopped meanwhile.
func (r *Relay) waitWhileHolding(k *link, to net.Conn) (silent, ok bool) {
	for {
		r.mu.Lock()
		d, s, c := r.holds(k, to), k.silent, r.changed
		r.mu.Unlock()
		if s {
			return true, r.ctx.Err() == nil
		}
		if !d {
			return false, true
		}
		select {
		case <-c:
		case <-r.ctx.Done():
			return false, false
		}
	}
}
