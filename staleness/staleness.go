// Package staleness implements bounded staleness of replica reads: it computes
// the log position that a replica must have reached to serve a read, from
// samples of the end of the primary's log. It does no I/O and reads no clock.
package staleness

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Limits of a History.
const (
	// minSampleInterval is the shortest interval between kept samples.
	minSampleInterval = 50 * time.Millisecond
	// sampleRetention is how long samples are kept.
	sampleRetention = 6 * time.Second
)

// Sample is the end of the primary's log at some time not before At.
type Sample struct {
	Position logpos.Position
	// At is a time by the boot-time clock, which also advances while the
	// process or host is suspended.
	At time.Time
}

// History holds recent samples of the end of a group's log. It is not safe for
// concurrent use.
type History struct {
	// samples are sorted by time.
	samples []Sample
	// termStart is the first position that was sampled in the latest term.
	termStart logpos.Position
}

// Add adds a sample. The first sample of a new term removes all samples of older
// terms, since some of their positions may have been rolled back.
func (h *History) Add(s Sample) {
	n := len(h.samples)
	if n > 0 && s.Position.Term < h.samples[n-1].Position.Term {
		return
	}
	if n > 0 && s.Position.Term > h.samples[n-1].Position.Term {
		h.samples, n = h.samples[:0], 0
	}
	if n == 0 {
		h.termStart = s.Position
	}
	for n > 0 && !h.samples[n-1].At.Before(s.At) {
		return
	}
	if n > 1 && s.At.Sub(h.samples[n-2].At) < minSampleInterval {
		h.samples[n-1] = s
	} else {
		h.samples = append(h.samples, s)
	}
	for len(h.samples) > 2 && s.At.Sub(h.samples[1].At) > sampleRetention {
		h.samples = h.samples[1:]
	}
}

// Last returns the latest sample, or false if there is none.
func (h *History) Last() (Sample, bool) {
	if len(h.samples) == 0 {
		return Sample{}, false
	}
	return h.samples[len(h.samples)-1], true
}

// Floor returns the position that a replica must have reached to contain every
// commit that was acknowledged before the time since, and the session's own
// commits up to own. It returns false if no sample was taken at or after since.
func (h *History) Floor(since time.Time, own logpos.Position) (logpos.Position, bool) {
	for _, s := range h.samples {
		if s.At.Before(since) {
			continue
		}
		// A position of an older term may have been rolled back; any of it that
		// remains lies before the start of the latest term.
		if !own.IsZero() && own.Term < h.termStart.Term {
			own = h.termStart
		}
		return logpos.Max(s.Position, own), true
	}
	return logpos.Position{}, false
}

// Lag returns bounds on the time that a log which has reached p at now lags behind:
// the age of the first sample that it lacks, zero if it lacks none, and the age of
// the last one that it contains, math.MaxInt64 if it contains none.
func (h *History) Lag(p logpos.Position, now time.Time) (least, most time.Duration) {
	most = math.MaxInt64
	for _, s := range h.samples {
		if p.Less(s.Position) {
			return now.Sub(s.At), max(most, now.Sub(s.At))
		}
		most = now.Sub(s.At)
	}
	return 0, most
}

// CoveredUntil returns the time up to which a log that has reached p contains all
// commits, or zero if p is before the first sample.
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
