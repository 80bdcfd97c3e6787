package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/lease"
	"github.com/dragonflypick/dragonflypick/store"
)

var usualBounds = allowance.Bounds{Window: 5 * time.Second, Overage: 0.1}

const team = "team"

// off switches mechanisms off.
type off struct{ outstanding, wait, start, fresh bool }

// fault is a disruption of one host, or of the store. If host is negative, it hits the
// holder of the lease.
type fault struct {
	kind     string
	at, last time.Duration
	host     int
	// fails is set if an accountant can't lend meanwhile.
	fails bool
}

// scenario is one run in virtual time.
type scenario struct {
	seed   uint64
	bounds allowance.Bounds
	hosts  int
	limit  allowance.Limit
	// demand is the team's operations a second; hoard makes hosts borrow ahead and use
	// the tokens as late as possible.
	demand float64
	hoard  bool
	faults []fault
	// limits are changes of the limit.
	limits []change
	length time.Duration
	off    off
	// delay and loss are the fractions of the messages that are late, by up to maxDelay,
	// or lost.
	delay, loss float64
	maxDelay    time.Duration
	// waves makes the demand low for 2 s before each 6 s.
	waves bool
}

type change struct {
	at    time.Duration
	limit allowance.Limit
}

type event struct {
	at time.Duration
	do func()
}

// host is a host and its present process.
type host struct {
	index, process      int
	name                string
	lease               *lease.Lease
	ledger              *allowance.Ledger
	borrower            *allowance.Borrower
	offset              time.Duration
	waiting             map[*allowance.Ticket]time.Duration
	held                []allowance.Token
	down, frozen        bool
	cutStore, cutOthers bool
	confirmAt           time.Duration
	era                 uint64
	closeAt, callAt     time.Duration
	released            bool
	pending             []event
}

// world is the state of a run.
type world struct {
	scenario
	rnd    *rand.Rand
	now    time.Duration
	events []event
	hosts  []*host
	// record is the store's, at a revision of an era; copies are older ones.
	record   lease.Record
	revision uint64
	era      uint64
	eraAt    time.Duration
	copies   []storeCopy
	used     []time.Duration
	counts   map[string]int
	calls    int
	modes    map[allowance.Mode]int
	waits    []time.Duration
}

type storeCopy struct {
	at       time.Duration
	record   lease.Record
	revision uint64
}

func newWorld(s scenario) *world {
	w := &world{scenario: s, rnd: rand.New(rand.NewPCG(s.seed, 1)), counts: map[string]int{}, modes: map[allowance.Mode]int{}}
	for i := range s.hosts {
		h := &host{index: i, offset: time.Duration(w.rnd.IntN(1000)) * time.Minute}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	return w
}

func (w *world) clock(h *host) time.Time { return time.Unix(1, 0).Add(w.now + h.offset) }

// start starts a new process of a host.
func (w *world) start(h *host) {
	h.process++
	h.name = fmt.Sprintf("h%02d.%d", h.index, h.process)
	h.lease = lease.New(lease.Holder{ID: h.name, Address: fmt.Sprint(h.index)})
	h.ledger = allowance.NewLedger(h.name, w.bounds)
	h.borrower = allowance.NewBorrower("g", h.name)
	h.waiting, h.held, h.down, h.frozen, h.released, h.pending = map[*allowance.Ticket]time.Duration{}, nil, false, false, false, nil
	h.closeAt, h.callAt, h.confirmAt, h.era = 0, 0, 0, 0
}

func (w *world) at(t time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(w.events, t, func(e event, t time.Duration) int {
		if e.at <= t {
			return -1
		}
		return 1
	})
	w.events = slices.Insert(w.events, i, event{at: t, do: do})
}

func (w *world) messageDelay() time.Duration {
	d := time.Duration((1 + w.rnd.ExpFloat64()*20) * float64(time.Millisecond))
	if w.rnd.Float64() < w.delay {
		d += time.Duration(w.rnd.Int64N(int64(w.maxDelay)))
	}
	return d
}

// onHost runs an event at a process, later if the host is suspended, never if the
// process has ended.
func (w *world) onHost(h *host, t time.Duration, do func()) {
	p := h.process
	w.at(t, func() {
		switch {
		case h.process != p || h.down:
		case h.frozen:
			h.pending = append(h.pending, event{do: do})
		default:
			do()
		}
	})
}

// send delivers a message between hosts, unless it is lost.
func (w *world) send(from, to *host, do func()) {
	if (from.cutOthers || to.cutOthers) && from != to || from != to && w.rnd.Float64() < w.loss {
		return
	}
	w.onHost(to, w.now+w.messageDelay(), func() {
		if from == to || !to.cutOthers {
			do()
		}
	})
}

// standing is what a host's lease proves, with the mechanisms that are off.
func (w *world) observe(h *host) {
	r, ok := h.lease.Record()
	if !ok {
		return
	}
	t := w.clock(h)
	s := allowance.Standing{
		Holder: r.Holder.ID, Epoch: r.Epoch, Era: r.Era, Holds: h.lease.Holds(t), ConfirmedAt: h.lease.ConfirmedAt(),
		Unsettled: !h.lease.Settled(t), First: h.era == 0 && r.Epoch == 1,
	}
	for _, p := range h.lease.UnfinishedHolders(t) {
		s.Unfinished = append(s.Unfinished, p.ID)
	}
	if w.off.start && len(s.Unfinished) > 0 {
		return
	}
	s.First = s.First || w.off.start
	if w.off.wait {
		s.Unfinished = nil
	}
	if w.off.fresh {
		s.ConfirmedAt = t
	}
	h.ledger.Observe(s, t)
}

// handle passes an event to a host's lease.
func (w *world) handle(h *host, e lease.Event) {
	h.lease.Handle(e, w.clock(h))
	w.observe(h)
}

// learn makes a host see the store's record as of a time.
func (w *world) learn(h *host, requestedAt time.Time) {
	if w.era > h.era {
		h.era = w.era
		w.handle(h, lease.EraObserved{Era: w.era, Since: w.clock(h)})
	}
	if w.revision > 0 {
		w.handle(h, lease.RecordObserved{Record: w.record, Position: store.Position{Era: w.era, Revision: w.revision}, RequestedAt: requestedAt})
	}
}

// readStore requests the record.
func (w *world) readStore(h *host) {
	if h.cutStore || h.cutOthers {
		return
	}
	t := w.clock(h)
	w.at(w.now+w.messageDelay(), func() {
		r, n, e := w.record, w.revision, w.era
		w.onHost(h, w.now+w.messageDelay(), func() {
			if e > h.era {
				h.era = e
				w.handle(h, lease.EraObserved{Era: e, Since: w.clock(h)})
			}
			if n > 0 {
				w.handle(h, lease.RecordObserved{Record: r, Position: store.Position{Era: e, Revision: n}, RequestedAt: t})
			}
		})
	})
}

// write sends a conditional write.
func (w *world) write(h *host, c lease.Change) {
	if h.cutStore || h.cutOthers {
		return
	}
	t := w.clock(h)
	w.at(w.now+w.messageDelay(), func() {
		if c.Revision == w.revision && c.Era == w.era {
			w.copies = append(w.copies, storeCopy{at: w.now, record: w.record, revision: w.revision})
			w.revision++
			w.record = c.Record
		}
		e := w.era
		w.onHost(h, w.now+w.messageDelay(), func() {
			if e == w.era {
				w.learn(h, t)
			}
		})
	})
}

// restore brings the store back from an earlier copy.
func (w *world) restore() {
	if len(w.copies) == 0 {
		return
	}
	c := w.copies[len(w.copies)-1-w.rnd.IntN(min(2, len(w.copies)))]
	w.record, w.revision, w.era, w.copies, w.eraAt = c.record, max(c.revision, 1), w.era+1, nil, w.now
}

func (w *world) limitAt(t time.Duration) allowance.Limit {
	l := w.limit
	for _, c := range w.limits {
		if c.at <= t {
			l = c.limit
		}
	}
	return l
}
