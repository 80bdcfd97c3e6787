package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing of bundles.
const (
	bundleWatchInterval    = 500 * time.Millisecond
	bundleExchangeInterval = time.Second
	pushAttempts           = 5
	pushBackoff            = 300 * time.Millisecond
)

// PushResult is the result of a push for its operator.
type PushResult string

// The results of a push.
const (
	// PushApplied means that the bundle took effect.
	PushApplied PushResult = "won"
	// PushSuperseded means that another bundle is in its place.
	PushSuperseded PushResult = "superseded"
	// PushUnknown means that the result isn't known.
	PushUnknown PushResult = "unsettled"
)

// NewBundle returns a bundle of the given version; the digest distinguishes
// bundles of the same version.
func NewBundle(version uint64, digest string) *bundle.Signed {
	return &bundle.Signed{Bundle: &bundle.Bundle{Version: version}, Digest: digest}
}

// Push pushes a bundle as an operator does, and passes the result to done.
func (w *World) Push(operator string, b *bundle.Signed, done func(PushResult)) {
	n := w.nodes[operator]
	if n == nil {
		n = w.newNode(operator, locations[0])
	}
	w.push(n, b, pushAttempts, done)
}

func (w *World) push(n *Node, b *bundle.Signed, attempts int, done func(PushResult)) {
	if attempts == 0 {
		done(PushUnknown)
		return
	}
	retry := func() { w.After(pushBackoff, func() { w.push(n, b, attempts-1, done) }) }
	w.Platform.readBundle(n, func(s storedBundle, ok bool) {
		switch {
		case !ok:
			retry()
			return
		case s.value != nil && s.value.Digest == b.Digest:
			done(PushApplied)
			return
		case s.value != nil && s.value.Bundle.Version >= b.Bundle.Version:
			done(PushSuperseded)
			return
		}
		w.Platform.swapBundle(n, b, s.index, func(swapped, ok bool) {
			switch {
			case ok && swapped:
				done(PushApplied)
			case !ok && w.Options.NoReadBack:
				done(PushSuperseded)
			default:
				retry()
			}
		})
	})
}

// Bundle returns the bundle in force at the daemon, or nil.
func (d *Daemon) Bundle() *bundle.Signed { return d.bundle }

// watchBundle reads the platform's bundle every bundleWatchInterval.
func (d *Daemon) watchBundle() {
	d.w.Platform.readBundle(d.Node, func(s storedBundle, ok bool) {
		if ok && s.value != nil {
			d.adopt(s.value)
		}
	})
	d.after(bundleWatchInterval, d.watchBundle)
}

// exchangeBundles requests the bundle of a random daemon every
// bundleExchangeInterval.
func (d *Daemon) exchangeBundles() {
	d.after(bundleExchangeInterval, d.exchangeBundles)
	x := d.w.Daemons[d.w.random.IntN(len(d.w.Daemons))]
	if x == d {
		return
	}
	take := func(v any) {
		if b, ok := v.(*bundle.Signed); ok && b != nil {
			d.adopt(b)
		}
	}
	d.w.startCall(&call{
		from: d.Node, to: x.Node, purpose: "exchange", timeout: time.Second, onLateAnswer: take,
		handle: func(answer func(any)) { answer(x.bundle) },
		done:   func(v any, _ bool) { take(v) },
	})
}

// adopt puts a bundle in force if it supersedes the one in force.
func (d *Daemon) adopt(b *bundle.Signed) {
	ok, _ := bundle.Supersedes(b, d.bundle)
	if !ok && !d.w.Options.AcceptLowerVersion {
		return
	}
	if d.bundle != nil && b.Bundle.Version < d.bundle.Bundle.Version {
		d.w.violate("a daemon's bundle fell to a lower version")
	}
	d.bundle = b
}
