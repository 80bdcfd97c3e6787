package storecopy_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflypick/dragonflypick/gossip"
	"github.com/dragonflypick/dragonflypick/membership"
	"github.com/dragonflypick/dragonflypick/storecopy"
)

// Delays of the simulated network, one way, and of the store.
const (
	regionDelay  = time.Millisecond
	remoteDelay  = 30 * time.Millisecond
	storeLatency = 4 * time.Millisecond
)

// event is a function that runs at a time.
type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}

// simulation plays the watches and exchanges of a fleet in virtual time. The live
// hosts are known to all from the start.
type simulation struct {
	random *rand.Rand
	now    time.Time
	queue  eventQueue
	hosts  map[string]*simulatedHost
	list   []membership.Host
	// changes holds the times of the store's changes; the revision after the i-th
	// is i+1. waiting are the watches that the store holds.
	changes []time.Time
	waiting []*pendingWatch
	// silent tells whether the store's answers to a host are lost now.
	silent func(h membership.Host, t time.Time) bool
	// watches counts the watches that were sent.
	watches int
}

// simulatedHost is a daemon, or rather what it knows of the store.
type simulatedHost struct {
	host      membership.Host
	overlay   gossip.Overlay
	source    storecopy.Source
	revision  int
	currentAt time.Time
	// learnedAt holds when the host learned of each change.
	learnedAt map[int]time.Time
	failures  int
}

// overlays holds the overlays of each fleet that was simulated, by its size.
var overlays = map[[2]int]map[string]gossip.Overlay{}

func overlaysOf(l []membership.Host, domains int) map[string]gossip.Overlay {
	k := [2]int{len(l), domains}
	if overlays[k] == nil {
		overlays[k] = map[string]gossip.Overlay{}
		for _, h := range l {
			overlays[k][h.ID] = gossip.NewOverlay(h, l)
		}
	}
	return overlays[k]
}

// newSimulation starts n hosts in 3 failure domains a region, with a current copy of
// the store.
func newSimulation(seed uint64, n, domains int) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), hosts: map[string]*simulatedHost{}}
	w.silent = func(membership.Host, time.Time) bool { return false }
	for i := range n {
		d := i % domains
		w.list = append(w.list, membership.Host{ID: "h" + strconv.Itoa(i), FailureDomain: "d" + strconv.Itoa(d), Region: "r" + strconv.Itoa(d*2/domains)})
	}
	o := overlaysOf(w.list, domains)
	for _, h := range w.list {
		k := &simulatedHost{host: h, overlay: o[h.ID], currentAt: w.now, learnedAt: map[int]time.Time{}}
		w.hosts[h.ID] = k
		w.after(w.below(storecopy.WatchDelay), func() { w.watch(k) })
		w.after(w.below(storecopy.ExchangeInterval), func() { w.exchange(k) })
	}
	return w
}

func (w *simulation) below(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *simulation) after(d time.Duration, f func()) { heap.Push(&w.queue, event{w.now.Add(d), f}) }

// run plays until the given time after the start.
func (w *simulation) run(d time.Duration) {
	end := time.Unix(1000, 0).Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// change changes the store now and answers the watches that it holds.
func (w *simulation) change() {
	w.changes = append(w.changes, w.now)
	for _, p := range slices.Clone(w.waiting) {
		if w.silent(p.host.host, w.now) {
			p.answered = true
			continue
		}
		w.answerWatch(p)
	}
}

func (w *simulation) age(h *simulatedHost) time.Duration { return w.now.Sub(h.currentAt) }

func (w *simulation) apply(h *simulatedHost, revision int, currentAt time.Time) {
	for r := h.revision + 1; r <= revision; r++ {
		h.learnedAt[r] = w.now
	}
	h.revision = max(h.revision, revision)
	if currentAt.After(h.currentAt) {
		h.currentAt = currentAt
	}
}

// pendingWatch is a call that the store holds.
type pendingWatch struct {
	host  *simulatedHost
	after int
	sent  time.Time
	// ended is set once the host has the answer or has given the call up.
	ended bool
	// answered is set once the store has sent the answer.
	answered bool
}

// watch is the loop that watches the store, or waits while others do.
func (w *simulation) watch(h *simulatedHost) {
	w.after(storecopy.WatchDelay, func() {
		if !h.source.ShouldWatch(h.overlay, w.age(h)) {
			h.failures = 0
			w.after(storecopy.WatchDelay, func() { w.watch(h) })
			return
		}
		w.watches++
		p := &pendingWatch{host: h, after: h.revision, sent: w.now}
		w.after(remoteDelay+storeLatency, func() { w.holdWatch(p) })
		w.after(storecopy.WatchTimeout, func() {
			if p.ended {
				return
			}
			p.ended = true
			h.failures++
			w.after(storecopy.Backoff(h.failures, w.random), func() { w.watch(h) })
		})
	})
}

// holdWatch is the store's part: it answers when there is a change, or at the end of
// the poll time.
func (w *simulation) holdWatch(p *pendingWatch) {
	if w.silent(p.host.host, w.now) {
		return
	}
	if len(w.changes) > p.after {
		w.answerWatch(p)
		return
	}
	w.waiting = append(w.waiting, p)
	w.after(storecopy.WatchPollTime, func() { w.answerWatch(p) })
}

// answerWatch sends the answer to a watch, unless it was sent before.
func (w *simulation) answerWatch(p *pendingWatch) {
	if p.answered {
		return
	}
	p.answered = true
	w.waiting = slices.DeleteFunc(w.waiting, func(o *pendingWatch) bool { return o == p })
	r := len(w.changes)
	w.after(remoteDelay, func() {
		if p.ended || w.silent(p.host.host, w.now) {
			return
		}
		p.ended = true
		w.apply(p.host, r, p.sent)
		p.host.failures = 0
		w.watch(p.host)
	})
}

// exchange is the loop that fetches changes from an upstream and a neighbor.
func (w *simulation) exchange(h *simulatedHost) {
	if u, ok := h.source.Upstream(h.overlay); ok {
		w.fetch(h, w.hosts[u.ID], true)
	}
	if l := h.overlay.Neighbors; len(l) > 0 {
		w.fetch(h, w.hosts[l[w.random.IntN(len(l))].ID], false)
	}
	w.after(storecopy.ExchangeDelay(true, w.random), func() { w.exchange(h) })
}

// fetch is one exchange of h with p.
func (w *simulation) fetch(h, p *simulatedHost, upstream bool) {
	d := regionDelay
	if h.host.Region != p.host.Region {
		d = remoteDelay
	}
	sent := w.now
	w.after(d, func() {
		revision, age := p.revision, w.age(p)
		w.after(d, func() {
			if upstream {
				h.source.UpstreamAnswered(h.overlay, age)
			}
			w.apply(h, revision, sent.Add(-age))
		})
	})
}
