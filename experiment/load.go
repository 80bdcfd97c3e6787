package experiment

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// callerCount is the number of callers of the ordinary load.
const callerCount = 30

// shortTimeLimitDivisor divides the time limit of half of the requests with
// Variant.MixedDeadlines.
const shortTimeLimitDivisor = 5

// floodingCaller is the number of the flooding caller in CallerFlood.
const floodingCaller = callerCount

// Run runs a simulation and returns its report.
func Run(c Config) (*Report, error) {
	if c.Duration <= 0 || c.Fleet.Slots <= 0 {
		return nil, Error.Wrap(&NameError{Kind: "duration or fleet", Name: c.Duration.String()})
	}
	w := newSimulation(c)
	for r := range bundle.Rank(bundle.RankCount) {
		w.scheduleArrivals(r, w.rankLoads[r].utilization*w.capacity(r), 0, false)
	}
	switch c.Scenario {
	case BackgroundFlood, LinkFlood:
		w.scheduleArrivals(bundle.Background, c.Factor*w.capacity(bundle.Background), c.WarmUp, false)
	case UrgentFlood:
		w.scheduleArrivals(bundle.Urgent, c.Factor*w.capacity(bundle.Urgent), c.WarmUp, false)
	case CallerFlood:
		w.scheduleArrivals(bundle.Routine, c.Factor*w.capacity(bundle.Routine), c.WarmUp, true)
	case PrimaryChange:
		w.scheduleArrivals(bundle.Urgent, c.Factor*w.capacity(bundle.Urgent), c.WarmUp, false)
		w.schedule(c.WarmUp+c.Duration/4, w.losePrimaries)
	case OwnerDeath:
		w.schedule(c.WarmUp+c.Duration/4, w.killOwners)
	}
	w.runEvents()
	w.report.finalize(w)
	return w.report, nil
}

// capacity returns the rate, in requests per second, at which one rank alone
// occupies all slots that may serve it.
func (w *simulation) capacity(r bundle.Rank) float64 {
	n := len(w.servers)
	if w.rankLoads[r].write {
		n = len(w.groups)
	}
	return float64(n*w.config.Fleet.Slots) / w.rankLoads[r].serviceTime.Seconds()
}

// scheduleArrivals schedules the arrivals of a rank's requests from the given
// time, at a mean rate per second.
func (w *simulation) scheduleArrivals(r bundle.Rank, rate float64, from time.Duration, flood bool) {
	var step func()
	pause := func() time.Duration {
		return time.Duration(w.arrivalRand.ExpFloat64() / rate * float64(time.Second))
	}
	step = func() {
		if w.now >= w.config.WarmUp+w.config.Duration {
			return
		}
		w.createRequest(r, flood)
		w.schedule(pause(), step)
	}
	w.schedule(from+pause(), step)
}

// createRequest creates a request and sends it.
func (w *simulation) createRequest(r bundle.Rank, flood bool) {
	c := w.rankLoads[r]
	q := &request{
		rank: r, group: w.arrivalRand.IntN(len(w.groups)), caller: w.arrivalRand.IntN(callerCount), entry: w.arrivalRand.IntN(len(w.entries)), flooding: flood,
		tolerant: w.arrivalRand.Float64() < c.tolerantShare, serviceTime: time.Duration(w.arrivalRand.ExpFloat64() * float64(c.serviceTime)), jitter: w.arrivalRand.Float64(),
		firstArrival: w.now, lastArrival: w.now, deadline: w.now + c.timeLimit, tried: map[string]bool{},
	}
	if w.config.Variant.MixedDeadlines && w.arrivalRand.IntN(2) == 0 {
		q.deadline = w.now + c.timeLimit/shortTimeLimitDivisor
	}
	if flood {
		q.caller = floodingCaller
	}
	w.report.recordOffered(w, q)
	w.sendRequest(q)
}

// losePrimaries leaves all groups without a primary; each gets a new one after
// primaryChangeTime.
func (w *simulation) losePrimaries() {
	for g := range w.primaryDown {
		w.primaryDown[g] = true
	}
	w.schedule(primaryChangeTime, func() {
		w.term++
		for g := range w.primaryDown {
			w.primaryDomain[g] = (w.primaryDomain[g] + 1) % (domainCount - 1)
			w.primaryDown[g] = false
		}
	})
}

// killOwners kills the owners of the first failure domain's servers; new owners
// replace them after ownerReplacementTime.
func (w *simulation) killOwners() {
	for i, o := range w.owners {
		if w.config.Variant.Split || w.servers[i].domain != 0 {
			continue
		}
		o.killed = true
		var l []uint64
		for id := range o.requests {
			l = append(l, id)
		}
		w.endRequestsAtKilledOwner(o, l)
		w.schedule(ownerReplacementTime, func() { w.owners[i] = w.newOwner() })
	}
}
