package placement

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Limits of a Seen.
const (
	// minSeenInterval is the shortest time between kept positions.
	minSeenInterval = 20 * time.Millisecond
	// maxSeen is the number of kept positions.
	maxSeen = 64
)

// Seen tells since when a daemon has known that a log had reached a position. It is
// not safe for concurrent use.
type Seen struct {
	// entries rise in position and in time.
	entries []seenEntry
}

type seenEntry struct {
	position logpos.Position
	at       time.Time
}

// Add records a position of the log.
func (s *Seen) Add(p logpos.Position, now time.Time) {
	n := len(s.entries)
	if n > 0 && !s.entries[n-1].position.Less(p) {
		return
	}
	if n > 1 && now.Sub(s.entries[n-2].at) < minSeenInterval {
		s.entries[n-1] = seenEntry{p, now}
		return
	}
	s.entries = append(s.entries, seenEntry{p, now})
	if len(s.entries) > maxSeen {
		s.entries = s.entries[1:]
	}
}

// Age returns for how long a position has been known, at least; zero if the log
// isn't known to have reached it.
func (s *Seen) Age(p logpos.Position, now time.Time) time.Duration {
	for _, e := range s.entries {
		if !e.position.Less(p) {
			return now.Sub(e.at)
		}
	}
	return 0
}
