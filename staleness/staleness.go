// Package staleness decides from which log position on a replica may serve a
// read. It does no I/O and reads no clock.
package staleness

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Bounds of the history.
const (
	// spacing is the least time between samples that are kept.
	spacing = 50 * time.Millisecond
	// span is how long samples are kept.
	span = 6 * time.Second
)

// Sample tells that the primary's log reached Position no earlier than At.
type Sample struct {
	Position logpos.Position
	// At is the time by the clock that goes on in a freeze.
	At time.Time
}

// History holds what is known of the end of a group's log. It is not safe for
// concurrent use.
type History struct {
	// samples are in order of time.
	samples []Sample
	// start is the first position known of the newest term.
	start logpos.Position
}

// Add takes in a sample. A sample of a new term drops those of older terms,
// since some of their positions may have been rolled back.
func (h *History) Add(s Sample) {
	n := len(h.samples)
	if n > 0 && s.Position.Term < h.samples[n-1].Position.Term {
		return
	}
	if n > 0 && s.Position.Term > h.samples[n-1].Position.Term {
		h.samples, n = h.samples[:0], 0
	}
	if n == 0 {
		h.start = s.Position
	}
	for n > 0 && !h.samples[n-1].At.Before(s.At) {
		return
	}
	if n > 1 && s.At.Sub(h.samples[n-2].At) < spacing {
		h.samples[n-1] = s
	} else {
		h.samples = append(h.samples, s)
	}
	for len(h.samples) > 2 && s.At.Sub(h.samples[1].At) > span {
		h.samples = h.samples[1:]
	}
}

// Last returns the newest sample, or false.
func (h *History) Last() (Sample, bool) {
	if len(h.samples) == 0 {
		return Sample{}, false
	}
	return h.samples[len(h.samples)-1], true
}

// Floor returns the position that a replica must hold to show every commit that
// was acknowledged before the time since, and the session's own commits up to
// own. It returns false if that isn't known.
func (h *History) Floor(since time.Time, own logpos.Position) (logpos.Position, bool) {
	for _, s := range h.samples {
		if s.At.Before(since) {
			continue
		}
		// A position of an older term may have been rolled back; what is left of
		// it lies before the start of the newest one.
		if !own.IsZero() && own.Term < h.start.Term {
			own = h.start
		}
		return logpos.Max(s.Position, own), true
	}
	return logpos.Position{}, false
}

// CoveredUntil returns the time up to which all commits are shown by a log that reaches
// p; zero if that isn't known.
func (h *History) CoveredUntil(p logpos.Position) time.Time {
	var t time.Time
	for _, s := range h.samples {
		if p.Less(s.Position) {
			break
		}
		t = s.At
	}
	return t
}
