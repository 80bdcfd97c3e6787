package admission

import (
	"container/heap"
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
	// usesCredit is set if the request was started because its rank had credit. Its
	// slot time is then subtracted from Queue.credit.
	usesCredit bool
	// accountIndex and rankIndex are the indexes in account.waiting and in
	// rankQueue.deadlines.
	accountIndex int
	rankIndex    int
}

// account is one caller's state in a rankQueue. It is kept while the caller has
// waiting or running requests, and until virtualTime reaches its slot time.
type account struct {
	caller string
	// served is the slot time that the caller has used. When the caller starts to
	// wait, it is raised to virtualTime, so that idle time earns no credit.
	served  time.Duration
	running int
	waiting requestHeap
	// index is the index in rankQueue.waiting, or -1 if no request waits.
	index int
}

// rankQueue holds the waiting requests of one rank and serves callers fairly by
// used slot time.
type rankQueue struct {
	accounts map[string]*account
	// waiting holds the callers with waiting requests, least served first.
	waiting accountHeap
	// deadlines holds all waiting requests, earliest deadline first.
	deadlines deadlineHeap
	// virtualTime is the used slot time of the least served waiting caller. It
	// never decreases.
	virtualTime time.Duration
	// arrivalOrder runs each caller's requests in order of arrival.
	arrivalOrder bool
}

func newRankQueue(arrivalOrder bool) *rankQueue {
	return &rankQueue{accounts: map[string]*account{}, arrivalOrder: arrivalOrder}
}

func (l *rankQueue) len() int { return len(l.deadlines) }

func (l *rankQueue) account(caller string) *account {
	a, ok := l.accounts[caller]
	if !ok {
		a = &account{caller: caller, served: l.virtualTime, index: -1, waiting: requestHeap{arrivalOrder: l.arrivalOrder}}
		l.accounts[caller] = a
	}
	return a
}

func (l *rankQueue) push(r *request) {
	a := l.account(r.Caller)
	heap.Push(&a.waiting, r)
	heap.Push(&l.deadlines, r)
	l.update(a)
}

func (l *rankQueue) remove(r *request) {
	a := l.accounts[r.Caller]
	heap.Remove(&a.waiting, r.accountIndex)
	heap.Remove(&l.deadlines, r.rankIndex)
	l.update(a)
}

// charge adds to a caller's used slot time and its number of running requests.
func (l *rankQueue) charge(caller string, d time.Duration, running int) {
	a := l.account(caller)
	a.served += d
	a.running += running
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
		delete(l.accounts, a.caller)
	}
}

// nextRequest returns the next request of the least served caller. The queue must
// not be empty.
func (l *rankQueue) nextRequest() *request { return l.waiting[0].waiting.requests[0] }

// earliestDeadline returns the waiting request with the earliest deadline, or nil.
func (l *rankQueue) earliestDeadline() *request {
	if len(l.deadlines) == 0 {
		return nil
	}
	return l.deadlines[0]
}

// countAhead returns how many waiting requests would run before a new one of the
// caller. Callers take turns, so each waiting caller counts for as many requests
// as this caller would have, up to the number of all waiting requests.
func (l *rankQueue) countAhead(caller string) int {
	n := 0
	if a := l.accounts[caller]; a != nil {
		n = len(a.waiting.requests)
	}
	return min((n+1)*max(len(l.waiting), 1)-1, len(l.deadlines))
}

// evictionCandidate returns a request to evict from a full queue in favor of a new
// one of the given caller: the last in the heap of the caller with the most
// waiting requests. It returns nil unless that caller has at least two more
// waiting requests than the given one.
func (l *rankQueue) evictionCandidate(caller string) *request {
	var most *account
	for _, a := range l.waiting {
		if most == nil || len(a.waiting.requests) > len(most.waiting.requests) {
			most = a
		}
	}
	n := 0
	if a := l.accounts[caller]; a != nil {
		n = len(a.waiting.requests)
	}
	if most == nil || len(most.waiting.requests) <= n+1 {
		return nil
	}
	w := most.waiting.requests
	return w[len(w)-1]
}
