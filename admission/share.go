package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

const (
	// excessFactor is how many times its share of the slots a team may use before it
	// is in excess.
	excessFactor = 2
	// minExcessFraction is the fraction of the slots up to which no team is in excess,
	// so that a small team isn't for a single slow request.
	minExcessFraction = 0.1
	// teamExpiry is how long a team without requests counts in the sum of weights.
	teamExpiry = 10 * time.Second
)

// teamUse is the recent use of slots by a team, in all ranks.
type teamUse struct {
	slotMeter
	weight float64
}

// teamShares measures which teams use far more than their share of the slots. The
// load that it answers is a team that sends many times its usual: its urgent requests
// would otherwise take the slots of other teams' less urgent ones. A team in excess is
// served after all others; slots that these leave free are still its own.
type teamShares struct {
	teams map[string]*teamUse
	// excess maps the teams in excess to the slots that they use beyond the limit.
	excess    map[string]float64
	updatedAt time.Time
}

// excessInterval is the time between two updates of the teams in excess.
const excessInterval = 20 * time.Millisecond

// record adds the slot time of a request.
func (t *teamShares) record(r *request, d time.Duration, now time.Time) {
	if r.Team == "" {
		return
	}
	if t.teams == nil {
		t.teams, t.excess = map[string]*teamUse{}, map[string]float64{}
	}
	u := t.teams[r.Team]
	if u == nil {
		u = &teamUse{}
		t.teams[r.Team] = u
	}
	u.weight = r.weight()
	u.add(d, now)
}

// update finds the teams in excess.
func (t *teamShares) update(slots int, now time.Time) {
	if len(t.teams) == 0 || now.Sub(t.updatedAt) < excessInterval {
		return
	}
	t.updatedAt = now
	all := 0.0
	for n, u := range t.teams {
		if now.Sub(u.updated) > teamExpiry {
			delete(t.teams, n)
			continue
		}
		all += u.weight
	}
	clear(t.excess)
	for n, u := range t.teams {
		limit := float64(slots) * max(excessFactor*u.weight/all, minExcessFraction)
		if a := u.average(now); a > limit {
			t.excess[n] = a - limit
		}
	}
}

// has reports whether a request's team is in excess.
func (t *teamShares) has(r *request) bool {
	_, ok := t.excess[r.Team]
	return ok
}

// excessSlots returns the slots that teams other than the request's use in excess.
func (t *teamShares) excessSlots(r *request) float64 {
	n := 0.0
	for k, e := range t.excess {
		if k != r.Team {
			n += e
		}
	}
	return n
}

// TeamsInExcess returns the teams that use far more than their share of the slots,
// sorted.
func (q *Queue) TeamsInExcess() []string { return slices.Sorted(maps.Keys(q.shares.excess)) }

// excessWork returns the total mean slot time of the requests above rank r that wait
// for teams in excess.
func (q *Queue) excessWork(r bundle.Rank) time.Duration {
	var w time.Duration
	for n := range q.shares.excess {
		for i := bundle.Urgent; i < r; i++ {
			w += time.Duration(q.ranks[i].countWaiting(&request{Arrived: Arrived{Team: n}})) * q.slotTime[i]
		}
	}
	return w
}

// workAheadOf is workAhead for a request: work of teams in excess comes after that of
// other teams, and their own comes after all of it.
func (q *Queue) workAheadOf(x *request) time.Duration {
	w := q.workAhead(x.Rank)
	if !q.shares.has(x) {
		return max(w-q.excessWork(x.Rank), 0)
	}
	for i := x.Rank + 1; i < bundle.RankCount; i++ {
		w += time.Duration(q.ranks[i].len()) * q.slotTime[i]
	}
	return w
}

// expectedSlotsOf is expectedSlots for a request: slots that teams use in excess are
// left to other teams.
func (q *Queue) expectedSlotsOf(x *request, now time.Time) float64 {
	n := q.expectedSlots(x.Rank, now)
	if len(q.shares.excess) == 0 || q.shares.has(x) {
		return n
	}
	return min(n+q.shares.excessSlots(x), float64(q.slotLimit(x.Rank)))
}
