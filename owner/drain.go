package owner

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/drain"
	"github.com/dragonflypick/dragonflypick/peer"
)

// newWorkTime is how long a draining backend server gets new work after the bundle that marks it
// is in force. A switchover takes less if a replica can take its place.
const newWorkTime = 6 * time.Second

// reasonDraining is the reason of a verdict on a request that was not run because its backend
// server has been draining for too long.
const reasonDraining = "server-leaving"

// observeDrains takes note of the draining servers of a bundle that is in force now. Those of
// the first bundle may have been draining for a while. o.mu is held.
func (o *Owner) observeDrains(b *bundle.Bundle, now time.Time) {
	for i := range b.Groups {
		for _, m := range b.Groups[i].Members {
			o.drains.Observe(drain.Observed{Server: m.Name, Draining: m.Draining, Known: o.configured, After: now}, now)
		}
	}
	o.configured = true
}

// refuseClosed returns the verdict on new work for a server that has been draining for too
// long; it is empty if the work may start.
func (t *task) refuseClosed() peer.Verdict {
	o := t.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drains.MayStart(t.header.Member, time.Now()) {
		return peer.Verdict{}
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: reasonDraining, RetryAfter: defaultRetryAfter}
}
