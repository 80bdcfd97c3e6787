package allowance_test

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/lease"
)

const tick = 20 * time.Millisecond

// run plays the scenario and returns the times at which operations were let in.
func (w *world) run() {
	for _, f := range w.faults {
		w.at(f.at, func() { w.strike(f) })
	}
	for w.now = 0; w.now < w.length; w.now += tick {
		for len(w.events) > 0 && w.events[0].at <= w.now {
			e := w.events[0]
			w.events = w.events[1:]
			e.do()
		}
		for _, h := range w.hosts {
			if !h.down && !h.frozen {
				w.step(h)
			}
		}
	}
	slices.Sort(w.used)
}

// strike begins a fault and schedules its end.
func (w *world) strike(f fault) {
	h := w.holder()
	if f.host >= 0 {
		h = w.hosts[f.host%len(w.hosts)]
	}
	end := func(do func()) { w.at(w.now+f.last, do) }
	switch f.kind {
	case "kill":
		h.down = true
		end(func() {
			if h.down {
				w.start(h)
			}
		})
	case "freeze":
		h.frozen = true
		end(func() {
			l := h.pending
			h.frozen, h.pending = false, nil
			for _, e := range l {
				if !h.down {
					e.do()
				}
			}
		})
	case "cut-store":
		h.cutStore = true
		end(func() { h.cutStore = false })
	case "cut-off":
		h.cutOthers = true
		end(func() { h.cutOthers = false })
	case "store-down":
		for _, h := range w.hosts {
			h.cutStore = true
		}
		end(func() {
			for _, h := range w.hosts {
				h.cutStore = false
			}
		})
	case "usurp":
		w.acquire(h)
	case "transfer":
		for _, k := range w.hosts {
			if k.lease.Holds(w.clock(k)) && !k.down && !k.frozen && k != h {
				w.write(k, k.lease.Change(k.lease.TransferRecord(lease.Holder{ID: h.name}, w.clock(k))))
			}
		}
	case "restore":
		w.restore()
	}
}

// holder returns the host that holds the lease by the store's record.
func (w *world) holder() *host {
	for _, h := range w.hosts {
		if h.name == w.record.Holder.ID {
			return h
		}
	}
	return w.hosts[0]
}

func (w *world) acquire(h *host) {
	r, _ := h.lease.Record()
	if !h.down && !h.frozen && h.lease.MayAcquire(w.clock(h)) && r.Holder.ID != h.name {
		w.write(h, h.lease.Change(h.lease.AcquireRecord(w.clock(h))))
	}
}

// gone reports whether the hosts can see that a holder doesn't act.
func (w *world) gone(id string) bool {
	for _, h := range w.hosts {
		if h.name == id {
			return h.down || h.frozen || h.cutOthers
		}
	}
	return true
}

func (w *world) step(h *host) {
	w.observe(h)
	w.modes[h.ledger.Mode(w.clock(h))]++
	w.tendLease(h)
	w.closeRivals(h)
	w.demandTokens(h)
	w.useHeld(h)
	w.call(h)
}

// tendLease does what the host has to do about the lease.
func (w *world) tendLease(h *host) {
	t := w.clock(h)
	r, ok := h.lease.Record()
	if w.now >= h.confirmAt {
		h.confirmAt = w.now + 400*time.Millisecond
		w.readStore(h)
		switch {
		case h.lease.MustRewrite(t):
			w.write(h, h.lease.Change(h.lease.RewriteRecord(t)))
		case ok && r.Holder.ID == h.name && h.lease.SettleDue(t):
			w.write(h, h.lease.Change(h.lease.UpdateRecord(t)))
		case ok && r.Holder.ID != h.name && slices.ContainsFunc(r.PreviousHolders, func(p lease.Holder) bool { return p.ID == h.name }) && !h.lease.Restored():
			h.lease.Handle(lease.WorkFinished{}, t)
			x, _ := h.lease.ReleaseRecord(t)
			w.write(h, h.lease.Change(x))
		case w.gone(r.Holder.ID) && w.rnd.IntN(3) == 0:
			w.acquire(h)
		}
	}
}

// closeRivals pings the previous holders and asks them to stop.
func (w *world) closeRivals(h *host) {
	rivals := h.ledger.Rivals()
	if w.off.start {
		rivals = nil
		for _, p := range h.lease.UnfinishedHolders(w.clock(h)) {
			rivals = append(rivals, p.ID)
		}
	}
	if w.now < h.closeAt || len(rivals) == 0 {
		return
	}
	h.closeAt = w.now + 100*time.Millisecond
	epoch := h.ledger.Epoch()
	for _, id := range rivals {
		for _, k := range w.hosts {
			if id[:3] != k.name[:3] {
				continue
			}
			w.send(h, k, func() {
				if k.name != id {
					w.send(k, h, func() { w.handle(h, lease.ProcessEnded{ProcessID: id}) })
					return
				}
				w.observe(k)
				o := k.ledger.Close(epoch, w.clock(k))
				w.send(k, h, func() {
					w.observe(h)
					h.ledger.Import(id, epoch, o, w.clock(h))
				})
			})
		}
	}
}

// demandTokens lets operations arrive.
func (w *world) demandTokens(h *host) {
	t := w.clock(h)
	d := w.demand
	if w.quiet() {
		d = w.limit.Rate * 0.9
	}
	for n := w.poisson(d / float64(len(w.hosts)) * tick.Seconds()); n > 0; n-- {
		w.counts["arrived"]++
		if k, ok := h.borrower.Take(team, t); ok {
			w.use(h, k)
			continue
		}
		k := &allowance.Ticket{Team: team, Limit: w.limitAt(w.now), Patience: 100 * time.Millisecond}
		h.waiting[k] = w.now
		h.borrower.Wait(k)
	}
	for k, since := range h.waiting {
		if w.now-since > 400*time.Millisecond {
			h.borrower.Leave(k)
			delete(h.waiting, k)
			w.counts["unreachable"]++
		}
	}
}

// quiet reports whether the demand is low.
func (w *world) quiet() bool { return w.waves && w.now%(8*time.Second) < 2*time.Second }

func (w *world) poisson(m float64) int {
	n, p := 0, w.rnd.Float64()
	for l := math.Exp(-m); p > l; n++ {
		p *= w.rnd.Float64()
	}
	return n
}

// use lets an operation in.
func (w *world) use(h *host, k allowance.Token) {
	w.used = append(w.used, w.now)
	w.counts["admitted"]++
	h.borrower.Spend(k, w.clock(h))
}

// useHeld uses the tokens that are held back, all at once or at the last moment.
func (w *world) useHeld(h *host) {
	t := w.clock(h)
	all := w.now%(2*time.Second) < 2*tick || !w.hoard
	h.held = slices.DeleteFunc(h.held, func(k allowance.Token) bool {
		soon := !k.Usable(t.Add(2 * tick))
		if k.Usable(t) && (all || soon) {
			w.use(h, k)
			return true
		}
		return !k.Usable(t) && soon && !k.UsableAt.After(t)
	})
}

// call calls the holder that the host knows.
func (w *world) call(h *host) {
	r, ok := h.lease.Record()
	if !ok || w.now < h.callAt {
		return
	}
	for _, k := range w.hosts {
		if k.name != r.Holder.ID {
			continue
		}
		there, back := w.messageDelay(), w.messageDelay()
		if k == h {
			there, back = 0, 0
		}
		c, ok := h.borrower.Call(w.clock(h))
		if !ok {
			return
		}
		w.calls++
		w.callAt(h, k, c, there, back)
		return
	}
}

// callAt sends a call to the accountant. It is given up after the time of a loan.
func (w *world) callAt(h, k *host, c allowance.Call, there, back time.Duration) {
	cut := func() bool { return h != k && (h.cutOthers || k.cutOthers) }
	w.onHost(h, w.now+allowance.LoanTime, func() { h.borrower.Fail(c) })
	if cut() || h != k && w.rnd.Float64() < w.loss {
		return
	}
	w.onHost(k, w.now+there, func() {
		if cut() {
			return
		}
		w.observe(k)
		o := k.ledger.Lend(c, func(string) (allowance.Limit, bool) { return w.limitAt(w.now), true }, time.Time{}, w.clock(k))
		w.onHost(h, w.now+back, func() {
			if !cut() {
				w.answer(h, c, o)
			}
		})
	})
}

func (w *world) answer(h *host, c allowance.Call, o allowance.Reply) {
	if o.Holder != "" || o.Mode == allowance.Closed {
		h.borrower.Fail(c)
		h.callAt = w.now + 60*time.Millisecond
		return
	}
	for _, r := range h.borrower.Answer(c, o, w.clock(h)) {
		since, ok := h.waiting[r.Ticket]
		if !ok {
			continue
		}
		if !r.Granted && r.RetryAfter == 0 {
			h.callAt = w.now + 60*time.Millisecond
			h.borrower.Wait(r.Ticket)
			continue
		}
		delete(h.waiting, r.Ticket)
		if !r.Granted {
			w.counts["refused"]++
			continue
		}
		w.waits = append(w.waits, w.now-since)
		h.held = append(h.held, r.Token)
		if w.off.outstanding {
			h.borrower.Spend(r.Token, w.clock(h))
		}
	}
}

// worstExcess returns by how much the operations of a window exceed the rule at most,
// and when that window begins.
func (w *world) worstExcess() (float64, time.Duration) {
	worst, at := math.Inf(-1), time.Duration(0)
	j := 0
	for i, u := range w.used {
		for j < len(w.used) && w.used[j] <= u+w.bounds.Window {
			j++
		}
		l := 0.0
		for t := u - w.bounds.Window; t <= u+w.bounds.Window; t += tick {
			x := w.limitAt(max(t, 0))
			l = max(l, (x.Rate*w.bounds.Window.Seconds()+x.Burst)*(1+w.bounds.Overage)+x.Slack)
			if len(w.limits) == 0 {
				break
			}
		}
		if e := float64(j-i) - l; e > worst {
			worst, at = e, u
		}
	}
	return worst, at
}
