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
	// ExtraDelay is added to every call.
	ExtraDelay time.Duration
	// LoseAnswers drops the answer to each write after its effect.
	LoseAnswers bool
	value       *bundle.Signed
	index       uint64
}

// stored is the answer to a read of the bundle.
type stored struct {
	value *bundle.Signed
	index uint64
}

func (w *World) newPlatform(p Place) { w.Platform = &Platform{Node: w.node("platform", p)} }

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

func (p *Platform) do(from *Node, handle func() any, lost bool, done func(any, bool)) {
	p.w.do(&call{
		from: from, to: p.Node, use: "platform", timeout: platformTimeout, done: done,
		handle: func(answer func(any)) {
			p.after(p.ExtraDelay/2, func() {
				v := handle()
				if lost && p.LoseAnswers {
					return
				}
				p.after(p.ExtraDelay/2, func() { answer(v) })
			})
		},
	})
}

func (p *Platform) get(from *Node, done func(stored, bool)) {
	p.do(from, func() any { return stored{value: p.value, index: p.index} }, false, func(v any, ok bool) {
		s, _ := v.(stored)
		done(s, ok)
	})
}

// swap writes the bundle if the index is still the given one.
func (p *Platform) swap(from *Node, b *bundle.Signed, index uint64, done func(won, ok bool)) {
	p.do(from, func() any {
		if p.index != index && !p.w.Options.PushWithoutCAS {
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

func (p *Platform) hosts(d *Daemon, done func([]membership.Host)) {
	p.do(d.Node, func() any { return p.w.hostList() }, false, func(v any, ok bool) {
		if ok {
			done(v.([]membership.Host))
		}
	})
}
