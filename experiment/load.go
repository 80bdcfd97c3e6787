package experiment

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// callers is the number of callers of the ordinary load.
const callers = 30

// shortPart is the part of the limit that half of the requests get with
// Variant.MixedDeadlines.
const shortPart = 5

// flooder is the number of the one flooding caller.
const flooder = callers

// Run runs an experiment.
func Run(c Config) (*Report, error) {
	if c.Duration <= 0 || c.Fleet.Slots <= 0 {
		return nil, Error.Wrap(&NameError{Kind: "duration or fleet", Name: c.Duration.String()})
	}
	w := newWorld(c)
	for r := range bundle.Rank(bundle.RankCount) {
		w.stream(r, w.classes[r].use*w.capacity(r), 0, false)
	}
	switch c.Scenario {
	case BackgroundFlood, LinkFlood:
		w.stream(bundle.Background, c.Factor*w.capacity(bundle.Background), c.Warm, false)
	case UrgentFlood:
		w.stream(bundle.Urgent, c.Factor*w.capacity(bundle.Urgent), c.Warm, false)
	case CallerFlood:
		w.stream(bundle.Routine, c.Factor*w.capacity(bundle.Routine), c.Warm, true)
	case PrimaryChange:
		w.stream(bundle.Urgent, c.Factor*w.capacity(bundle.Urgent), c.Warm, false)
		w.after(c.Warm+c.Duration/4, w.lose)
	case OwnerDeath:
		w.after(c.Warm+c.Duration/4, w.kill)
	}
	w.run()
	w.r.close(w)
	return w.r, nil
}

// capacity returns the rate of one rank that takes up all slots that may serve
// it, in requests a second.
func (w *world) capacity(r bundle.Rank) float64 {
	n := len(w.servers)
	if w.classes[r].write {
		n = len(w.groups)
	}
	return float64(n*w.c.Fleet.Slots) / w.classes[r].service.Seconds()
}

// stream plans arrivals of a rank at a rate a second from a moment on.
func (w *world) stream(r bundle.Rank, rate float64, from time.Duration, flood bool) {
	var step func()
	pause := func() time.Duration {
		return time.Duration(w.load.ExpFloat64() / rate * float64(time.Second))
	}
	step = func() {
		if w.now >= w.c.Warm+w.c.Duration {
			return
		}
		w.come(r, flood)
		w.after(pause(), step)
	}
	w.after(from+pause(), step)
}

// come lets one request arrive.
func (w *world) come(r bundle.Rank, flood bool) {
	c := w.classes[r]
	q := &request{
		rank: r, group: w.load.IntN(len(w.groups)), caller: w.load.IntN(callers), entry: w.load.IntN(len(w.entries)), flood: flood,
		tolerant: w.load.Float64() < c.tolerant, service: time.Duration(w.load.ExpFloat64() * float64(c.service)), jitter: w.load.Float64(),
		first: w.now, arrived: w.now, deadline: w.now + c.limit, tried: map[string]bool{},
	}
	if w.c.Variant.MixedDeadlines && w.load.IntN(2) == 0 {
		q.deadline = w.now + c.limit/shortPart
	}
	if flood {
		q.caller = flooder
	}
	w.r.offered(w, q)
	w.send(q)
}

// lose takes the primaries of all groups away; others follow after gap.
func (w *world) lose() {
	for g := range w.down {
		w.down[g] = true
	}
	w.after(gap, func() {
		w.term++
		for g := range w.down {
			w.primary[g] = (w.primary[g] + 1) % (domains - 1)
			w.down[g] = false
		}
	})
}

// kill ends the owners of the first failure domain's servers.
func (w *world) kill() {
	for i, o := range w.owners {
		if w.c.Variant.Split || w.servers[i].domain != 0 {
			continue
		}
		o.dead = true
		var l []uint64
		for id := range o.requests {
			l = append(l, id)
		}
		w.lost(o, l)
		w.after(noticed, func() { w.owners[i] = w.newOwner() })
	}
}
