package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/failover"
	"github.com/dragonflypick/dragonflypick/route"
)

// Timing of the model.
const (
	// local is the one-way delay within a failure domain.
	local = 100 * time.Microsecond
	// retryPause is an entry's pause before it repeats a request.
	retryPause = 30 * time.Millisecond
	// replicaWait is how long an owner waits for a replica to catch up.
	replicaWait = 25 * time.Millisecond
	// replicaAge bounds the age of a read that names no tolerance.
	replicaAge = 2 * time.Second
	// gap is the time without primaries in PrimaryChange.
	gap = 2 * time.Second
	// noticed is the time from an owner's death to its replacement.
	noticed = time.Second
	// farBehind is the lag of a replica in Lag.
	farBehind = 40 * time.Second
	// meanLag is the mean lag of a replica.
	meanLag = 50 * time.Millisecond
	// lagStep is how long a replica's lag stays the same.
	lagStep = 100 * time.Millisecond
	// slack is the time after Duration in which answers still come.
	slack = 21 * time.Second
)

// event is a step that is to be done at a moment.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events is a heap of events.
type events []event

func (l events) Len() int { return len(l) }
func (l events) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].seq < l[j].seq
}
func (l events) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *events) Push(e any) { *l = append(*l, e.(event)) }

// Pop implements heap.Interface.
func (l *events) Pop() any {
	n := len(*l) - 1
	e := (*l)[n]
	(*l)[n] = event{}
	*l = (*l)[:n]
	return e
}

// server is a backend server.
type server struct {
	group  int
	domain int
	name   string
	// busy is the number of running statements, never more than the slots.
	busy int
	// line holds statements that wait inside the server.
	line []func()
}

// owner is the holder of a queue.
type owner struct {
	q *admission.Queue
	// requests are the waiting and running requests by their identifier.
	requests map[uint64]*request
	// peak is the greatest number of waiting requests.
	peak int
	dead bool
}

// entry is an entry host.
type entry struct {
	domain int
	t      *route.Table
	// outstanding counts the requests at each server.
	outstanding []int
	retry       *budget.Retry
	throttle    *budget.Throttle
	// link is the budget of answers from the other region.
	link   *budget.Link
	flight budget.InFlight
}

// world is the state of an experiment.
type world struct {
	c       Config
	classes [bundle.RankCount]class
	now     time.Duration
	seq     uint64
	agenda  events
	// load and service draw from sequences of their own, so that arrivals are
	// the same for all variants.
	load    *rand.Rand
	service *rand.Rand

	groups  []bundle.Group
	servers []*server
	entries []*entry
	// owners holds one owner for each server, or one for each entry and server.
	owners  []*owner
	primary []int
	// down tells that a group has no primary.
	down []bool
	term uint64
	// wrote is each caller's last write in each group.
	wrote map[[2]int]time.Duration
	// links are the moments at which the region link is free, each way.
	links [2]time.Duration
	r     *Report
}

// epoch is the virtual clock's start.
var epoch = time.Unix(0, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

// after plans a step.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, event{at: w.now + max(d, 0), seq: w.seq, do: do})
}

func (w *world) run() {
	end := w.c.Warm + w.c.Duration + slack
	for len(w.agenda) > 0 && w.agenda[0].at <= end {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.do()
	}
}

func region(domain int) string {
	if domain == domains-1 {
		return "far"
	}
	return "home"
}

func domainName(d int) string { return string(rune('a' + d)) }

func newWorld(c Config) *world {
	w := &world{
		c: c, classes: classes(), wrote: map[[2]int]time.Duration{}, term: 1,
		load: rand.New(rand.NewPCG(c.Seed, 1)), service: rand.New(rand.NewPCG(c.Seed, 2)),
	}
	w.r = newReport(c)
	for g := range c.Fleet.Groups {
		w.addGroup(g)
	}
	for i := range c.Fleet.Entries {
		d := i % domains
		e := &entry{domain: d, t: route.New(route.Location{Region: region(d), FailureDomain: domainName(d)}), outstanding: make([]int, len(w.servers))}
		e.flight.Limit = budget.DefaultInFlight
		e.retry, e.throttle = budget.NewRetry(budget.DefaultRetry()), budget.NewThrottle(budget.DefaultThrottle())
		e.link = budget.NewLink(budget.DefaultLink(c.Fleet.Link, c.Fleet.Entries/domains))
		w.entries = append(w.entries, e)
		for g := range w.groups {
			w.teach(e, g)
		}
	}
	n := len(w.servers)
	if c.Variant.Split {
		n *= c.Fleet.Entries
	}
	for range n {
		w.owners = append(w.owners, w.newOwner())
	}
	return w
}

func (w *world) addGroup(g int) {
	b := bundle.Group{Name: string(rune('A' + g))}
	for d := range domains {
		n := b.Name + domainName(d)
		b.Members = append(b.Members, bundle.Member{Name: n, Region: region(d), FailureDomain: domainName(d), Slots: w.c.Fleet.Slots, Connections: w.c.Fleet.Connections})
		w.servers = append(w.servers, &server{group: g, domain: d, name: n})
	}
	w.groups = append(w.groups, b)
	w.primary = append(w.primary, g%(domains-1))
	w.down = append(w.down, false)
}

func (w *world) newOwner() *owner {
	c := admission.Config{Slots: w.c.Fleet.Slots, ReservedSlots: 1, ArrivalOrder: w.c.Variant.ArrivalOrder}
	if w.c.Variant.Split {
		c.Slots = max(w.c.Fleet.Connections/w.c.Fleet.Entries, 1)
	}
	if w.c.Variant.NoReserve {
		c.ReservedSlots = 0
	}
	if !w.c.Variant.NoShares {
		for i := range c.Shares {
			c.Shares[i] = w.classes[i].share
		}
	}
	return &owner{q: admission.New(c), requests: map[uint64]*request{}}
}

// teach tells an entry where a group's primary is.
func (w *world) teach(e *entry, g int) {
	v := failover.View{Term: w.term, Primary: w.servers[g*domains+w.primary[g]].name, Confirmed: true}
	e.t.Handle(route.ViewUpdated{Group: w.groups[g].Name, View: v}, w.time())
}

// lag returns how far a server is behind its primary.
func (w *world) lag(s int) time.Duration {
	g, d := s/domains, s%domains
	if d == w.primary[g] {
		return 0
	}
	if w.c.Scenario == Lag && d == (w.primary[g]+1)%domains {
		return min(w.now, farBehind)
	}
	if w.c.Scenario == LinkFlood && d == domains-1 {
		return farBehind
	}
	r := rand.New(rand.NewPCG(w.c.Seed+uint64(s), uint64(w.now/lagStep)))
	return time.Duration(r.ExpFloat64() * float64(meanLag))
}

// delay returns the one-way delay between failure domains.
func (w *world) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return local
	case region(a) == region(b):
		return w.c.Fleet.Near
	default:
		return w.c.Fleet.Far
	}
}

// travel does a step once the bytes have moved from one failure domain to
// another.
func (w *world) travel(a, b, bytes int, do func()) {
	if region(a) == region(b) {
		w.after(w.delay(a, b), do)
		return
	}
	i := 0
	if a == domains-1 {
		i = 1
	}
	w.r.RegionBytes[i] += int64(bytes)
	d := time.Duration(float64(bytes) / w.c.Fleet.Link * float64(time.Second))
	w.links[i] = max(w.links[i], w.now) + d
	w.r.LinkWait = max(w.r.LinkWait, w.links[i]-w.now)
	w.after(w.links[i]-w.now+w.c.Fleet.Far, do)
}
