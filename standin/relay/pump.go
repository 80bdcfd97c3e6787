package relay

import (
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// Sizes of what is under way in one direction.
const (
	// chunkSize is the size in bytes of one read.
	chunkSize = 32 << 10
	// chunkCount is the greatest number of chunks under way.
	chunkCount = 64
)

// chunk is a piece of a connection's bytes.
type chunk struct {
	b []byte
	// due is when it may be written.
	due time.Time
}

// pump forwards the bytes of one direction, and ends both when it ends.
func (r *Relay) pump(k *link, from, to net.Conn) error {
	c := make(chan chunk, chunkCount)
	g := &errgroup.Group{}
	g.Go(func() error {
		for p := range c {
			if !r.write(k, to, p) {
				k.close(false)
			}
		}
		r.endDirection(k, from)
		return nil
	})
	for {
		b := make([]byte, chunkSize)
		n, err := from.Read(b)
		if n > 0 {
			c <- chunk{b: b[:n], due: time.Now().Add(r.recordChunk(n))}
		}
		if err != nil {
			break
		}
	}
	close(c)
	return g.Wait()
}

// endDirection tells the other side that a direction has ended, unless the connection
// is silent.
func (r *Relay) endDirection(k *link, from net.Conn) {
	if silent, ok := r.waitWhileDropping(k); silent && ok {
		_ = from.Close()
		return
	}
	k.close(false)
}

// recordChunk counts n bytes and returns their delay.
func (r *Relay) recordChunk(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.traffic.Chunks++
	r.traffic.Bytes += int64(n)
	return r.delay
}

// write writes a chunk when it is due and the relay passes it, and reports
// whether the connection goes on.
func (r *Relay) write(k *link, to net.Conn, p chunk) bool {
	if d := time.Until(p.due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.x.Done():
			return false
		}
	}
	silent, ok := r.waitWhileDropping(k)
	if !ok {
		return false
	}
	if silent {
		return true
	}
	_, err := to.Write(p.b)
	return err == nil
}

// waitWhileDropping waits while the relay drops; it reports whether the connection is
// silent, and false when the relay ends.
func (r *Relay) waitWhileDropping(k *link) (silent, ok bool) {
	for {
		r.mu.Lock()
		d, s, c := r.mode == Drop, k.silent, r.changed
		r.mu.Unlock()
		if s {
			return true, r.x.Err() == nil
		}
		if !d {
			return false, true
		}
		select {
		case <-c:
		case <-r.x.Done():
			return false, false
		}
	}
}
