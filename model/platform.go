package model

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/membership"
)

// platformTimeout bounds a call to the platform.
const platformTimeout = 3 * time.Second

// Platform is the platform's key-value service, as far as the daemons use it:
// one key for the bundle, and the list of hosts.
type Platform struct {
	*Node
	// Slow is added to every call.
	Slow time.Duration
	// LoseAnswers drops the answer to each write after its effect.
	LoseAnswers bool
	value       *bundle.Signed
	index       uint64
}

// storedBundle is the answer to a read of the bundle.
type storedBundle struct {
	value *bundle.Signed
	index uint64
}

func (w *World) newPlatform(p Location) { w.Platform = &Platform{Node: w.newNode("platform", p)} }

// Bundle returns the bundle in the service, or nil.
func (p *Platform) Bundle() *bundle.Signed { return p.value }

// Down ends the service; Up starts it with what it held.
func (p *Platform) Down() { p.Kill() }

// Up starts the service.
func (p *Platform) Up() {
	if !p.alive {
		p.start()
	}
}

func (p *Platform) startRequest(from *Node, handle func() any, write bool, done func(any, bool)) {
	p.w.startCall(&call{
		from: from, to: p.Node, purpose: "platform", timeout: platformTimeout, done: done,
		handle: func(answer func(any)) {
			p.after(p.Slow/2, func() {
				v := handle()
				if write && p.LoseAnswers {
					return
				}
				p.after(p.Slow/2, func() { answer(v) })
			})
		},
	})
}

func (p *Platform) readBundle(from *Node, done func(storedBundle, bool)) {
	p.startRequest(from, func() any { return storedBundle{value: p.value, index: p.index} }, false, func(v any, ok bool) {
		s, _ := v.(storedBundle)
		done(s, ok)
	})
}

// swapBundle writes the bundle if the index is still the given one.
func (p *Platform) swapBundle(from *Node, b *bundle.Signed, index uint64, done func(won, ok bool)) {
	p.startRequest(from, func() any {
		if p.index != index && !p.w.Options.BlindPush {
			return false
		}
		if p.value != nil && b.Bundle.Version <= p.value.Bundle.Version {
			p.w.violate("the platform's bundle was replaced by one that isn't newer")
		}
		p.value = b
		p.index++
		return true
	}, true, func(v any, ok bool) {
		won, _ := v.(bool)
		done(won, ok)
	})
}

func (p *Platform) listHosts(d *Daemon, done func([]membership.Host)) {
	p.startRequest(d.Node, func() any { return p.w.hostList() }, false, func(v any, ok bool) {
		if ok {
			done(v.([]membership.Host))
		}
	})
}
