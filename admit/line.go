package admit

import (
	"container/heap"
	"time"
)

// request is a waiting or running request.
type request struct {
	Arrived
	arrived time.Time
	started time.Time
	// charged is the slot time that was reckoned with at the start.
	charged time.Duration
	// onShare tells that the request was started on its rank's share.
	onShare bool
	// accountIndex and all are the places in the caller's and the line's heap.
	accountIndex int
	rankIndex    int
}

// account is one caller's part of a line. It exists only while the caller waits
// or runs.
type account struct {
	caller string
	// served is the slot time that the caller has had, level with the least
	// served one when it joins.
	served  time.Duration
	running int
	waiting requestHeap
	// index is the place in the line's heap of waiting callers, or -1.
	index int
}

// rankQueue holds the waiting requests of one rank.
type rankQueue struct {
	accounts map[string]*account
	// waiting holds the callers that wait, least served first.
	waiting accountHeap
	// deadlines holds all requests, earliest deadline first.
	deadlines deadlineHeap
	// virtualTime is the slot time of the caller that was served last.
	virtualTime time.Duration
	// arrivalOrder ignores deadlines within a caller.
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

// charge adds slot time and running requests to a caller.
func (l *rankQueue) charge(caller string, d time.Duration, running int) {
	a := l.account(caller)
	a.served += d
	a.running += running
	l.update(a)
}

// update puts a caller where it belongs, or forgets it.
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

// first returns the next request of the caller that was served least.
func (l *rankQueue) first() *request { return l.waiting[0].waiting.requests[0] }

// earliest returns the request with the earliest deadline, or nil.
func (l *rankQueue) earliest() *request {
	if len(l.deadlines) == 0 {
		return nil
	}
	return l.deadlines[0]
}

// countAhead returns how many waiting requests go before a new one of the caller:
// as many of each waiting caller as it has itself, and no more than there are.
func (l *rankQueue) countAhead(caller string) int {
	n := 0
	if a := l.accounts[caller]; a != nil {
		n = len(a.waiting.requests)
	}
	return min((n+1)*max(len(l.waiting), 1)-1, len(l.deadlines))
}

// victim returns the latest request of the caller with the most waiting ones,
// if that has more than one waiting request above the given caller's.
func (l *rankQueue) victim(caller string) *request {
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
