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
	// charged is the slot time that was reckoned with at the start.
	charged time.Duration
	// onShare tells that the request was started on its rank's share.
	onShare bool
	// own and all are the places in the caller's and the line's heap.
	own int
	all int
}

// account is one caller's part of a line. It exists only while the caller waits
// or runs.
type account struct {
	caller string
	// served is the slot time that the caller has had, level with the least
	// served one when it joins.
	served  time.Duration
	running int
	waiting byOrder
	// at is the place in the line's heap of waiting callers, or -1.
	at int
}

// line holds the waiting requests of one rank.
type line struct {
	accounts map[string]*account
	// waiting holds the callers that wait, least served first.
	waiting byServed
	// deadlines holds all requests, earliest deadline first.
	deadlines byDeadline
	// level is the slot time of the caller that was served last.
	level time.Duration
	// arrivalOrder ignores deadlines within a caller.
	arrivalOrder bool
}

func newLine(arrivalOrder bool) *line {
	return &line{accounts: map[string]*account{}, arrivalOrder: arrivalOrder}
}

func (l *line) len() int { return len(l.deadlines) }

func (l *line) account(caller string) *account {
	a, ok := l.accounts[caller]
	if !ok {
		a = &account{caller: caller, served: l.level, at: -1, waiting: byOrder{arrival: l.arrivalOrder}}
		l.accounts[caller] = a
	}
	return a
}

func (l *line) push(r *request) {
	a := l.account(r.Caller)
	heap.Push(&a.waiting, r)
	heap.Push(&l.deadlines, r)
	l.place(a)
}

func (l *line) remove(r *request) {
	a := l.accounts[r.Caller]
	heap.Remove(&a.waiting, r.own)
	heap.Remove(&l.deadlines, r.all)
	l.place(a)
}

// charge adds slot time and running requests to a caller.
func (l *line) charge(caller string, d time.Duration, running int) {
	a := l.account(caller)
	a.served += d
	a.running += running
	l.place(a)
}

// place puts a caller where it belongs, or forgets it.
func (l *line) place(a *account) {
	switch n := len(a.waiting.l); {
	case n > 0 && a.at < 0:
		a.served = max(a.served, l.level)
		heap.Push(&l.waiting, a)
	case n > 0:
		heap.Fix(&l.waiting, a.at)
	case a.at >= 0:
		heap.Remove(&l.waiting, a.at)
	}
	if len(l.waiting) > 0 {
		l.level = max(l.level, l.waiting[0].served)
	}
	if len(a.waiting.l) == 0 && a.running == 0 && a.served <= l.level {
		delete(l.accounts, a.caller)
	}
}

// first returns the next request of the caller that was served least.
func (l *line) first() *request { return l.waiting[0].waiting.l[0] }

// earliest returns the request with the earliest deadline, or nil.
func (l *line) earliest() *request {
	if len(l.deadlines) == 0 {
		return nil
	}
	return l.deadlines[0]
}

// before returns how many waiting requests go before a new one of the caller:
// as many of each waiting caller as it has itself, and no more than there are.
func (l *line) before(caller string) int {
	n := 0
	if a := l.accounts[caller]; a != nil {
		n = len(a.waiting.l)
	}
	return min((n+1)*max(len(l.waiting), 1)-1, len(l.deadlines))
}

// victim returns the latest request of the caller with the most waiting ones,
// if that has more than one waiting request above the given caller's.
func (l *line) victim(caller string) *request {
	var most *account
	for _, a := range l.waiting {
		if most == nil || len(a.waiting.l) > len(most.waiting.l) {
			most = a
		}
	}
	n := 0
	if a := l.accounts[caller]; a != nil {
		n = len(a.waiting.l)
	}
	if most == nil || len(most.waiting.l) <= n+1 {
		return nil
	}
	w := most.waiting.l
	return w[len(w)-1]
}
