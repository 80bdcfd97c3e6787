package placement

import (
	"math"
	"time"
)

// Weights of observations.
const (
	// lagDecline is the part of the distance by which a lag estimate declines toward
	// an observation below it. It rises at once: a read that is sent too early costs a
	// round trip.
	lagDecline = 0.3
	// slotTimeWeight is the weight of a slot time in the mean; maxSlotSample caps it
	// at a multiple of the mean.
	slotTimeWeight = 0.1
	maxSlotSample  = 8
	// failureWeight is the weight of an outcome in the share of failures, which
	// declines by failureDecay without outcomes.
	failureWeight = 0.1
	failureDecay  = 3 * time.Second
	// busyDecay is the time constant of the mean number of running statements.
	busyDecay = 500 * time.Millisecond
)

// Lag estimates a replica's delay in applying commits from bounds on it.
type Lag struct {
	Estimate time.Duration
	// Known is set after the first observation.
	Known bool
}

// Observe records that the delay is from least to most, which is math.MaxInt64 if it
// isn't bounded.
func (l *Lag) Observe(least, most time.Duration) {
	switch {
	case !l.Known && most < math.MaxInt64:
		l.Estimate, l.Known = (least+most)/2, true
	case !l.Known:
		l.Estimate, l.Known = max(least, defaultLag), least > 0
	case least > l.Estimate:
		l.Estimate = least
	case most < l.Estimate:
		l.Estimate -= time.Duration(lagDecline * float64(l.Estimate-most))
	}
}

// Service measures how a member serves statements.
type Service struct {
	// SlotTime is the mean time that a statement takes, zero before the first.
	SlotTime time.Duration
	failures float64
	at       time.Time
	// work is the slot time of recent statements, which declines with busyDecay.
	work   time.Duration
	workAt time.Time
}

// Observe records the outcome of a statement.
func (s *Service) Observe(took time.Duration, failed bool, now time.Time) {
	s.failures, s.at = s.Failures(now), now
	if failed {
		s.failures += failureWeight * (1 - s.failures)
	} else {
		s.failures -= failureWeight * s.failures
	}
	s.work, s.workAt = s.recentWork(now)+took, now
	if s.SlotTime == 0 {
		s.SlotTime = min(took, maxSlotSample*defaultSlotTime)
		return
	}
	s.SlotTime += time.Duration(slotTimeWeight * float64(min(took, maxSlotSample*s.SlotTime)-s.SlotTime))
}

// Failures returns the share of recent statements that failed.
func (s *Service) Failures(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp(-float64(now.Sub(s.at))/float64(failureDecay))
}

func (s *Service) recentWork(now time.Time) time.Duration {
	return time.Duration(float64(s.work) * math.Exp(-float64(now.Sub(s.workAt))/float64(busyDecay)))
}

// Running returns the mean number of statements that ran recently.
func (s *Service) Running(now time.Time) float64 {
	return float64(s.recentWork(now)) / float64(busyDecay)
}
