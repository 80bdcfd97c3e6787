package soak

import (
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/standin/process"
	"github.com/dragonflypick/dragonflypick/standin/relay"
)

// keepAlive is how long an end of a silent connection stays open after the other end.
const keepAlive = 10 * time.Second

// slowLinkDelay is the delay of each direction under Delay.
const slowLinkDelay = 120 * time.Millisecond

// links holds the relays of a system.
type links struct {
	mu     sync.Mutex
	relays map[LinkFault]*relay.Relay
	// disturbed holds the relays with a fault that lasts.
	disturbed map[*relay.Relay]bool
}

func newLinks() *links {
	return &links{relays: map[LinkFault]*relay.Relay{}, disturbed: map[*relay.Relay]bool{}}
}

// start starts a relay before an address and returns the relay's address.
func (l *links) start(p *process.Ports, k Link, target int, address string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, err := p.FreeAddress()
	if err != nil {
		return "", err
	}
	r, err := relay.Start(relay.Config{Listen: a, Target: address, KeepAlive: keepAlive})
	if err != nil {
		return "", err
	}
	l.relays[LinkFault{Link: k, Target: target}] = r
	return a, nil
}

// inject disturbs a relay and returns a function that ends this, or false if it is
// disturbed already.
func (l *links) inject(f LinkFault) (end func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.relays[LinkFault{Link: f.Link, Target: f.Target}]
	if r == nil || l.disturbed[r] {
		return nil, false
	}
	l.disturbed[r] = true
	restore := func() {}
	switch f.Action {
	case SilenceCurrent:
		r.Silence()
	case Delay:
		r.SetDelay(slowLinkDelay)
		restore = func() { r.SetDelay(0) }
	default:
		_ = r.SetMode(relayMode(f.Action))
		restore = func() { _ = r.SetMode(relay.Pass) }
	}
	return func() {
		restore()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.disturbed, r)
	}, true
}

func relayMode(a LinkAction) relay.Mode {
	switch a {
	case CutRequests:
		return relay.HoldRequests
	case CutAnswers:
		return relay.HoldAnswers
	case ResetAll:
		return relay.Reset
	case RefuseNew:
		return relay.Refuse
	default:
		return relay.Hold
	}
}

func (l *links) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.Stop()
	}
}
