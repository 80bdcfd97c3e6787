package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing of bundles.
const (
	watchInterval    = 500 * time.Millisecond
	exchangeInterval = time.Second
	pushAttempts     = 5
	pushPause        = 300 * time.Millisecond
)

// PushResult is how a push ended for its operator.
type PushResult string

// The ends of a push.
const (
	// PushApplied tells that the bundle took effect.
	PushApplied PushResult = "won"
	// PushSuperseded tells that another bundle is in its place.
	PushSuperseded PushResult = "superseded"
	// Unsettled tells that it isn't known.
	Unsettled PushResult = "unsettled"
)

// NewBundle makes a bundle of the given version; the digest tells bundles of
// one version apart.
func NewBundle(version uint64, digest string) *bundle.Signed {
	return &bundle.Signed{Bundle: &bundle.Bundle{Version: version}, Digest: digest}
}

// Push pushes a bundle as an operator does, and gives its end to done.
func (w *World) Push(operator string, b *bundle.Signed, done func(PushResult)) {
	n := w.nodes[operator]
	if n == nil {
		n = w.node(operator, places[0])
	}
	w.push(n, b, pushAttempts, done)
}

func (w *World) push(n *Node, b *bundle.Signed, left int, done func(PushResult)) {
	if left == 0 {
		done(Unsettled)
		return
	}
	again := func() { w.After(pushPause, func() { w.push(n, b, left-1, done) }) }
	w.Platform.get(n, func(s stored, ok bool) {
		switch {
		case !ok:
			again()
			return
		case s.value != nil && s.value.Digest == b.Digest:
			done(PushApplied)
			return
		case s.value != nil && s.value.Bundle.Version >= b.Bundle.Version:
			done(PushSuperseded)
			return
		}
		w.Platform.swap(n, b, s.index, func(won, ok bool) {
			switch {
			case ok && won:
				done(PushApplied)
			case !ok && w.Options.NoReadBack:
				done(PushSuperseded)
			default:
				again()
			}
		})
	})
}

// Bundle returns the bundle that the daemon holds, or nil.
func (d *Daemon) Bundle() *bundle.Signed { return d.held }

// watch reads the platform's bundle, again and again.
func (d *Daemon) watch() {
	d.w.Platform.get(d.Node, func(s stored, ok bool) {
		if ok && s.value != nil {
			d.adopt(s.value)
		}
	})
	d.after(watchInterval, d.watch)
}

// exchange asks a random daemon for its bundle, again and again.
func (d *Daemon) exchange() {
	d.after(exchangeInterval, d.exchange)
	x := d.w.Daemons[d.w.r.IntN(len(d.w.Daemons))]
	if x == d {
		return
	}
	take := func(v any) {
		if b, ok := v.(*bundle.Signed); ok && b != nil {
			d.adopt(b)
		}
	}
	d.w.do(&call{
		from: d.Node, to: x.Node, use: "exchange", timeout: time.Second, late: take,
		handle: func(answer func(any)) { answer(x.held) },
		done:   func(v any, _ bool) { take(v) },
	})
}

// adopt puts a bundle in force if it takes the place of the one held.
func (d *Daemon) adopt(b *bundle.Signed) {
	ok, _ := bundle.Supersedes(b, d.held)
	if !ok && !d.w.Options.AcceptLowerVersion {
		return
	}
	if d.held != nil && b.Bundle.Version < d.held.Bundle.Version {
		d.w.violate("a daemon's bundle fell to a lower version")
	}
	d.held = b
}
