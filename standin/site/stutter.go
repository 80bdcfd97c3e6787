package site

import (
	"math/rand/v2"
	"time"
)

const (
	// stutterEvery is the share of the answers that a member repeats while it stutters.
	stutterEvery = 10
	// maxStutterDelay is the greatest delay of a repeated answer.
	maxStutterDelay = 25 * time.Millisecond
)

// SetStutter makes the members of group i repeat answers, until the returned function is
// called: at once, after a while, or when they have got the next statement.
func (s *Site) SetStutter(i int, seed uint64) (end func()) {
	g := s.groups[i]
	set := func(r *rand.Rand) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.stutter = r
	}
	set(rand.New(rand.NewPCG(seed, uint64(i))))
	return func() { set(nil) }
}

// repetition draws when an answer is repeated. It is not repeated unless ok; with held it
// is once the next message has arrived, otherwise after the delay.
func (g *group) repetition() (delay time.Duration, held, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stutter == nil || g.stutter.IntN(stutterEvery) > 0 {
		return 0, false, false
	}
	switch g.stutter.IntN(3) {
	case 0:
		return 0, false, true
	case 1:
		return 0, true, true
	default:
		return time.Duration(g.stutter.Int64N(int64(maxStutterDelay))), false, true
	}
}

// sendAnswer sends the answer to a message. Statements are at times answered twice.
func (s *backendSession) sendAnswer(kind string) error {
	b := s.answer
	s.answer = nil
	if err := s.write(b); err != nil || kind != "QUERY" {
		return err
	}
	delay, held, ok := s.member.group.repetition()
	switch {
	case !ok:
	case held:
		s.held = b
	case delay == 0:
		return s.write(b)
	default:
		time.AfterFunc(delay, func() { _ = s.write(b) })
	}
	return nil
}

// sendHeld repeats the answer that was held until the next message.
func (s *backendSession) sendHeld() {
	if s.held != nil {
		_ = s.write(s.held)
		s.held = nil
	}
}
