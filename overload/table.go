package overload

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

const (
	// holdDivisor divides a predicted wait into the time for which it is used. The queue
	// holds that much work, so that it can't run empty meanwhile.
	holdDivisor = 8
	// maxHold bounds that time.
	maxHold = 250 * time.Millisecond
	// tableLimit bounds the servers that a table knows.
	tableLimit = 1024
)

// Table knows how long requests wait at servers, as their owners' last answers tell. It is
// not safe for concurrent use.
type Table struct{ servers map[string]*waits }

// waits holds for each rank how long a new request would wait at a server.
type waits [bundle.RankCount]wait

type wait struct {
	time time.Duration
	// until is when the server is asked again.
	until time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: map[string]*waits{}} }

// Observe records that a new request of a rank would wait for d at a server.
func (t *Table) Observe(server string, r bundle.Rank, d time.Duration, now time.Time) {
	w := t.servers[server]
	if w == nil {
		if len(t.servers) >= tableLimit {
			t.prune(now)
		}
		w = &waits{}
		t.servers[server] = w
	}
	w[r] = wait{time: d, until: now.Add(min(d/holdDivisor, maxHold))}
}

// prune forgets the servers of which nothing is known any more, or all if there are none.
func (t *Table) prune(now time.Time) {
	n := len(t.servers)
	for id, w := range t.servers {
		if !w.known(now) {
			delete(t.servers, id)
		}
	}
	if len(t.servers) == n {
		clear(t.servers)
	}
}

func (w *waits) known(now time.Time) bool {
	for _, r := range w {
		if now.Before(r.until) {
			return true
		}
	}
	return false
}

// Full reports whether a new request of a rank that may take left can't be served by a
// server in time, and after which time its caller is to return. jitter is a random number
// between 0 and 1.
func (t *Table) Full(server string, r bundle.Rank, left time.Duration, jitter float64, now time.Time) (time.Duration, bool) {
	w := t.servers[server]
	if w == nil || !now.Before(w[r].until) || w[r].time <= left {
		return 0, false
	}
	// By then the wait has fallen to half of what the request could have waited.
	d := max(w[r].time-left/2, minReturn)
	return min(d+time.Duration(jitter*float64(d)), maxReturn), true
}

// Len returns the number of servers that the table knows.
func (t *Table) Len() int { return len(t.servers) }
