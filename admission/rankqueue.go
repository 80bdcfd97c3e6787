package admission

import (
	"container/heap"
	"slices"
	"time"
)

// request is a waiting or running request.
type request struct {
	Arrived
	arrived time.Time
	started time.Time
	// charged is the estimated slot time that was charged to the caller at the
	// start.
	charged time.Duration
	// usesCredit is set if the request was started because its rank had credit.
	// Its slot time is then subtracted from Queue.credit.
	usesCredit bool
	// accountIndex and rankIndex are the indexes in account.waiting and in
	// rankQueue.deadlines.
	accountIndex int
	rankIndex    int
	// order is the number of requests that were started before it, and overtaken how many
	// that were started after it have ended.
	order     uint64
	overtaken int
	// late and overdue are set if the answer may be, and if it probably is lost.
	late, overdue bool
	// turn orders the requests of a team: its callers' first requests come before
	// their second ones.
	turn uint64
}

// account is the state of one team, or of one caller without a team, in a
// rankQueue. It is kept while requests wait or run, and until virtualTime reaches
// its slot time.
type account struct {
	name string
	// weight is that of the newest request; it is positive.
	weight float64
	// served is the slot time that was used, divided by weight. When the first
	// request starts to wait, it is raised to virtualTime, so that idle time earns
	// no credit.
	served  time.Duration
	running int
	waiting requestHeap
	// index is the index in rankQueue.waiting, or -1 if no request waits.
	index int
	// turn is that of the request that was started last. lastTurns holds the turn
	// of each caller's last request, if that is later; it is nil without a team.
	turn      uint64
	lastTurns map[string]uint64
}

// rankQueue holds the waiting requests of one rank and serves accounts fairly by
// used slot time.
type rankQueue struct {
	accounts map[string]*account
	// waiting holds the accounts with waiting requests, least served first.
	waiting accountHeap
	// deadlines holds all waiting requests, earliest deadline first.
	deadlines deadlineHeap
	// virtualTime is the served time of the least served waiting account. It
	// never decreases.
	virtualTime time.Duration
	// arrivalOrder runs each account's requests in order of arrival.
	arrivalOrder bool
}

func newRankQueue(arrivalOrder bool) *rankQueue {
	return &rankQueue{accounts: map[string]*account{}, arrivalOrder: arrivalOrder}
}

func (l *rankQueue) len() int { return len(l.deadlines) }

func (l *rankQueue) account(r *request) *account {
	n := r.account()
	a, ok := l.accounts[n]
	if !ok {
		a = &account{name: n, served: l.virtualTime, index: -1, waiting: requestHeap{arrivalOrder: l.arrivalOrder}}
		if r.Team != "" {
			a.lastTurns = map[string]uint64{}
		}
		l.accounts[n] = a
	}
	a.weight = r.weight()
	return a
}

func (l *rankQueue) push(r *request) {
	a := l.account(r)
	a.takeTurn(r)
	heap.Push(&a.waiting, r)
	heap.Push(&l.deadlines, r)
	l.update(a)
}

// takeTurn sets the turn of a request of a team.
func (a *account) takeTurn(r *request) {
	if a.lastTurns == nil {
		return
	}
	if len(a.lastTurns) > 2*len(a.waiting.requests)+minLastTurns {
		for c, t := range a.lastTurns {
			if t <= a.turn {
				delete(a.lastTurns, c)
			}
		}
	}
	r.turn = max(a.lastTurns[r.Caller], a.turn) + 1
	a.lastTurns[r.Caller] = r.turn
}

// minLastTurns is the size of account.lastTurns below which it isn't pruned.
const minLastTurns = 32

func (l *rankQueue) remove(r *request) {
	a := l.accounts[r.account()]
	heap.Remove(&a.waiting, r.accountIndex)
	heap.Remove(&l.deadlines, r.rankIndex)
	l.update(a)
}

// charge adds to the used slot time of a request's account and to its number of
// running requests.
func (l *rankQueue) charge(r *request, d time.Duration, running int) {
	a := l.account(r)
	a.served += time.Duration(float64(d) / a.weight)
	a.running += running
	a.turn = max(a.turn, r.turn)
	l.update(a)
}

// update restores the heap order after a change of an account, advances
// virtualTime and deletes the account if it is no longer needed.
func (l *rankQueue) update(a *account) {
	switch n := len(a.waiting.requests); {
	case n > 0 && a.index < 0:
		a.served = max(a.served, l.virtualTime)
		heap.Push(&l.waiting, a)
	case n > 0:
		heap.Fix(&l.waiting, a.index)
	case a.index >= 0:
		heap.Remove(&l.waiting, a.index)
	}
	if len(l.waiting) > 0 {
		l.virtualTime = max(l.virtualTime, l.waiting[0].served)
	}
	if len(a.waiting.requests) == 0 && a.running == 0 && a.served <= l.virtualTime {
		delete(l.accounts, a.name)
	}
}

// nextRequest returns the next request of the least served account. The queue must
// not be empty.
func (l *rankQueue) nextRequest() *request { return l.waiting[0].waiting.requests[0] }

// nextExcept returns the next request of the least served account whose requests
// aren't left out, or nil.
func (l *rankQueue) nextExcept(leaveOut func(*request) bool) *request {
	var best *account
	for _, a := range l.waiting {
		if (best == nil || a.served < best.served) && !leaveOut(a.waiting.requests[0]) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting.requests[0]
}

// earliestDeadline returns the waiting request with the earliest deadline, or nil.
func (l *rankQueue) earliestDeadline() *request {
	if len(l.deadlines) == 0 {
		return nil
	}
	return l.deadlines[0]
}

// countAhead returns how many waiting requests would run before a new one.
// Accounts take turns, so each waiting account counts for as many requests as the
// new one's would have, up to the number of all waiting requests.
func (l *rankQueue) countAhead(r *request) int {
	n := l.countWaiting(r)
	if r.Team == "" {
		return min((n+1)*max(len(l.waiting), 1)-1, len(l.deadlines))
	}
	w, o := r.weight(), float64(n)
	for _, a := range l.waiting {
		if a.name != r.account() {
			o += min(float64(n+1)*a.weight/w, float64(len(a.waiting.requests)))
		}
	}
	return int(o)
}

// countWaiting returns how many requests of a request's account wait.
func (l *rankQueue) countWaiting(r *request) int {
	if a := l.accounts[r.account()]; a != nil {
		return len(a.waiting.requests)
	}
	return 0
}

// evictionCandidate returns a request to evict from a full queue in favor of a new
// one: the last in the heap of the account with the most waiting requests for its
// weight, or the last of a team. It returns nil unless that account has at least two more waiting requests
// than the new one's.
func (l *rankQueue) evictionCandidate(r *request) *request {
	var most *account
	for _, a := range l.waiting {
		if most == nil || float64(len(a.waiting.requests))*most.weight > float64(len(most.waiting.requests))*a.weight {
			most = a
		}
	}
	if most == nil || most.name == r.account() || len(most.waiting.requests) <= l.countWaiting(r)+1 {
		return nil
	}
	w := most.waiting.requests
	if most.lastTurns != nil {
		return slices.MaxFunc(w, most.waiting.compare)
	}
	return w[len(w)-1]
}
