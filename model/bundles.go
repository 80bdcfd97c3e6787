package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing of the distribution of bundles.
const (
	bundleWatchInterval    = 500 * time.Millisecond
	bundleExchangeInterval = time.Second
	pushAttempts           = 5
	pushBackoff            = 300 * time.Millisecond
)

// PushResult is the result of a push, as its operator receives it.
type PushResult string

// The results of a push.
const (
	// PushApplied means that the bundle took effect.
	PushApplied PushResult = "won"
	// PushSuperseded means that another bundle is in its place.
	PushSuperseded PushResult = "superseded"
	// PushUnknown means that no attempt gave a definite result.
	PushUnknown PushResult = "unsettled"
)

// NewBundle returns a bundle of the given version; the digest distinguishes
// bundles of the same version.
func NewBundle(version uint64, digest string) *bundle.Signed {
	return &bundle.Signed{Bundle: &bundle.Bundle{Version: version}, Digest: digest}
}

// PushBundle pushes a bundle from the node of the given operator, and passes
// the result to done.
func (w *World) PushBundle(operator string, b *bundle.Signed, done func(PushResult)) {
	n := w.nodes[operator]
	if n == nil {
		n = w.newNode(operator, locations[0])
	}
	w.pushBundle(n, b, pushAttempts, done)
}

func (w *World) pushBundle(n *Node, b *bundle.Signed, attempts int, done func(PushResult)) {
	if attempts == 0 {
		done(PushUnknown)
		return
	}
	retry := func() { w.After(pushBackoff, func() { w.pushBundle(n, b, attempts-1, done) }) }
	w.Platform.readBundle(n, func(s storedBundle, ok bool) {
		switch {
		case !ok:
			retry()
			return
		case s.bundle != nil && s.bundle.Digest == b.Digest:
			done(PushApplied)
			return
		case s.bundle != nil && s.bundle.Bundle.Version >= b.Bundle.Version:
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
	d.world.Platform.readBundle(d.Node, func(s storedBundle, ok bool) {
		if ok && s.bundle != nil {
			d.adoptBundle(s.bundle)
		}
	})
	d.after(bundleWatchInterval, d.watchBundle)
}

// exchangeBundles requests the bundle of a random daemon every
// bundleExchangeInterval.
func (d *Daemon) exchangeBundles() {
	d.after(bundleExchangeInterval, d.exchangeBundles)
	x := d.world.Daemons[d.world.random.IntN(len(d.world.Daemons))]
	if x == d {
		return
	}
	take := func(v any) {
		if b, ok := v.(*bundle.Signed); ok && b != nil {
			d.adoptBundle(b)
		}
	}
	d.world.startCall(&call{
		from: d.Node, to: x.Node, purpose: "exchange", timeout: time.Second, onLateAnswer: take,
		handle: func(answer func(any)) { answer(x.bundle) },
		done:   func(v any, _ bool) { take(v) },
	})
}

// adoptBundle puts a bundle in force if it supersedes the one in force.
func (d *Daemon) adoptBundle(b *bundle.Signed) {
	ok, _ := bundle.Supersedes(b, d.bundle)
	if !ok && !d.world.Options.AcceptLowerVersion {
		return
	}
	if d.bundle != nil && b.Bundle.Version < d.bundle.Bundle.Version {
		d.world.addViolation("a daemon's bundle fell to a lower version")
	}
	d.bundle = b
}
