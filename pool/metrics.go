package pool

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/query"
	"github.com/dragonflypick/dragonflypick/teamconns"
)

// exchangeLogInterval is how often a pool logs that connections were opened in place of
// other teams' ones.
const exchangeLogInterval = 10 * time.Second

// closedRefused is the reason for which a connection that has refused a step is closed
// before a write.
const closedRefused = "refused-before"

// Reasons of failed openings.
const (
	failedFull        = "member-full"
	failedUnreachable = "unreachable"
)

// Metrics counts the connections of all pools of a daemon. It is safe for concurrent
// use.
type Metrics struct {
	opened, closed, failed *prometheus.CounterVec
	// steps counts what the members ran, and stepSeconds how long that took, by step.
	steps, stepSeconds *prometheus.CounterVec
	// overdueReads counts the reads that were given up since their answer was probably
	// lost.
	overdueReads prometheus.Counter
	// faults counts the steps without an answer to use, by AnswerFault or otherwise.
	faults *prometheus.CounterVec
	// refusals counts the refusals of members by reason.
	refusals *prometheus.CounterVec
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	labeled := func(label, name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	v := func(name, help string) *prometheus.CounterVec { return labeled("reason", name, help) }
	return &Metrics{
		opened:      v("dragonflypick_member_connections_opened_total", "Connections opened to members, by why the request didn't use an open one."),
		closed:      v("dragonflypick_member_connections_closed_total", "Idle connections to members that were closed, by reason."),
		failed:      v("dragonflypick_member_connections_failed_total", "Connections to members that could not be opened, by reason."),
		steps:       labeled("step", "dragonflypick_member_steps_total", "Steps that members of this daemon ran, by step."),
		stepSeconds: labeled("step", "dragonflypick_member_step_seconds_total", "Time that the steps took at members, waiting there included, by step. Statements and commits take a slot."),
		faults:      labeled("fault", "dragonflypick_member_answer_faults_total", "Steps without an answer to use, by what was wrong: lost, connection-ended, or an answer that isn't to the step."),
		refusals:    v("dragonflypick_member_refusals_total", "Steps that members refused or failed, by reason."),
		overdueReads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dragonflypick_member_overdue_reads_total", Help: "Reads given up before their deadline since their answer was probably lost.",
		}),
	}
}

// Collectors returns the collectors to register with a metrics server.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.opened, m.closed, m.failed, m.steps, m.stepSeconds, m.overdueReads, m.faults, m.refusals}
}

// countStep counts a step that a member ran.
func (m *Metrics) countStep(s query.Step, took time.Duration) {
	n := stepName(s)
	m.steps.WithLabelValues(n).Inc()
	m.stepSeconds.WithLabelValues(n).Add(took.Seconds())
}

// stepName returns the name of a step in metrics.
func stepName(s query.Step) string {
	switch s := s.(type) {
	case query.RunStatement:
		return "statement"
	case query.BeginTransaction:
		return "begin"
	case query.EndTransaction:
		if s.Commit {
			return "commit"
		}
		return "rollback"
	default:
		return "set-up"
	}
}

func (m *Metrics) countOpeningFailed(full bool) {
	why := failedUnreachable
	if full {
		why = failedFull
	}
	m.failed.WithLabelValues(why).Inc()
}

// exchangeLog is what a pool logs about the connections that it opened in place of
// others.
type exchangeLog struct {
	// opened counts all connections opened, and replaced those closed for another
	// team, since the last line.
	opened, replaced int
	loggedAt         time.Time
}

// countOpened counts an opened connection; p.mu is held.
func (p *Pool) countOpened(why teamconns.OpenReason) {
	p.config.Metrics.opened.WithLabelValues(string(why)).Inc()
	p.exchanged.opened++
}

// countClosed counts a closed idle connection; p.mu is held.
func (p *Pool) countClosed(why teamconns.CloseReason) {
	p.config.Metrics.closed.WithLabelValues(string(why)).Inc()
	if why == teamconns.CloseForOther {
		p.exchanged.replaced++
	}
}

// logExchanged logs how many connections were opened in place of other teams' ones, if
// any were; p.mu is held.
func (p *Pool) logExchanged(now time.Time) {
	e := &p.exchanged
	if e.replaced == 0 || now.Sub(e.loggedAt) < exchangeLogInterval {
		return
	}
	p.config.Log.Info("connections exchanged between teams", "member", p.config.Member.ID, "opened", e.opened, "replaced", e.replaced, "connections", p.set.Len(), "idle", p.set.Idle())
	*e = exchangeLog{loggedAt: now}
}
