package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
)

// platformTimeout bounds a call to the platform.
const platformTimeout = 3 * time.Second

// Platform simulates the platform's key-value service. For a World it stores
// the bundle and lists the hosts; requests of a PlatformWorld read and write
// records that PlatformWorld holds.
type Platform struct {
	*Node
	// ExtraDelay is a delay that is added to every call.
	ExtraDelay time.Duration
	// LoseAnswers drops the answer to each write after the write took effect.
	LoseAnswers bool
	// LateWrites executes each write seconds later, without an answer.
	LateWrites bool
	bundle     *bundle.Signed
	// index increases with every change of the bundle.
	index uint64
}

// storedBundle is the answer to a read of the bundle.
type storedBundle struct {
	bundle *bundle.Signed
	index  uint64
}

func (w *World) newPlatform(p Location) { w.Platform = &Platform{Node: w.newNode("platform", p)} }

// Bundle returns the stored bundle, or nil.
func (p *Platform) Bundle() *bundle.Signed { return p.bundle }

// Stop stops the service.
func (p *Platform) Stop() { p.Kill() }

// Restart starts the stopped service with the data that it had.
func (p *Platform) Restart() {
	if !p.alive {
		p.start()
	}
}

// Bounds of the delay of a late write.
const (
	minWriteLateness = time.Second
	maxWriteLateness = 6 * time.Second
)

// lateness draws how much later than its arrival a call is carried out.
func (w *World) lateness(most time.Duration) time.Duration {
	return minWriteLateness + time.Duration(w.random.Float64()*float64(most-minWriteLateness))
}

// startRequest runs handle at the service. Only writes are subject to LoseAnswers and
// LateWrites.
func (p *Platform) startRequest(from *Node, handle func() any, write bool, done func(any, bool)) {
	p.world.startCall(&call{
		from: from, to: p.Node, purpose: "platform", timeout: platformTimeout, done: done,
		handle: func(answer func(any)) {
			if write && p.LateWrites {
				p.after(p.world.lateness(maxWriteLateness), func() { handle() })
				return
			}
			p.after(p.ExtraDelay/2, func() {
				v := handle()
				if write && p.LoseAnswers {
					return
				}
				p.after(p.ExtraDelay/2, func() { answer(v) })
			})
		},
	})
}

func (p *Platform) readBundle(from *Node, done func(storedBundle, bool)) {
	p.startRequest(from, func() any { return storedBundle{bundle: p.bundle, index: p.index} }, false, func(v any, ok bool) {
		s, _ := v.(storedBundle)
		done(s, ok)
	})
}

// swapBundle writes the bundle if the index is still the given one.
func (p *Platform) swapBundle(from *Node, b *bundle.Signed, index uint64, done func(swapped, ok bool)) {
	p.startRequest(from, func() any {
		if p.index != index && !p.world.Options.PushWithoutCAS {
			return false
		}
		if p.bundle != nil && b.Bundle.Version <= p.bundle.Bundle.Version {
			p.world.addViolation("the platform's bundle was replaced by one that isn't newer")
		}
		p.bundle = b
		p.index++
		return true
	}, true, func(v any, ok bool) {
		swapped, _ := v.(bool)
		done(swapped, ok)
	})
}

func (p *Platform) readHostList(d *Daemon, done func([]membership.Host)) {
	p.startRequest(d.Node, func() any { return p.world.hostList() }, false, func(v any, ok bool) {
		if ok {
			done(v.([]membership.Host))
		}
	})
}
