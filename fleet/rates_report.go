package fleet

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dragonflypick/dragonflypick/query"
)

// Bounds of what is reported of teams.
const (
	// maxTeamLabels bounds the values of the label team.
	maxTeamLabels = 128
	// otherTeams is the label of the teams beyond these.
	otherTeams = "other"
	// refusalLogInterval is the shortest time between two log lines about the refusals
	// of one team.
	refusalLogInterval = 2 * time.Second
)

// rateMetrics are the metrics of the rates of teams.
type rateMetrics struct {
	// admitted and refused count the operations of teams at this host, lent the tokens
	// that it lends, and lendCalls its calls to accountants.
	admitted  *prometheus.CounterVec
	refused   *prometheus.CounterVec
	lent      *prometheus.CounterVec
	lendCalls *prometheus.CounterVec
	// teamLabels bounds the label team.
	teamLabels teamLabels
}

func newRateMetrics() rateMetrics {
	return rateMetrics{
		teamLabels: teamLabels{values: map[string]bool{}},
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_team_admitted_total", Help: "Operations of teams with a rate that were let in at this host.",
		}, []string{"team"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_team_refused_total", Help: "Operations of teams with a rate that were refused at this host, by reason.",
		}, []string{"team", "reason"}),
		lent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_team_lent_total", Help: "Tokens that this host has lent as the accountant of teams.",
		}, []string{"team"}),
		lendCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dragonflypick_lend_calls_total", Help: "Calls of this host to the accountants of teams, by outcome.",
		}, []string{"outcome"}),
	}
}

// teamLabels holds the values of the label team that are in use.
type teamLabels struct {
	sync.Mutex
	values map[string]bool
}

// refusalLog holds when the refusals of each labelled team for each reason were last
// logged, and how many there were since.
type refusalLog map[refusalKey]*refusalCount

type refusalKey struct{ team, reason string }

type refusalCount struct {
	at    time.Time
	count int
}

// teamLabel returns the value of the label team for a team.
func (f *Daemon) teamLabel(team string) string {
	f.metrics.teamLabels.Lock()
	defer f.metrics.teamLabels.Unlock()
	m := f.metrics.teamLabels.values
	if !m[team] && len(m) >= maxTeamLabels {
		return otherTeams
	}
	m[team] = true
	return team
}

// recordRefusal counts and logs that an operation was not admitted.
func (f *Daemon) recordRefusal(q *query.Request, r *refusal) {
	l := f.teamLabel(q.Team)
	f.metrics.refused.WithLabelValues(l, r.reason).Inc()
	f.rates.mu.Lock()
	if f.rates.logged == nil {
		f.rates.logged = refusalLog{}
	}
	k := refusalKey{team: l, reason: r.reason}
	c := f.rates.logged[k]
	if c == nil {
		c = &refusalCount{}
		f.rates.logged[k] = c
	}
	c.count++
	n, t := c.count, now()
	due := t.Sub(c.at) >= refusalLogInterval
	if due {
		c.at, c.count = t, 0
	}
	f.rates.mu.Unlock()
	f.config.Log.Info("request failed", "id", q.ID, "session", q.Session, "team", q.Team, "group", q.Group, "rank", q.Rank.String(), "use", q.Stage, "action", q.Action, "reason", query.Overloaded,
		"detail", refusalTexts[r.reason], "accounting-group", r.group, "mode", r.mode, "stock", r.grant.Stock, "outstanding", r.grant.Outstanding, "retry-after-ms", r.retryAfter.Milliseconds())
	if !due {
		return
	}
	f.mu.Lock()
	h, known := f.holderHost(r.group, "")
	f.mu.Unlock()
	f.config.Log.Info("operations of a team refused", "team", q.Team, "count", n, "reason", r.reason, "rate", r.grant.Limit.Rate, "burst", r.grant.Limit.Burst, "stock", r.grant.Stock, "outstanding", r.grant.Outstanding,
		"mode", r.mode, "accountant", h.ID, "accountant-reachable", known, "group", r.group, "copy-age-ms", f.copyAgeMillis(), "retry-after-ms", r.retryAfter.Milliseconds())
}
