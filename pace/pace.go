// Package pace finds how many statements a backend server is to run at a time, and
// how many connections to it are to be opened at a time, from how it answers.
//
// The load that it answers: statements queue for a server that has just started, has
// come back with an empty cache or changes its owner. A fixed number of statements
// floods it, so that each takes longer than it would wait; a fixed ramp leaves a server
// idle that is fast at once.
//
// A server that has started recently begins with the least limit, which doubles while
// answers are in line with the usual time of their kind. Slowness alone doesn't lower
// the limit, because a server that is slower for any number of statements does most
// with all of its slots: while answers of a server that has started or refused
// statements are out of line, fewer are tried, and the limit remains low only if they are
// faster for it and slower again with more.
//
// The package reads no clock and does no I/O.
package pace

import (
	"math"
	"time"
)

// Limits and thresholds. Those of slowness are natural logarithms of time ratios.
const (
	// KindCount is the number of kinds of statements.
	KindCount = 16
	// tolerance is the slowness beyond which answers are out of line.
	tolerance = 0.405
	// maxDeviation caps the deviation of one answer, so that a few statements of
	// the tail don't decide.
	maxDeviation = 3
	// answersPerStatement is the number of answers in a window for each statement
	// of the limit; a trial takes trialFactor times as many.
	answersPerStatement = 8
	minWindowAnswers    = 12
	trialFactor         = 2
	// certain is the number of standard errors beyond a threshold at which a window
	// ends before it has all of its answers, but not before earlyAnswers. Trials take
	// certainTrial to show saturation, and certainUniform to show none: a server that
	// keeps its slots in error is tried again and loses less.
	certain        = 3
	certainTrial   = 2
	certainUniform = 1
	earlyAnswers   = 16
	// minSpread is the least standard deviation assumed for answers.
	minSpread = 0.5
	// fullShare is the least share of the answers in a window that were given while
	// the limit was used up, if the window is to justify a trial.
	fullShare = 0.7
	// helpShare is the part of the greatest possible gain by which a trial shows
	// that the server is saturated.
	helpShare = 0.7
	// minTrialInterval and maxTrialInterval bound the time between trials of fewer
	// statements, which doubles while they don't help.
	minTrialInterval = 8 * time.Second
	maxTrialInterval = time.Minute
	// minHold and maxHold bound the time between trials of more statements, which
	// doubles while the server is saturated.
	minHold = 500 * time.Millisecond
	maxHold = 8 * time.Second
	// trialPause is the least time between two trials as a multiple of the first.
	trialPause = 2
	// maxPause is the longest time between two trials of more statements.
	maxPause = max(maxHold, trialPause*maxWindowTime)
	// settleRounds is how often each statement of the limit is answered after a change
	// before the answers count: the first ones were sent under the earlier limit.
	settleRounds = 2
	// maxWindowFactor bounds the answers that a window collects while it waits for the
	// next trial, as a multiple of its size.
	maxWindowFactor = 4
	// maxWindowTime ends a window that is older, since its answers tell of a state
	// that has passed.
	maxWindowTime = 5 * time.Second
	// busyInterval is how long after a fall further refusals are ignored, which
	// belong to the same overload.
	busyInterval = 100 * time.Millisecond
	// crowdTime is how long a limit below the slots is kept while no answer counts.
	crowdTime = 300 * time.Millisecond
	// knownAnswers is the number of answers after which a kind's usual time is known.
	knownAnswers = 8
	// usualWeight and recentWeight are the weights of a new answer in a kind's usual
	// time and in the recent slowness; fasterWeight and slowerWeight are those of a
	// window in the level.
	usualWeight  = 0.002
	recentWeight = 0.05
	fasterWeight = 0.2
	slowerWeight = 0.1
	// floorDivisor divides the slots into the least limit.
	floorDivisor = 3
	// minTook is the least time that an answer counts with, and maxWaitShare the
	// greatest part of it that is taken for waiting.
	minTook      = 50 * time.Microsecond
	maxWaitShare = 0.75
	// serviceWeight is the weight of a new answer in the mean time, and
	// maxServiceFactor caps an answer at this multiple of it.
	serviceWeight    = 0.02
	maxServiceFactor = 8
)

// Kind is a kind of statement, below KindCount. Only times of one kind are compared.
type Kind uint8

// Event is an input of Pace.Handle.
type Event interface{ event() }

// Answered reports that the server has completed a statement.
type Answered struct {
	Kind Kind
	Took time.Duration
	// Running is the number of statements that ran at the server when this one was
	// sent, itself included.
	Running int
}

// Busy reports that the server refused a statement because its queue was full.
type Busy struct{}

// Opened reports that a connection was opened.
type Opened struct{ Took time.Duration }

// OpeningRefused reports that the server refused a connection because it had too many.
type OpeningRefused struct{}

func (Answered) event()       {}
func (Busy) event()           {}
func (Opened) event()         {}
func (OpeningRefused) event() {}

// Config holds what is known of a server at first.
type Config struct {
	// Slots is the number of statements that the server runs at a time, and Connections
	// the number of connections that may be open.
	Slots       int
	Connections int
	// Cold is how much longer the server will be slow according to the platform.
	Cold time.Duration
	// Fresh is set if the server has started recently.
	Fresh bool
	// Known is what an earlier owner found; nil if nothing is known.
	Known *State
}

// State is what an owner has found, for the next owner.
type State struct {
	// Limit and Openings are the limits in force; zero if they aren't known.
	Limit    int `json:"l,omitempty"`
	Openings int `json:"o,omitempty"`
	// Level is the accepted slowness in thousandths.
	Level int `json:"v,omitempty"`
	// Usual is the usual time of each kind in microseconds, zero if unknown.
	Usual [KindCount]int `json:"u"`
}

// usual is the usual time of one kind.
type usual struct {
	// mean is the natural logarithm of the time in seconds.
	mean    float64
	answers int
}

func (u *usual) known() bool { return u.answers >= knownAnswers }

// add adds a sample. The first ones have equal weights.
func (u *usual) add(x float64) {
	u.answers = min(u.answers+1, math.MaxInt32)
	d := x - u.mean
	if u.known() {
		d = min(max(d, -maxDeviation), maxDeviation)
	}
	u.mean += d * max(usualWeight, 1/float64(u.answers))
}

// trial is a limit that is tried to see whether fewer statements are faster.
type trial struct {
	// from is the limit before the trial, and before the window that shows its
	// slowness.
	from   int
	before window
	// confirms is set for the trial of more statements that has to show that a gain
	// from fewer ones didn't come by itself.
	confirms bool
}

// Pace finds the limits of one server. It is not safe for concurrent use.
type Pace struct {
	config Config
	usual  [KindCount]usual
	// limit is between floor and Config.Slots.
	limit int
	// level is the slowness that the server has for any limit; recent is the mean
	// slowness of the last answers.
	level  float64
	recent float64
	// service is the mean time of statements of all kinds in seconds, without waiting.
	service float64
	window  window
	// settling is the number of answers to ignore after a change of the limit.
	settling int
	// trial is nil unless one is under way.
	trial *trial
	// starting is set while a server that has started recently was always in line with
	// the usual time, so that the limit rises without trials.
	starting bool
	// watched is set from the server's start, or a refusal of statements, until its
	// answers are in line with all slots. Fewer statements are tried meanwhile only.
	watched bool
	// suspect is set while one window was out of line.
	suspect bool
	// knee is set while the limit is below the slots because more statements were
	// slower, or may be. The limit then rises by trials only.
	knee bool
	// nextTrial is the earliest start of a trial of fewer statements at the accepted
	// level, and trialInterval the time from the last one to it; nextRise and hold
	// are those of trials of more statements.
	nextTrial     time.Time
	trialInterval time.Duration
	nextRise      time.Time
	hold          time.Duration
	lastBusy      time.Time
	openings      openings
}

// New returns the pace of a server.
func New(c Config, now time.Time) *Pace {
	c.Slots, c.Connections = max(c.Slots, 1), max(c.Connections, 1)
	p := &Pace{config: c, limit: c.Slots, window: window{started: now}, trialInterval: minTrialInterval, nextTrial: now.Add(minTrialInterval), nextRise: now, hold: minHold}
	if c.Cold > 0 || c.Fresh {
		p.limit, p.watched = p.floor(), true
		p.knee, p.starting = p.limit < c.Slots, c.Known != nil
	}
	p.openings = newOpenings(c, now)
	if c.Known != nil {
		p.restore(*c.Known)
	}
	return p
}

// restore takes over what an earlier owner found.
func (p *Pace) restore(s State) {
	for i, u := range s.Usual {
		if u > 0 {
			p.usual[i] = usual{mean: math.Log(float64(u) / 1e6), answers: int(1 / usualWeight)}
		}
	}
	if s.Limit > 0 {
		// The earlier owner's last statements are still running.
		p.limit = min(max(s.Limit/2, p.floor()), p.limit)
		p.knee = p.limit < p.config.Slots
		p.starting = p.knee
		p.watched = p.watched || s.Limit < p.config.Slots
		p.level = min(max(float64(s.Level)/1000, -maxDeviation), maxDeviation)
		p.recent = p.level
	}
	if s.Openings > 0 {
		p.openings.limit = min(float64(s.Openings), p.openings.limit)
	}
}

// State returns what is known for the next owner.
func (p *Pace) State() State {
	s := State{Limit: p.limit, Openings: p.Openings(), Level: int(math.Round(p.level * 1000))}
	for i := range p.usual {
		if u := &p.usual[i]; u.known() {
			s.Usual[i] = int(math.Exp(min(u.mean, maxUsual)) * 1e6)
		}
	}
	return s
}

// maxUsual bounds the logarithm of a usual time.
const maxUsual = 6

// Limit returns the number of statements to run at a time.
func (p *Pace) Limit() int { return p.limit }

// Openings returns the number of connections to open at a time.
func (p *Pace) Openings() int { return p.openings.current() }

// floor returns the least limit, with which the server still shows its pace.
func (p *Pace) floor() int { return (p.config.Slots + floorDivisor - 1) / floorDivisor }
