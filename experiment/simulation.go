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

// Timing of the simulation.
const (
	// localDelay is the one-way delay within a failure domain.
	localDelay = 100 * time.Microsecond
	// retryDelay is an entry's delay before it retries a request without a
	// retry budget, and the retry-after interval of an expired request.
	retryDelay = 30 * time.Millisecond
	// replicaCatchUpTime bounds how long an owner waits for a replica to catch
	// up.
	replicaCatchUpTime = 25 * time.Millisecond
	// maxReplicaAge bounds the age of a replica's data for a read without a
	// tolerance.
	maxReplicaAge = 2 * time.Second
	// primaryChangeTime is the time without primaries in PrimaryChange.
	primaryChangeTime = 2 * time.Second
	// ownerReplacementTime is the time from the kill of an owner to its
	// replacement.
	ownerReplacementTime = time.Second
	// longLag is the lag of the lagging replicas in Lag and LinkFlood. It also
	// bounds how long a write waits for a second member.
	longLag = 40 * time.Second
	// meanLag is the mean lag of a replica.
	meanLag = 50 * time.Millisecond
	// lagInterval is the interval at which a replica's lag changes.
	lagInterval = 100 * time.Millisecond
	// coolDown is the time after Duration in which answers are still recorded;
	// it exceeds the longest time limit of a rank.
	coolDown = 21 * time.Second
)

// event is a function that is scheduled to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventHeap is a heap of events, ordered by time and then by sequence number.
type eventHeap []event

func (l eventHeap) Len() int { return len(l) }
func (l eventHeap) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].seq < l[j].seq
}
func (l eventHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *eventHeap) Push(e any) { *l = append(*l, e.(event)) }

// Pop implements heap.Interface.
func (l *eventHeap) Pop() any {
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
	// running is the number of running statements, at most the number of slots.
	running int
	// waiting holds the statements that wait inside the server for a slot.
	waiting []func()
}

// owner is the owner of a server, with the server's queue.
type owner struct {
	queue *admission.Queue
	// requests holds the waiting and running requests by ID.
	requests map[uint64]*request
	// peakDepth is the largest number of waiting requests.
	peakDepth int
	// killed is set when the owner has been killed.
	killed bool
}

// entry is an entry host.
type entry struct {
	domain int
	table  *route.Table
	// outstanding counts the entry's unanswered requests at each server.
	outstanding []int
	retry       *budget.Retry
	throttle    *budget.Throttle
	// link is the budget for answers from the other region.
	link     *budget.Link
	inFlight budget.InFlight
}

// simulation is the state of a simulation. It is not safe for concurrent use.
type simulation struct {
	config    Config
	rankLoads [bundle.RankCount]rankLoad
	now       time.Duration
	seq       uint64
	events    eventHeap
	// arrivalRand and serviceRand are separate random sequences, so that
	// arrivals are the same in all variants.
	arrivalRand *rand.Rand
	serviceRand *rand.Rand

	groups  []bundle.Group
	servers []*server
	entries []*entry
	// owners holds one owner for each server, or one for each entry and server.
	owners []*owner
	// primaryDomain holds the index of the failure domain of each group's
	// primary.
	primaryDomain []int
	// primaryDown is set for each group without a primary.
	primaryDown []bool
	term        uint64
	// lastWrite is the time of each caller's last write in each group.
	lastWrite map[[2]int]time.Duration
	// linkFreeAt holds the times at which the region link becomes free, each
	// way.
	linkFreeAt [2]time.Duration
	report     *Report
}

// startTime is the start of the virtual clock.
var startTime = time.Unix(0, 0)

func (w *simulation) currentTime() time.Time { return startTime.Add(w.now) }

// schedule runs a function after a virtual time.
func (w *simulation) schedule(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + max(d, 0), seq: w.seq, run: f})
}

func (w *simulation) runEvents() {
	end := w.config.WarmUp + w.config.Duration + coolDown
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
}

func region(domain int) string {
	if domain == domainCount-1 {
		return "remote"
	}
	return "main"
}

func domainName(d int) string { return string(rune('a' + d)) }

func newSimulation(c Config) *simulation {
	w := &simulation{
		config: c, rankLoads: rankLoads(), lastWrite: map[[2]int]time.Duration{}, term: 1,
		arrivalRand: rand.New(rand.NewPCG(c.Seed, 1)), serviceRand: rand.New(rand.NewPCG(c.Seed, 2)),
	}
	w.report = newReport(c)
	for g := range c.Fleet.Groups {
		w.addGroup(g)
	}
	for i := range c.Fleet.Entries {
		d := i % domainCount
		e := &entry{domain: d, table: route.New(route.Location{Region: region(d), FailureDomain: domainName(d)}), outstanding: make([]int, len(w.servers))}
		e.inFlight.Limit = budget.DefaultInFlight
		e.retry, e.throttle = budget.NewRetry(budget.DefaultRetry()), budget.NewThrottle(budget.DefaultThrottle())
		e.link = budget.NewLink(budget.DefaultLink(c.Fleet.LinkRate, c.Fleet.Entries/domainCount))
		w.entries = append(w.entries, e)
		for g := range w.groups {
			w.updateView(e, g)
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

func (w *simulation) addGroup(g int) {
	b := bundle.Group{Name: string(rune('A' + g))}
	for d := range domainCount {
		n := b.Name + domainName(d)
		b.Members = append(b.Members, bundle.Member{Name: n, Region: region(d), FailureDomain: domainName(d), Slots: w.config.Fleet.Slots, Connections: w.config.Fleet.Connections})
		w.servers = append(w.servers, &server{group: g, domain: d, name: n})
	}
	w.groups = append(w.groups, b)
	w.primaryDomain = append(w.primaryDomain, g%(domainCount-1))
	w.primaryDown = append(w.primaryDown, false)
}

func (w *simulation) newOwner() *owner {
	c := admission.Config{Slots: w.config.Fleet.Slots, ReservedSlots: 1, ArrivalOrder: w.config.Variant.ArrivalOrder}
	if w.config.Variant.Split {
		c.Slots = max(w.config.Fleet.Connections/w.config.Fleet.Entries, 1)
	}
	if w.config.Variant.NoReserve {
		c.ReservedSlots = 0
	}
	if !w.config.Variant.NoShares {
		for i := range c.Shares {
			c.Shares[i] = w.rankLoads[i].share
		}
	}
	return &owner{queue: admission.New(c), requests: map[uint64]*request{}}
}

// updateView passes a group's current primary to an entry's routing table.
func (w *simulation) updateView(e *entry, g int) {
	v := failover.View{Term: w.term, Primary: w.servers[g*domainCount+w.primaryDomain[g]].name, Confirmed: true}
	e.table.Handle(route.ViewUpdated{Group: w.groups[g].Name, View: v}, w.currentTime())
}

// replicationLag returns a server's replication lag behind its primary.
func (w *simulation) replicationLag(s int) time.Duration {
	g, d := s/domainCount, s%domainCount
	if d == w.primaryDomain[g] {
		return 0
	}
	if w.config.Scenario == Lag && d == (w.primaryDomain[g]+1)%domainCount {
		return min(w.now, longLag)
	}
	if w.config.Scenario == LinkFlood && d == domainCount-1 {
		return longLag
	}
	r := rand.New(rand.NewPCG(w.config.Seed+uint64(s), uint64(w.now/lagInterval)))
	return time.Duration(r.ExpFloat64() * float64(meanLag))
}

// networkDelay returns the one-way delay between failure domains.
func (w *simulation) networkDelay(a, b int) time.Duration {
	switch {
	case a == b:
		return localDelay
	case region(a) == region(b):
		return w.config.Fleet.IntraRegionDelay
	default:
		return w.config.Fleet.InterRegionDelay
	}
}

// sendMessage runs a function when a message of the given size has arrived in
// another failure domain. Messages between regions queue for the region link.
func (w *simulation) sendMessage(a, b, bytes int, f func()) {
	if region(a) == region(b) {
		w.schedule(w.networkDelay(a, b), f)
		return
	}
	i := 0
	if a == domainCount-1 {
		i = 1
	}
	w.report.RegionBytes[i] += int64(bytes)
	d := time.Duration(float64(bytes) / w.config.Fleet.LinkRate * float64(time.Second))
	w.linkFreeAt[i] = max(w.linkFreeAt[i], w.now) + d
	w.report.MaxLinkWait = max(w.report.MaxLinkWait, w.linkFreeAt[i]-w.now)
	w.schedule(w.linkFreeAt[i]-w.now+w.config.Fleet.InterRegionDelay, f)
}
