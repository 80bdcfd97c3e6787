// Package drain decides until when new work may be sent to a backend server that is to be
// returned. It does no I/O and reads no clock; the daemons of both edges and the models run the
// same code.
//
// Package failover and package takeover replace a draining primary; this bound holds however
// long that takes.
package drain

import "time"

const (
	// MaxNoticeDelay is how long a daemon may take to learn that a server drains.
	MaxNoticeDelay = 4 * time.Second
	// retention is how long the notice of a server is kept that isn't listed any more: its
	// record may be back.
	retention = 10 * time.Minute
)

// notice is what is known of a draining server.
type notice struct {
	// since is a time by which the server can have announced that it drains.
	since time.Time
	// unlistedAt is when the server was last unlisted; zero if it is listed.
	unlistedAt time.Time
}

// Notices holds the servers that drain. It is not safe for concurrent use.
type Notices struct {
	limit   time.Duration
	notices map[string]notice
}

// New returns an empty set. New work may be sent to a server until limit after it has
// announced that it drains.
func New(limit time.Duration) *Notices { return &Notices{limit: limit, notices: map[string]notice{}} }

// Observed is what a daemon learns of a server.
type Observed struct {
	Server string
	// Draining is set if the server drains.
	Draining bool
	// Known is set if the server was known before. One that wasn't may have been draining for
	// any time.
	Known bool
	// After is the latest time at which it was known not to drain; zero if that isn't known.
	After time.Time
}

// Observe takes note of what was learned of a server.
func (n *Notices) Observe(o Observed, now time.Time) {
	x, known := n.notices[o.Server]
	switch {
	case !o.Draining:
		delete(n.notices, o.Server)
		return
	case known:
	case !o.Known:
		x.since = now.Add(-n.limit)
	default:
		x.since = now.Add(-MaxNoticeDelay)
		if o.After.After(x.since) {
			x.since = o.After
		}
	}
	x.unlistedAt = time.Time{}
	n.notices[o.Server] = x
}

// Unlist takes note that a server isn't listed any more.
func (n *Notices) Unlist(server string, now time.Time) {
	for s, x := range n.notices {
		if s == server {
			x.unlistedAt = now
			n.notices[s] = x
		} else if !x.unlistedAt.IsZero() && now.Sub(x.unlistedAt) > retention {
			delete(n.notices, s)
		}
	}
}

// MayStart reports whether new work may be sent to a server.
func (n *Notices) MayStart(server string, now time.Time) bool {
	x, ok := n.notices[server]
	return !ok || now.Before(x.since.Add(n.limit))
}

// Age returns for how long a server may have been draining, or false if it doesn't drain.
func (n *Notices) Age(server string, now time.Time) (time.Duration, bool) {
	x, ok := n.notices[server]
	return now.Sub(x.since), ok
}
