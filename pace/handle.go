package pace

import (
	"math"
	"time"
)

// Reason is why a limit was changed or kept.
type Reason string

// The reasons of decisions.
const (
	// InLine means that answers were in line with the usual time.
	InLine Reason = "in-line"
	// TryFewer means that answers were out of line, and fewer statements are tried.
	TryFewer Reason = "try-fewer"
	// TryMore means that more statements are tried.
	TryMore Reason = "try-more"
	// Saturated means that a trial has shown that more statements are slower.
	Saturated Reason = "saturated"
	// Uniform means that a trial has shown that more statements aren't slower.
	Uniform Reason = "uniform"
	// Unused means that the trial ended without a result, for lack of statements.
	Unused Reason = "unused"
	// Refused means that the server refused statements.
	Refused Reason = "refused"
)

// Change describes a decision on the limit.
type Change struct {
	From, To int
	Reason   Reason
	// Slowness is the ratio of the statements' times to the usual ones, and Level the
	// ratio that is accepted for this server. Answers is the number of answers.
	Slowness, Level float64
	Answers         int
}

// Handle applies an event and returns the decision that it led to, or nil.
func (p *Pace) Handle(e Event, now time.Time) *Change {
	switch x := e.(type) {
	case Answered:
		return p.answered(x, now)
	case Busy:
		return p.refused(now)
	case Opened:
		p.openings.opened(x.Took, now)
	case OpeningRefused:
		p.openings.refused(now)
	}
	return nil
}

func (p *Pace) answered(x Answered, now time.Time) *Change {
	if x.Kind >= KindCount {
		return nil
	}
	// Answers that waited behind more than one other statement tell little.
	if x.Running > p.config.Slots+1 {
		return p.crowded(now)
	}
	c := p.expireWindow(now)
	t := math.Log(p.withoutWait(x))
	u := &p.usual[x.Kind]
	known, d := u.known(), t-u.mean
	u.add(t - p.recent)
	if !known {
		return c
	}
	d = min(max(d, p.level-maxDeviation), p.level+maxDeviation)
	p.recent += recentWeight * (d - p.recent)
	if p.settling > 0 {
		p.settling--
		p.window.started = now
		return c
	}
	w := &p.window
	w.add(d, x.Running >= p.limit)
	if !p.decided(w) {
		return c
	}
	o := *w
	*w = window{started: now}
	switch {
	case p.trial != nil:
		return p.endTrial(o, now)
	case p.limit < p.config.Slots && p.knee:
		return p.judgeRise(o, now)
	default:
		return p.judge(o, now)
	}
}

// crowded raises the limit of a server whose answers don't count for crowdTime because
// statements of open transactions fill it.
func (p *Pace) crowded(now time.Time) *Change {
	if p.trial != nil || p.limit == p.config.Slots {
		return p.expireWindow(now)
	}
	if d := now.Sub(p.window.started); d >= 0 && d < crowdTime {
		return nil
	}
	o := p.window
	p.window = window{started: now}
	return p.change(min(2*p.limit, p.config.Slots), Unused, o)
}

// withoutWait returns the time of an answer in seconds without the wait at the server
// behind a statement beyond its slots.
func (p *Pace) withoutWait(x Answered) float64 {
	t := max(x.Took, minTook).Seconds()
	if x.Running > p.config.Slots {
		t -= min(p.service/float64(p.config.Slots), maxWaitShare*t)
	}
	if p.service == 0 {
		p.service = t
	}
	p.service += serviceWeight * (min(t, maxServiceFactor*p.service) - p.service)
	return t
}

// expireWindow starts a new window, and ends the trial, if the window is too old or
// the clock was set back.
func (p *Pace) expireWindow(now time.Time) *Change {
	o := p.window
	if d := now.Sub(o.started); d >= 0 && d <= maxWindowTime {
		return nil
	}
	p.window = window{started: now}
	if p.trial == nil {
		return nil
	}
	t := *p.trial
	p.trial = nil
	return p.change(t.from, Unused, o)
}

// windowSize returns the number of answers that suffice for a decision.
func (p *Pace) windowSize() int {
	n := max(answersPerStatement*p.limit, minWindowAnswers)
	if p.trial != nil {
		n *= trialFactor
	}
	return n
}

// decided reports whether a window has enough answers.
func (p *Pace) decided(w *window) bool {
	n := p.windowSize()
	if w.answers < earlyAnswers || w.answers >= n {
		return w.answers >= n
	}
	if p.trial != nil {
		x, v := p.excess(w)
		return x > certainTrial*math.Sqrt(v) || -x > certainUniform*math.Sqrt(v)
	}
	return w.mean()-p.level-tolerance > certain*math.Sqrt(w.variance())
}

// excess returns by how much the greater of a trial's two limits is slower than what
// shows that the server is saturated, and the variance of that.
func (p *Pace) excess(w *window) (x, variance float64) {
	t := p.trial
	s := w.mean() - t.before.mean()
	r := math.Log(float64(p.limit) / float64(t.from))
	if r < 0 {
		s, r = -s, -r
	}
	return s - helpShare*r, w.variance() + t.before.variance()
}

// judge decides on a window outside of trials while no saturation is known.
func (p *Pace) judge(w window, now time.Time) *Change {
	s := w.mean()
	above := s - p.level
	due := s > tolerance && isDue(p.nextTrial, now, maxTrialInterval)
	out := above > tolerance
	if p.limit == p.config.Slots && s <= tolerance {
		p.watched = false
	}
	if !p.watched {
		return p.judgeUnwatched(w)
	}
	if (out || due) && w.isFull() && p.limit > p.floor() {
		// The window that raised the suspicion is slower than the mean by choice.
		if p.suspect || due || above-tolerance > certain*math.Sqrt(w.variance()) {
			return p.startTrial(trial{from: p.limit, before: w}, max(p.floor(), (p.limit+1)/2), TryFewer)
		}
		p.suspect = true
		return nil
	}
	if out {
		p.knee = p.limit < p.config.Slots
		return nil
	}
	p.follow(above)
	if p.limit == p.config.Slots {
		return nil
	}
	return p.change(min(p.limit+max(1, p.config.Slots/floorDivisor), p.config.Slots), InLine, w)
}

// judgeUnwatched decides on a window of a server that once was in line.
func (p *Pace) judgeUnwatched(w window) *Change {
	p.follow(w.mean() - p.level)
	if p.limit == p.config.Slots {
		return nil
	}
	return p.change(min(2*p.limit, p.config.Slots), InLine, w)
}

// judgeRise decides on a window while the server may be saturated by more.
func (p *Pace) judgeRise(w window, now time.Time) *Change {
	if !p.watched {
		return p.judgeUnwatched(w)
	}
	above := w.mean() - p.level
	if above > tolerance && w.isFull() && p.limit > p.floor() && isDue(p.nextTrial, now, maxTrialInterval) {
		return p.startTrial(trial{from: p.limit, before: w}, max(p.floor(), (p.limit+1)/2), TryFewer)
	}
	if !isDue(p.nextRise, now, maxPause) && w.answers < maxWindowFactor*p.windowSize() {
		p.window = w
		return nil
	}
	p.follow(min(above, tolerance))
	if !isDue(p.nextRise, now, maxPause) {
		return nil
	}
	p.starting = p.starting && above <= tolerance
	switch {
	case p.starting:
		return p.change(min(2*p.limit, p.config.Slots), InLine, w)
	case !w.isFull():
		return p.change(min(p.limit+1, p.config.Slots), InLine, w)
	}
	return p.startTrial(trial{from: p.limit, before: w}, min(2*p.limit, p.config.Slots), TryMore)
}

// isDue reports whether a time has come. One that is further ahead than the longest
// interval was set before the clock was set back.
func isDue(t, now time.Time, longest time.Duration) bool {
	d := t.Sub(now)
	return d <= 0 || d > longest
}

// follow moves the accepted level towards the slowness of a window.
func (p *Pace) follow(above float64) {
	p.suspect = false
	if above < 0 {
		p.level += fasterWeight * above
	} else {
		p.level += slowerWeight * above
	}
}

// startTrial starts a trial of a limit against an earlier one.
func (p *Pace) startTrial(t trial, limit int, r Reason) *Change {
	p.suspect, p.trial = false, &t
	return p.change(limit, r, t.before)
}

// endTrial decides whether fewer statements are faster.
func (p *Pace) endTrial(w window, now time.Time) *Change {
	t := *p.trial
	if !w.isFull() {
		p.trial = nil
		// A limit that isn't used up bounds nothing.
		return p.change(max(p.limit, t.from), Unused, w)
	}
	x, _ := p.excess(&w)
	p.trial = nil
	pause := trialPause * max(now.Sub(w.started), 0)
	if p.limit < t.from {
		return p.endTrialOfFewer(t, w, x >= 0, now, pause)
	}
	return p.endTrialOfMore(t, w, x >= 0, now, pause)
}

func (p *Pace) endTrialOfFewer(t trial, w window, saturated bool, now time.Time, pause time.Duration) *Change {
	if saturated {
		p.level, p.knee = min(p.level, w.mean()), true
		p.trialInterval, p.hold = minTrialInterval, minHold
		// What passes by itself also looks like a gain, but doesn't come back.
		return p.startTrial(trial{from: p.limit, before: w, confirms: true}, t.from, TryMore)
	}
	if !p.knee {
		p.level = (t.before.mean() + w.mean()) / 2
	}
	p.nextTrial = now.Add(max(p.trialInterval, pause))
	p.trialInterval = min(2*p.trialInterval, maxTrialInterval)
	return p.change(t.from, Uniform, w)
}

func (p *Pace) endTrialOfMore(t trial, w window, saturated bool, now time.Time, pause time.Duration) *Change {
	if saturated {
		p.nextRise = now.Add(max(p.hold, pause))
		p.hold = min(2*p.hold, maxHold)
		if t.confirms && t.from > p.floor() {
			return p.startTrial(trial{from: t.from, before: t.before}, max(p.floor(), t.from/2), Saturated)
		}
		return p.change(t.from, Saturated, w)
	}
	p.level, p.knee, p.hold = w.mean(), p.limit < p.config.Slots, minHold
	if p.knee {
		return p.startTrial(trial{from: p.limit, before: w}, min(2*p.limit, p.config.Slots), Uniform)
	}
	return p.change(p.limit, Uniform, w)
}

// refused halves the limit, once for each overload.
func (p *Pace) refused(now time.Time) *Change {
	if d := now.Sub(p.lastBusy); d >= 0 && d < busyInterval {
		return nil
	}
	p.lastBusy, p.trial, p.starting, p.watched = now, nil, false, true
	w := p.window
	p.window = window{started: now}
	return p.change(max(p.floor(), p.limit/2), Refused, w)
}

func (p *Pace) change(limit int, r Reason, w window) *Change {
	c := &Change{From: p.limit, To: limit, Reason: r, Slowness: math.Exp(w.mean()), Level: math.Exp(p.level), Answers: w.answers}
	if limit != p.limit {
		p.settling = settleRounds * max(limit, p.limit)
	}
	p.limit = limit
	if limit == p.config.Slots {
		p.knee, p.starting = false, false
	}
	return c
}
