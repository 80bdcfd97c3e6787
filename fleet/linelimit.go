package fleet

import (
	"sync"
	"time"
)

// maxFailureLines is the number of failed requests that are logged in a second: composing
// a line takes processor time also if the log drops it.
const maxFailureLines = 100

// lineLimit bounds the log lines about failed requests.
type lineLimit struct {
	mu sync.Mutex
	// since is when the present second began, and lines what was logged in it.
	since time.Time
	lines int
	// skipped counts the lines left out since the last one.
	skipped uint64
}

// take reports whether a line may be logged now, and how many were left out before it.
func (l *lineLimit) take(now time.Time) (skipped uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxFailureLines {
		l.skipped++
		return 0, false
	}
	l.lines++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
